//! The plug-in of the roles.
use crate::args;
use crate::kernel::{Plugin, PLUGINS};
use crate::roles::{self, Start, StartError};
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use control_state::{Role, Zone};
use linkme::distributed_slice;
use primitives::Addr;
use runtime::settings::Env;
use std::path::PathBuf;

#[distributed_slice(PLUGINS)]
static ROLES: Plugin = Plugin { place: 0, commands, run: |name, matches| Ok(run(name, matches)?) };

fn commands() -> Vec<Command> {
    vec![
        role_command("controller", "Run a controller: decides and keeps the control state"),
        role_command("edge", "Run an edge: routes, caches and shields"),
        role_command("ledger", "Run a ledger: keeps copies and the ledger of keys"),
    ]
}

fn run(name: &str, matches: &ArgMatches) -> Result<(), StartError> {
    match name {
        "controller" => roles::controller(start(matches, Role::Controller)?),
        "edge" => roles::edge(start(matches, Role::Edge)?),
        _ => roles::ledger(start(matches, Role::Ledger)?),
    }
}

fn role_command(name: &'static str, about: &'static str) -> Command {
    let node = Arg::new("node").long("node").value_name("N").required(true);
    let data = Arg::new("data").long("data").value_name("DIR").default_value("data");
    let zone = Arg::new("zone").long("zone").value_name("REGION/ZONE");
    Command::new(name)
        .about(about)
        .arg(args::env())
        .arg(node.value_parser(value_parser!(u16)).help("Which node of the settings file this process is"))
        .arg(
            data.value_parser(value_parser!(PathBuf))
                .help("The one folder for all files; each node has its own part of it"),
        )
        .arg(args::addr("cohort", "Listen here for other processes instead"))
        .arg(args::addr("http", "Serve HTTP here instead"))
        .arg(zone.help("Sit in this zone instead"))
        .arg(args::addr("seed", "Another process to begin with; three times").action(ArgAction::Append))
        .arg(args::flag(
            "simulate-distance",
            "Rehearsals: delay messages by the distances of the settings file",
        ))
}

/// Reads the settings and finds this process's place in them; arguments override it.
fn start(matches: &ArgMatches, role: Role) -> Result<Start, StartError> {
    let env = Env::load(matches.get_one::<PathBuf>("env").expect("required"))?;
    let mut place = env.place(*matches.get_one("node").expect("required"), role)?;
    place.cohort = matches.get_one("cohort").copied().unwrap_or(place.cohort);
    place.http = matches.get_one("http").copied().unwrap_or(place.http);
    place.zone = matches.get_one::<String>("zone").map_or(place.zone, |zone| Zone(zone.clone()));
    let seeds: Vec<Addr> = matches.get_many("seed").into_iter().flatten().copied().collect();
    if !seeds.is_empty() {
        place.seeds = seeds;
    }
    let data = matches.get_one::<PathBuf>("data").expect("has a default").clone();
    Ok(Start { env, place, data, simulate: matches.get_flag("simulate-distance") })
}
