//! Numbers by which an answer from another process finds what it answers.
use primitives::Birth;
use serde::{Deserialize, Serialize};

/// Names one question of one life of a process. Invariant: a process gives each number
/// once, and each of its lives has another birth; so an answer to an earlier life, or to
/// another node that had the same address, matches no question of this one.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    pub birth: Birth,
    pub n: u64,
}
