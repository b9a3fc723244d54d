//! Command-line arguments shared by several plug-ins.
use clap::{value_parser, Arg, Command};
use primitives::Addr;
use std::path::PathBuf;

/// `--env FILE`, the settings file.
pub fn env() -> Arg {
    Arg::new("env")
        .long("env")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The deployment's settings file")
}

/// `--NAME IP:PORT`, an optional address.
pub fn addr(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("IP:PORT").value_parser(value_parser!(Addr)).help(help)
}

/// An operator's command, which calls the controllers given with `--at` or `LANEWING_AT`.
pub fn operator_command(name: &'static str, about: &'static str) -> Command {
    let at = Arg::new("at")
        .long("at")
        .value_name("IP:PORT")
        .env("LANEWING_AT")
        .value_delimiter(',')
        .required(true)
        .value_parser(value_parser!(Addr))
        .help("HTTP address of a controller; several, separated by commas, are tried in turn");
    Command::new(name).about(about).arg(at)
}

/// A required positional argument.
pub fn positional(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).value_name(name.to_uppercase()).help(help)
}

/// `--NAME V`, an optional text.
pub fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("V").help(help)
}

/// `--json`, to print the answer as JSON instead of in columns.
pub fn json() -> Arg {
    flag("json", "Print the answer as JSON")
}

/// `--NAME`, without a value; false unless given.
pub fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(clap::ArgAction::SetTrue).help(help)
}

/// `--id V`, the idempotency id of a change.
pub fn id() -> Arg {
    option("id", "Id of the change: a retry with the same id takes effect only once; random by default")
}
