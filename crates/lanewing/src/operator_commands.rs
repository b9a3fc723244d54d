//! Plug-in with the operators' subcommands.
use crate::args::{id, json, operator_command, option, positional};
use crate::kernel::{Plugin, PLUGINS};
use crate::operator;
use clap::{value_parser, Arg, Command};
use linkme::distributed_slice;
use primitives::Addr;
use std::path::PathBuf;

#[distributed_slice(PLUGINS)]
static OPERATOR: Plugin =
    Plugin { place: 1, commands, run: |name, matches| Ok(operator::run(name, matches)?) };

fn commands() -> Vec<Command> {
    vec![
        operator_command("table", "Show the whole table").arg(json()),
        set(),
        delete(),
        purge(),
        operator_command("origins", "Show origins, their latest heartbeats and their standby origins")
            .arg(json()),
        operator_command("nodes", "Show controllers, edges and ledgers").arg(json()),
        operator_command("health", "Show whether a node is ready, and its counters"),
        operator_command("drain", "Stop sending new requests to a node").arg(node()).arg(id()),
        operator_command("remove", "Remove a node permanently").arg(node()).arg(id()),
        replace(),
        operator_command("apply", "Send changes from a file with one JSON object per line")
            .arg(positional("file", "The file")),
        check(),
    ]
}

fn lane() -> Arg {
    positional("lane", "The lane")
}

fn service() -> Arg {
    positional("service", "The service")
}

fn node() -> Arg {
    positional("node", "The node's number").value_parser(value_parser!(u16))
}

fn set() -> Command {
    operator_command("set", "Add or edit a row of the table")
        .arg(lane())
        .arg(service())
        .arg(option("expect", "The row's version as last seen; 0 for a new row").required(true))
        .arg(option("weight", "Relative share of the lane's requests").required(true))
        .arg(option("ceiling", "Rate limit of the service, in requests per second").required(true))
        .arg(option("rank", "Priority; 0 is the highest").default_value("5"))
        .arg(option("kind", "read, plain or keyed").required(true))
        .arg(option("ttl-ms", "Time-to-live of cached copies, in milliseconds").default_value("0"))
        .arg(id())
}

fn delete() -> Command {
    operator_command("delete", "Delete a row of the table")
        .arg(lane())
        .arg(service())
        .arg(option("expect", "The row's version as last seen").required(true))
        .arg(id())
}

fn purge() -> Command {
    operator_command("purge", "Delete a service's cached copies by path prefix")
        .arg(service())
        .arg(positional("prefix", "Path prefix; \"\" for all paths"))
        .arg(id())
}

fn replace() -> Command {
    let cohort = |name, help| positional(name, help).value_parser(value_parser!(Addr));
    operator_command("replace", "Replace a lost controller by the unjoined controller at another address")
        .arg(cohort("old", "Cohort address of the lost controller"))
        .arg(cohort("new", "Cohort address of the new controller"))
}

fn check() -> Command {
    let file = Arg::new("file").required(true).value_parser(value_parser!(PathBuf));
    Command::new("check").about("Check a settings file").arg(file.help("The settings file"))
}
