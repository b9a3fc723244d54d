//! The plug-in of the operators' commands.
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
        operator_command("origins", "Show origins, their beats and understudies").arg(json()),
        operator_command("nodes", "Show controllers, edges and ledgers").arg(json()),
        operator_command("health", "Ask a node whether it is ready, and for its counters"),
        operator_command("drain", "Let a node take no new work").arg(node()).arg(id()),
        operator_command("remove", "Take a node out of the list for good").arg(node()).arg(id()),
        replace(),
        operator_command("apply", "Send changes from a file, one JSON object a line")
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
        .arg(option("weight", "Its part of the lane's requests").required(true))
        .arg(option("ceiling", "Requests a second its service may get").required(true))
        .arg(option("rank", "Urgency, 0 goes first").default_value("5"))
        .arg(option("kind", "read, plain or keyed").required(true))
        .arg(option("ttl-ms", "How long copies live").default_value("0"))
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
    operator_command("purge", "Drop all copies of a service whose path begins so")
        .arg(service())
        .arg(positional("prefix", "How the paths begin; \"\" for all"))
        .arg(id())
}

fn replace() -> Command {
    let cohort = |name, help| positional(name, help).value_parser(value_parser!(Addr));
    operator_command("replace", "Give a lost controller's seat to the unjoined controller at another address")
        .arg(cohort("old", "The lost one's cohort address"))
        .arg(cohort("new", "The new one's cohort address"))
}

fn check() -> Command {
    let file = Arg::new("file").required(true).value_parser(value_parser!(PathBuf));
    Command::new("check").about("Check a settings file").arg(file.help("The settings file"))
}
