//! Runbooks: one text that is both the page an operator reads and the steps
//! that are executed.
mod book;
mod page;
mod run;

pub use book::{read_book, Book, Step, Until};
pub use page::page;
pub use run::{run, Hands, RunProblem};

/// The books that come with the program, by name.
pub const SHIPPED: [(&str, &str); 4] = [
    ("drain-a-node", include_str!("../../../runbooks/drain-a-node.json")),
    ("replace-a-machine", include_str!("../../../runbooks/replace-a-machine.json")),
    ("recover-after-a-total-stop", include_str!("../../../runbooks/recover-after-a-total-stop.json")),
    ("roll-out-a-version", include_str!("../../../runbooks/roll-out-a-version.json")),
];
