//! The kernel: knows no role and no command; plug-ins register themselves.
use crate::LanewingProblem;
use clap::{ArgMatches, Command};
use linkme::distributed_slice;

pub struct Plugin {
    /// Where its commands stand in the help.
    pub place: u8,
    pub commands: fn() -> Vec<Command>,
    pub run: fn(&str, &ArgMatches) -> Result<(), LanewingProblem>,
}

/// Invariant: no two plug-ins name the same command; clap refuses that.
#[distributed_slice]
pub static PLUGINS: [Plugin];

fn sorted() -> Vec<&'static Plugin> {
    let mut all: Vec<&Plugin> = PLUGINS.iter().collect();
    all.sort_by_key(|p| p.place);
    all
}

pub fn command() -> Command {
    let lanewing = Command::new("lanewing")
        .about("lanewing: a content delivery network that shields a few huge, fragile origins")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true);
    sorted().into_iter().fold(lanewing, |h, p| h.subcommands((p.commands)()))
}

pub fn run(m: &ArgMatches) -> Result<(), LanewingProblem> {
    let (name, m) = m.subcommand().expect("required");
    let has = |p: &&Plugin| (p.commands)().iter().any(|c| c.get_name() == name);
    sorted().into_iter().find(has).map_or(Ok(()), |p| (p.run)(name, m))
}

#[cfg(test)]
mod tests {
    #[test]
    fn given_all_plugins_then_the_command_line_is_sound_and_every_role_is_there() {
        super::command().debug_assert();
        let names: Vec<String> =
            super::command().get_subcommands().map(|c| c.get_name().to_string()).collect();
        for n in [
            "controller",
            "edge",
            "ledger",
            "table",
            "set",
            "purge",
            "runbook",
            "plan",
            "stub-origin",
            "load-client",
        ] {
            assert!(names.iter().any(|m| m == n), "{n} is missing from {names:?}");
        }
    }
}
