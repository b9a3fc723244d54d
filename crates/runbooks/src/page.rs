//! The book as a page.
use crate::book::{Book, Step};

pub fn page(name: &str, b: &Book) -> String {
    let mut s = format!("# {}\n\n{}\n\n", b.title, b.why);
    let sets: Vec<String> = b.needs.keys().map(|k| format!("--set {k}={}", k.to_uppercase())).collect();
    s += &format!("    lanewing runbook run {name} --at CONTROLLERS {}\n\n", sets.join(" "));
    for (k, what) in &b.needs {
        s += &format!("- `{k}`: {what}\n");
    }
    s += "\nSteps:\n\n";
    for (i, st) in b.steps.iter().enumerate() {
        s += &format!("{}. {}\n", i + 1, line(st));
    }
    s
}

pub(crate) fn line(s: &Step) -> String {
    match s {
        Step::Say(t) => t.clone(),
        Step::Confirm(t) => format!("**You:** {t}"),
        Step::Change(v) => format!("Send the change `{}`.", v.stringify().unwrap_or_default()),
        Step::Replace(old, new) => format!("Give the seat of `{old}` to `{new}` (`lanewing replace`)."),
        Step::Until(u) => format!(
            "Wait, at most {} s, until `{}` at `http://{}/{}` is `{}`.",
            u.within_s,
            u.field,
            u.at,
            u.path,
            u.is.stringify().unwrap_or_default()
        ),
    }
}
