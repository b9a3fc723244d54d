//! Arguments that several plug-ins share.
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

/// An option with an address.
pub fn addr(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("IP:PORT").value_parser(value_parser!(Addr)).help(help)
}

/// An operator's command: one that is sent to controllers.
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

/// An option with a value.
pub fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("V").help(help)
}

/// `--json`, to print an answer for other programs.
pub fn json() -> Arg {
    flag("json", "Print the answer as JSON")
}

/// An option without a value.
pub fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(clap::ArgAction::SetTrue).help(help)
}

/// `--id ID`, the id of a change.
pub fn id() -> Arg {
    option("id", "The change's id: the same id is the same change; drawn at random if left out")
}
