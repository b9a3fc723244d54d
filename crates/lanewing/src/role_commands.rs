//! Plug-in with the subcommands that run the roles.
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
        role_command("controller", "Run a controller: decides on and stores the control state"),
        role_command("edge", "Run an edge: routes and caches requests, and protects origins from overload"),
        role_command(
            "ledger",
            "Run a ledger: stores the outcomes of requests by idempotency key, and cached copies",
        ),
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
        .arg(node.value_parser(value_parser!(u16)).help("Number of this node in the settings file"))
        .arg(
            data.value_parser(value_parser!(PathBuf))
                .help("Folder for all files; each node uses a subfolder of its own"),
        )
        .arg(args::addr("cohort", "Address for other processes, instead of that of the settings file"))
        .arg(args::addr("http", "HTTP address, instead of that of the settings file"))
        .arg(zone.help("Zone of this node, instead of that of the settings file"))
        .arg(args::addr("seed", "A process to contact first; give it three times").action(ArgAction::Append))
        .arg(args::flag(
            "simulate-distance",
            "Rehearsals: delay messages by the distances in the settings file",
        ))
}

/// Reads the settings file and this node's entry in it, which arguments override.
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
