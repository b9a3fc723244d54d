//! The plug-in of the roles.
use crate::args::{addr, env_arg};
use crate::kernel::{Plugin, PLUGINS};
use crate::roles;
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use control_state::{Role, Zone};
use linkme::distributed_slice;
use primitives::Addr;
use runtime::env::Env;
use std::path::PathBuf;

#[distributed_slice(PLUGINS)]
static DAEMONS: Plugin = Plugin {
    place: 0,
    commands: || {
        vec![
            role("controller", "Run a controller: decides and keeps the control state"),
            role("edge", "Run an edge: routes, caches and shields"),
            role("ledger", "Run a ledger: keeps copies and the ledger of keys"),
        ]
    },
    run: |name, m| {
        let done = match name {
            "controller" => start(m, Role::Controller).and_then(roles::controller),
            "edge" => start(m, Role::Edge).and_then(roles::edge),
            _ => start(m, Role::Ledger).and_then(roles::ledger),
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
