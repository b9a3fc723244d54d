//! Formats a runbook as a Markdown page.
use crate::runbook::{Runbook, Step};

/// The Markdown page of a runbook. `name` is its name on the command line.
pub fn page(name: &str, runbook: &Runbook) -> String {
    let mut page = format!("# {}\n\n{}\n\n", runbook.title, runbook.why);
    let set = |need: &String| format!("--set {need}={}", need.to_uppercase());
    let sets: Vec<String> = runbook.needs.keys().map(set).collect();
    page += &format!("    lanewing runbook run {name} --at CONTROLLERS {}\n\n", sets.join(" "));
    for (need, meaning) in &runbook.needs {
        page += &format!("- `{need}`: {meaning}\n");
    }
    page += "\nSteps:\n\n";
    for (i, step) in runbook.steps.iter().enumerate() {
        page += &format!("{}. {}\n", i + 1, step_text(step));
    }
    page
}

/// Description of one step.
pub(crate) fn step_text(step: &Step) -> String {
    match step {
        Step::Say(text) => text.clone(),
        Step::Confirm(text) => format!("**You:** {text}"),
        Step::Change(change) => format!("Send the change `{}`.", change.stringify().unwrap_or_default()),
        Step::Replace(old, new) => format!("Give the seat of `{old}` to `{new}` (`lanewing replace`)."),
        Step::Until(condition) => format!(
            "Wait, at most {} s, until `{}` at `http://{}/{}` is `{}`.",
            condition.within_s,
            condition.field,
            condition.at,
            condition.path,
            condition.is.stringify().unwrap_or_default()
        ),
    }
}
