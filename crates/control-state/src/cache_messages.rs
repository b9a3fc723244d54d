//! What processes say to one another of copies.
use crate::object::Object;
use crate::state::Era;
use crate::whole::Whole;
use primitives::Span;
use serde::{Deserialize, Serialize};

/// A copy as one process hands it to another: its rest of life and its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredCopy {
    pub whole: Whole,
    pub left: Span,
    pub current_age: Span,
    /// The origin said that it is for everybody, credentials or not.
    pub public: bool,
}

/// For which edges one edge, an object's home, has a copy.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reach {
    /// Those of its zone; it asks the region's home in turn.
    Zone,
    /// Those of its region; it asks the deployment's home in turn, if there are more regions.
    Region,
    /// All of the deployment; it asks the origin.
    Deployment,
}

/// How long the callers of whoever asks for a copy wait yet.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patience {
    /// In line for leave to ask an origin.
    pub in_line: Span,
    /// In all.
    pub left: Span,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyReply {
    Got(Box<TransferredCopy>),
    /// The copy that the asker holds is still the newest; its rest of life and its age.
    Same {
        left: Span,
        current_age: Span,
    },
    /// There is none to be had here.
    None,
    /// This edge is out of touch, perhaps for a moment: others are to be asked meanwhile.
    TemporarilyUnavailable,
    /// The origin's ceiling is used up: it is to be asked by nobody else either.
    AtCeiling,
    /// lanewing's own last word on it.
    Own(Box<Whole>),
    /// The answer is not to be shared: each caller must be answered by the origin.
    Uncacheable,
}

/// A copy on its way to a ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskCachePut {
    pub object: Object,
    pub shown: TransferredCopy,
    pub mark: u64,
    /// See `is_purge_mark_valid`.
    pub sure: Era,
}
