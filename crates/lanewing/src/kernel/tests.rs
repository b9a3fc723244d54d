//! Tests of the command line as a whole.

#[test]
fn given_all_plugins_then_the_command_line_is_sound_and_every_role_is_there() {
    super::command().debug_assert();
    let names: Vec<String> = super::command().get_subcommands().map(|c| c.get_name().to_string()).collect();
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

#[test]
fn given_all_plugins_then_the_help_lists_their_commands_one_plugin_after_another() {
    let help = super::command().render_help().to_string();
    let commands = ["controller", "edge", "ledger", "table", "set", "check", "plan", "runbook", "platform"];
    let places: Vec<Option<usize>> = commands.iter().map(|name| help.find(&format!("\n  {name} "))).collect();
    assert!(places.iter().all(Option::is_some), "{help}");
    assert!(places.is_sorted(), "{help}");
}
