//! Development only: a fleet on one machine.
mod error;
mod fleet;
mod plays;
mod rehearse;
mod sizes;
mod turns;
mod watch;

use clap::{value_parser, Arg, Command};
use fleet::{Fleet, Result};
use std::path::PathBuf;
use std::process::ExitCode;

fn command() -> Command {
    let env = || {
        let a = Arg::new("env").long("env").required(true).value_parser(value_parser!(PathBuf));
        a.value_name("FILE").help("A deployment's settings file")
    };
    let dir = || {
        let a =
            Arg::new("dir").long("dir").default_value("data/dev_fleet").value_parser(value_parser!(PathBuf));
        a.help("Folder for the fleet's data and logs")
    };
    Command::new("dev_fleet")
        .about("Development only: starts, kills, freezes and rehearses a fleet on one machine")
        .subcommand_required(true)
        .subcommand(
            Command::new("up")
                .about("Start a whole fleet with stand-in origins and its table; Ctrl-C stops it")
                .arg(env())
                .arg(dir()),
        )
        .subcommand(
            Command::new("rehearse")
                .about("Bring about a failure under the deployment's own mix, and look from outside")
                .arg(Arg::new("play").required(true).value_parser(plays::names()).help("Which failure"))
                .arg(env())
                .arg(dir())
                .arg(
                    Arg::new("rate")
                        .long("rate")
                        .default_value("0")
                        .value_parser(value_parser!(u64))
                        .help("Requests a second; 0 takes the settings' own"),
                ),
        )
        .subcommand(sizes::command())
}

fn up(mut f: Fleet) -> Result<()> {
    f.start_whole()?;
    println!("{} is up: {} processes", f.env.deployment, f.names().len());
    let controllers: Vec<String> =
        f.nodes(control_state::Role::Controller).iter().map(|p| p.http.to_string()).collect();
    let edge = f.nodes(control_state::Role::Edge)[0].http;
    println!("operators: export LANEWING_AT={}", controllers.join(","));
    println!("callers:   curl http://{edge}/{}/hello", f.mix.table[0].lane);
    let mut s = signal_hook::iterator::Signals::new([2, 15])
        .map_err(|source| fleet::FleetProblem::Os { what: "signals".into(), source })?;
    s.forever().next();
    println!("stopping");
    f.stop_all()
}

/// A rehearsal that is told to end takes its fleet with it.
fn end_on_signal() {
    let signals = signal_hook::iterator::Signals::new([2, 15]);
    std::thread::spawn(move || {
        if let Ok(mut s) = signals {
            s.forever().next();
            fleet::end_started();
            std::process::exit(130);
        }
    });
}

fn main() -> ExitCode {
    let m = command().get_matches();
    let (name, m) = m.subcommand().expect("required");
    let failed = |p: &dyn std::fmt::Display| {
        eprintln!("dev_fleet: {p}");
        ExitCode::FAILURE
    };
    if name == "scale_model" {
        return sizes::run(m).map_or_else(|p| failed(&p), |()| ExitCode::SUCCESS);
    }
    let path = |n: &str| m.get_one::<PathBuf>(n).expect("required or has a default").clone();
    let f = Fleet::new(&path("env"), &path("dir"));
    let r = f.and_then(|f| match name {
        "up" => up(f),
        _ => {
            end_on_signal();
            let play = m.get_one::<String>("play").expect("required");
            rehearse::run(f, play, *m.get_one("rate").expect("has a default"))
        }
    });
    r.map_or_else(|p| failed(&p), |()| ExitCode::SUCCESS)
}
