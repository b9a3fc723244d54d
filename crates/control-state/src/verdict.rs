//! Results of applying a change to the control state.
use crate::configuration::{EditError, EntryNumber};
use crate::items::*;
use primitives::Version;
use serde::{Deserialize, Serialize};

/// Why a change had no effect although the version that it expected was current.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Void {
    /// It names an incarnation of an origin that is not, or is no longer, registered.
    OtherLife,
    /// What it would delete or change does not exist.
    Absent,
    /// The change id was used before for a different change.
    IdTaken,
    /// The state is already as the change asks.
    NothingNew,
}

/// The result of a change. The result of its first application is stored, and every replay of the
/// change id gets that one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Applied; the keys that changed, with their new versions.
    Done(Vec<(Key, Version)>),
    /// The expected version was not the current one; the current item.
    Stale(Key, Item),
    Void(Void),
    /// One of the edits is invalid; none of them was applied.
    InvalidEdit(EditError),
    /// The version number of an edit stands for other content already; no edit was applied.
    Conflict(EntryNumber),
    /// Whether this version number was confirmed, and with which content, is no longer recorded; no
    /// edit was applied.
    Forgotten(EntryNumber),
}

impl Verdict {
    /// Whether the change itself was refused. The answer to a refused change need not wait until
    /// earlier changes are in force.
    pub fn is_refusal(&self) -> bool {
        let by_id = matches!(self, Verdict::Void(Void::IdTaken));
        by_id || matches!(self, Verdict::Stale(..) | Verdict::InvalidEdit(_) | Verdict::Conflict(_))
    }
}
