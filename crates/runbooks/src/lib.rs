//! Runbooks: each is one JSON text, from which both the operators' page and the steps that
//! `lanewing runbook run` executes are derived.
#![deny(missing_docs)]
#![deny(clippy::too_many_lines)]

mod page;
mod run;
mod runbook;

pub use page::page;
pub use run::{run, Environment, RunError};
pub use runbook::{read_runbook, Condition, Runbook, Step};

/// The runbooks that are compiled into the program: name and JSON text.
pub const SHIPPED: [(&str, &str); 7] = [
    ("drain-a-node", include_str!("../../../runbooks/drain-a-node.json")),
    ("replace-a-machine", include_str!("../../../runbooks/replace-a-machine.json")),
    ("recover-after-a-total-stop", include_str!("../../../runbooks/recover-after-a-total-stop.json")),
    ("a-controller-is-cut-off", include_str!("../../../runbooks/a-controller-is-cut-off.json")),
    ("a-number-was-refused", include_str!("../../../runbooks/a-number-was-refused.json")),
    ("a-controller-catches-up", include_str!("../../../runbooks/a-controller-catches-up.json")),
    ("roll-out-a-version", include_str!("../../../runbooks/roll-out-a-version.json")),
];
