//! Development only: starts, kills, freezes and rehearses a whole fleet on one machine.
#![deny(missing_docs)]
#![deny(clippy::too_many_lines)]

mod error;
mod fleet;
mod process;
mod rehearse;
mod replacements;
mod scale;
mod scenarios;
mod wait;

use clap::{value_parser, Arg, ArgMatches, Command};
use control_state::Role;
use error::{FleetError, Result};
use fleet::Fleet;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit status of a rehearsal that was interrupted, as shells have it.
const INTERRUPTED: i32 = 130;

fn settings_arg() -> Arg {
    let arg = Arg::new("env").long("env").required(true).value_parser(value_parser!(PathBuf));
    arg.value_name("FILE").help("A deployment's settings file")
}

fn dir_arg() -> Arg {
    let arg = Arg::new("dir").long("dir").default_value("data/dev-fleet");
    arg.value_parser(value_parser!(PathBuf)).help("Folder for the fleet's data and logs")
}

fn command() -> Command {
    let up = Command::new("up")
        .about("Start a whole fleet with stand-in origins and its table; Ctrl-C stops it")
        .arg(settings_arg())
        .arg(dir_arg());
    let scenario = Arg::new("scenario").required(true).value_parser(scenarios::names());
    let rate = Arg::new("rate").long("rate").default_value("0").value_parser(value_parser!(u64));
    let rehearse = Command::new("rehearse")
        .about("Bring about a failure under the deployment's own mix, and look from outside")
        .arg(scenario.help("Which failure"))
        .arg(settings_arg())
        .arg(dir_arg())
        .arg(rate.help("Requests a second; 0 takes the settings' own"));
    Command::new("dev-fleet")
        .about("Development only: starts, kills, freezes and rehearses a fleet on one machine")
        .subcommand_required(true)
        .subcommand(up)
        .subcommand(rehearse)
        .subcommand(scale::command())
}

fn signals() -> Result<Signals> {
    let os = |source| FleetError::Os { what: "signals".into(), source };
    Signals::new([SIGINT, SIGTERM]).map_err(os)
}

/// Starts a fleet and keeps it until this process is told to end.
fn up(mut fleet: Fleet) -> Result<()> {
    fleet.start_all()?;
    println!("{} is up: {} processes", fleet.env.deployment, fleet.names().len());
    let controllers = fleet.nodes(Role::Controller);
    let controllers: Vec<String> = controllers.iter().map(|place| place.http.to_string()).collect();
    let edge = fleet.nodes(Role::Edge)[0].http;
    println!("operators: export LANEWING_AT={}", controllers.join(","));
    println!("callers:   curl http://{edge}/{}/hello", fleet.mix.table[0].lane);
    signals()?.forever().next();
    println!("stopping");
    fleet.stop_all()
}

/// A rehearsal that is told to end takes its fleet with it.
fn kill_fleet_on_signal() {
    let signals = signals();
    std::thread::spawn(move || {
        if let Ok(mut signals) = signals {
            signals.forever().next();
            process::kill_started();
            std::process::exit(INTERRUPTED);
        }
    });
}

fn run(name: &str, matches: &ArgMatches) -> Result<()> {
    let path = |arg: &str| matches.get_one::<PathBuf>(arg).expect("required or has a default");
    let fleet = Fleet::new(path("env"), path("dir"))?;
    if name == "up" {
        return up(fleet);
    }
    kill_fleet_on_signal();
    let scenario = matches.get_one::<String>("scenario").expect("required");
    rehearse::run(fleet, scenario, *matches.get_one("rate").expect("has a default"))
}

fn exit_code<P: Display>(result: std::result::Result<(), P>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("dev-fleet: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand().expect("required") {
        (scale::COMMAND, matches) => exit_code(scale::run(matches)),
        (name, matches) => exit_code(run(name, matches)),
    }
}
