//! Tests of the command line as a whole.

#[test]
fn given_all_plugins_then_the_command_line_is_valid_and_has_their_commands() {
    super::command().debug_assert();
    let names: Vec<String> =
        super::command().get_subcommands().map(|command| command.get_name().to_string()).collect();
    for expected in [
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
        assert!(names.iter().any(|name| name == expected), "{expected} is missing from {names:?}");
    }
}

#[test]
fn given_all_plugins_then_the_help_lists_their_commands_grouped_by_plugin() {
    let help = super::command().render_help().to_string();
    let commands = ["controller", "edge", "ledger", "table", "set", "check", "plan", "runbook", "platform"];
    let positions: Vec<Option<usize>> =
        commands.iter().map(|name| help.find(&format!("\n  {name} "))).collect();
    assert!(positions.iter().all(Option::is_some), "{help}");
    assert!(positions.is_sorted(), "{help}");
}
