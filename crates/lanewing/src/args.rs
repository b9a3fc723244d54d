//! Arguments that several plug-ins share.
use clap::{value_parser, Arg, Command};
use primitives::Addr;
use std::path::PathBuf;

pub fn env_arg() -> Arg {
    Arg::new("env")
        .long("env")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The deployment's settings file")
}

pub fn addr(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("IP:PORT").value_parser(value_parser!(Addr)).help(help)
}

pub fn op(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("at")
            .long("at")
            .value_name("IP:PORT")
            .env("LANEWING_AT")
            .value_delimiter(',')
            .required(true)
            .value_parser(value_parser!(Addr))
            .help("HTTP address of a controller; several, separated by commas, are tried in turn"),
    )
}

pub fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).value_name(name.to_uppercase()).help(help)
}

pub fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("V").help(help)
}

pub fn id() -> Arg {
    flag("id", "The change's id: the same id is the same change; drawn at random if left out")
}
