//! Plug-in registry of the command line. It depends on no role or command: plug-ins register
//! themselves at link time.
use crate::LanewingError;
use clap::{ArgMatches, Command};
use linkme::distributed_slice;

/// A group of subcommands.
pub struct Plugin {
    /// Position in the help: lower ones come first, equal ones in order of their first command's
    /// name.
    pub place: u8,
    /// Its subcommands.
    pub commands: fn() -> Vec<Command>,
    /// Runs the subcommand of this name.
    pub run: fn(&str, &ArgMatches) -> Result<(), LanewingError>,
}

/// All plug-ins. Invariant: no two of them have a command of the same name; clap panics on that in
/// debug builds.
#[distributed_slice]
pub static PLUGINS: [Plugin];

/// All plug-ins in the order of the help.
fn sorted() -> Vec<&'static Plugin> {
    let name = |plugin: &&Plugin| (plugin.commands)().first().map(|command| command.get_name().to_string());
    let mut plugins: Vec<&Plugin> = PLUGINS.iter().collect();
    plugins.sort_by_cached_key(|plugin| (plugin.place, name(plugin)));
    plugins
}

/// The whole command line.
pub fn command() -> Command {
    let lanewing = Command::new("lanewing")
        .about("lanewing: a content delivery network that shields a few huge, fragile origins")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true);
    let commands = sorted().into_iter().flat_map(|plugin| (plugin.commands)());
    let ordered = commands.enumerate().map(|(order, command)| command.display_order(order));
    lanewing.subcommands(ordered)
}

/// Runs the subcommand that was given.
pub fn run(matches: &ArgMatches) -> Result<(), LanewingError> {
    let (name, matches) = matches.subcommand().expect("required");
    let has = |plugin: &&Plugin| (plugin.commands)().iter().any(|command| command.get_name() == name);
    sorted().into_iter().find(has).map_or(Ok(()), |plugin| (plugin.run)(name, matches))
}

#[cfg(test)]
mod tests;
