//! The plug-in of the roles.
use crate::args::{addr, env_arg};
use crate::kernel::{Plugin, PLUGINS};
use crate::roles;
use brood::{Role, Zone};
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use linkme::distributed_slice;
use skep::env::Env;
use std::path::PathBuf;
use wax::Addr;

#[distributed_slice(PLUGINS)]
static DAEMONS: Plugin = Plugin {
    place: 0,
    commands: || {
        vec![
            role("keeper", "Run a keeper: decides and keeps the control state"),
            role("gate", "Run a gate: routes, caches and shields"),
            role("comb", "Run a comb: keeps copies and the ledger of keys"),
        ]
    },
    run: |name, m| {
        let done = match name {
            "keeper" => start(m, Role::Keeper).and_then(roles::keeper),
            "gate" => start(m, Role::Gate).and_then(roles::gate),
            _ => start(m, Role::Comb).and_then(roles::comb),
        };
        Ok(done?)
    },
};

fn role(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(env_arg())
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("N")
                .required(true)
                .value_parser(value_parser!(u16))
                .help("Which node of the settings file this process is"),
        )
        .arg(
            Arg::new("data")
                .long("data")
                .value_name("DIR")
                .default_value("data")
                .value_parser(value_parser!(PathBuf))
                .help("The one folder for all files; each node has its own part of it"),
        )
        .arg(addr("cohort", "Listen here for other processes instead"))
        .arg(addr("http", "Serve HTTP here instead"))
        .arg(Arg::new("zone").long("zone").value_name("REGION/ZONE").help("Sit in this zone instead"))
        .arg(addr("seed", "Another process to begin with; three times").action(ArgAction::Append))
        .arg(
            Arg::new("simulate-distance")
                .long("simulate-distance")
                .action(ArgAction::SetTrue)
                .help("Rehearsals: delay messages by the distances of the settings file"),
        )
}

fn start(m: &ArgMatches, role: Role) -> Result<roles::Start, roles::StartProblem> {
    let env = Env::load(m.get_one::<PathBuf>("env").expect("required"))?;
    let mut place = env.place(*m.get_one("node").expect("required"), role)?;
    place.cohort = m.get_one("cohort").copied().unwrap_or(place.cohort);
    place.http = m.get_one("http").copied().unwrap_or(place.http);
    place.zone = m.get_one::<String>("zone").map_or(place.zone, |z| Zone(z.clone()));
    let seeds: Vec<Addr> = m.get_many("seed").map(|s| s.copied().collect()).unwrap_or_default();
    if !seeds.is_empty() {
        place.seeds = seeds;
    }
    let data = m.get_one::<PathBuf>("data").expect("has a default").clone();
    Ok(roles::Start { env, place, data, simulate: m.get_flag("simulate-distance") })
}
