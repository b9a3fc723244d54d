//! Parts of messages about cached copies.
use crate::object::Object;
use crate::state::Era;
use crate::whole::Whole;
use primitives::Span;
use serde::{Deserialize, Serialize};

/// A cached copy as one process sends it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredCopy {
    pub whole: Whole,
    /// Remaining time-to-live.
    pub left: Span,
    /// Age as of sending.
    pub current_age: Span,
    /// The origin marked it as public: it may be shared even if the request had credentials.
    pub public: bool,
}

/// The edges for which the home edge of an object holds its copy.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reach {
    /// Those of its zone; it asks the home edge of the region in turn.
    Zone,
    /// Those of its region; it asks the home edge of the deployment in turn, if there are more regions.
    Region,
    /// All of the deployment; it asks the origin.
    Deployment,
}

/// How much longer the callers behind a query for a copy wait.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patience {
    /// In the queue for permission to send a request to an origin.
    pub in_line: Span,
    /// In total.
    pub left: Span,
}

/// The answer to a query for a cached copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyReply {
    /// The copy.
    Got(Box<TransferredCopy>),
    /// The copy that the sender of the query holds is still current; its remaining time-to-live and
    /// its age.
    Same { left: Span, current_age: Span },
    /// No copy can be obtained here.
    None,
    /// This edge is disconnected, perhaps only for a moment: query others meanwhile.
    TemporarilyUnavailable,
    /// The ceiling of the origin's service is exhausted: no other edge should send it this request either.
    AtCeiling,
    /// A final response that lanewing generated itself.
    Own(Box<Whole>),
    /// The response must not be shared: each caller needs one of its own from the origin.
    Uncacheable,
}

/// A copy for the disk cache of a ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskCachePut {
    pub object: Object,
    pub shown: TransferredCopy,
    /// Of the purges that cover the object; see `mark`.
    pub mark: u64,
    /// See `is_purge_mark_valid`.
    pub sure: Era,
}
