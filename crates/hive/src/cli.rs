//! The command line.
use crate::{books, ops, play, roles, HiveProblem};
use brood::{Role, Zone};
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use skep::env::Env;
use std::path::PathBuf;
use wax::Addr;

fn env_arg() -> Arg {
    Arg::new("env")
        .long("env")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The deployment's settings file")
}

fn addr(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("IP:PORT").value_parser(value_parser!(Addr)).help(help)
}

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

fn op(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("at")
            .long("at")
            .value_name("IP:PORT")
            .env("LANEWING_AT")
            .value_delimiter(',')
            .required(true)
            .value_parser(value_parser!(Addr))
            .help("HTTP address of a keeper; several, separated by commas, are tried in turn"),
    )
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).value_name(name.to_uppercase()).help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("V").help(help)
}

fn id() -> Arg {
    flag("id", "The change's id: the same id is the same change; drawn at random if left out")
}

pub fn command() -> Command {
    let row = op("set", "Add or edit a row of the table")
        .arg(text("lane", "The lane"))
        .arg(text("service", "The service"))
        .arg(flag("expect", "The row's version as last seen; 0 for a new row").required(true))
        .arg(flag("weight", "Its part of the lane's requests").required(true))
        .arg(flag("ceiling", "Requests a second its service may get").required(true))
        .arg(flag("rank", "Urgency, 0 goes first").default_value("5"))
        .arg(flag("kind", "read, plain or keyed").required(true))
        .arg(flag("ttl-ms", "How long copies live").default_value("0"))
        .arg(id());
    let del = op("delete", "Delete a row of the table")
        .arg(text("lane", "The lane"))
        .arg(text("service", "The service"))
        .arg(flag("expect", "The row's version as last seen").required(true))
        .arg(id());
    let node = || text("node", "The node's number").value_parser(value_parser!(u16));
    Command::new("hive")
        .about("lanewing: a content delivery network that shields a few huge, fragile origins")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(role("keeper", "Run a keeper: decides and keeps the control state"))
        .subcommand(role("gate", "Run a gate: routes, caches and shields"))
        .subcommand(role("comb", "Run a comb: keeps the ledger of keys"))
        .subcommand(op("table", "Show the whole table"))
        .subcommand(row)
        .subcommand(del)
        .subcommand(
            op("purge", "Drop all copies of a service whose path begins so")
                .arg(text("service", "The service"))
                .arg(text("prefix", "How the paths begin; \"\" for all"))
                .arg(id()),
        )
        .subcommand(op("origins", "Show origins, their beats and understudies"))
        .subcommand(op("nodes", "Show keepers, gates and combs"))
        .subcommand(op("health", "Ask a node whether it is ready, and for its counters"))
        .subcommand(op("drain", "Let a node take no new work").arg(node()).arg(id()))
        .subcommand(op("remove", "Take a node out of the list for good").arg(node()).arg(id()))
        .subcommand(
            op("replace", "Give a lost keeper's seat to the blank keeper at another address")
                .arg(text("old", "The lost one's cohort address").value_parser(value_parser!(Addr)))
                .arg(text("new", "The new one's cohort address").value_parser(value_parser!(Addr))),
        )
        .subcommand(
            op("apply", "Send changes from a file, one JSON object a line").arg(text("file", "The file")),
        )
        .subcommand(Command::new("check").about("Check a settings file").arg(
            Arg::new("file").required(true).value_parser(value_parser!(PathBuf)).help("The settings file"),
        ))
        .subcommand(books::command(op("run", "Execute a runbook").arg(id())))
        .subcommand(play::flower_command())
        .subcommand(play::forager_command(env_arg()))
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

pub fn run(m: &ArgMatches) -> Result<(), HiveProblem> {
    let (name, m) = m.subcommand().expect("required");
    match name {
        "keeper" => Ok(roles::keeper(start(m, Role::Keeper)?)?),
        "gate" => Ok(roles::gate(start(m, Role::Gate)?)?),
        "comb" => Ok(roles::comb(start(m, Role::Comb)?)?),
        "flower" => Ok(play::flower(m)?),
        "runbook" => Ok(books::run(m)?),
        "forager" => Ok(play::forager(m)?),
        _ => Ok(ops::run(name, m)?),
    }
}
