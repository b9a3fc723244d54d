//! Ids that match an answer from another process to its request.
use primitives::Birth;
use serde::{Deserialize, Serialize};

/// Id of a request of one incarnation of a process. Invariant: an incarnation uses each number once,
/// and each incarnation has another `birth`. So an answer to an earlier incarnation, or to another
/// node that had the same address, matches no request of this one.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    pub birth: Birth,
    pub n: u64,
}
