//! The plug-in of the operators' commands.
use crate::args::{flag, id, op, text};
use crate::kernel::{Plugin, PLUGINS};
use crate::ops;
use clap::{value_parser, Arg, ArgAction, Command};
use linkme::distributed_slice;
use primitives::Addr;
use std::path::PathBuf;

#[distributed_slice(PLUGINS)]
static OPERATORS: Plugin = Plugin { place: 1, commands, run: |name, m| Ok(ops::run(name, m)?) };

fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print the answer as JSON")
}

fn commands() -> Vec<Command> {
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
    let all = Command::new("all")
        .subcommand(op("table", "Show the whole table").arg(json()))
        .subcommand(row)
        .subcommand(del)
        .subcommand(
            op("purge", "Drop all copies of a service whose path begins so")
                .arg(text("service", "The service"))
                .arg(text("prefix", "How the paths begin; \"\" for all"))
                .arg(id()),
        )
        .subcommand(op("origins", "Show origins, their beats and understudies").arg(json()))
        .subcommand(op("nodes", "Show controllers, edges and ledgers").arg(json()))
        .subcommand(op("health", "Ask a node whether it is ready, and for its counters"))
        .subcommand(op("drain", "Let a node take no new work").arg(node()).arg(id()))
        .subcommand(op("remove", "Take a node out of the list for good").arg(node()).arg(id()))
        .subcommand(
            op("replace", "Give a lost controller's seat to the blank controller at another address")
                .arg(text("old", "The lost one's cohort address").value_parser(value_parser!(Addr)))
                .arg(text("new", "The new one's cohort address").value_parser(value_parser!(Addr))),
        )
        .subcommand(
            op("apply", "Send changes from a file, one JSON object a line").arg(text("file", "The file")),
        )
        .subcommand(Command::new("check").about("Check a settings file").arg(
            Arg::new("file").required(true).value_parser(value_parser!(PathBuf)).help("The settings file"),
        ));
    all.get_subcommands().cloned().collect()
}
