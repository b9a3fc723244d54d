//! Attempts of keyed requests, and what ledgers answer and store about them.
use crate::headers::Fingerprint;
use crate::whole::Whole;
use primitives::{Birth, NodeId, Span};
use serde::{Deserialize, Serialize};

/// Identifies one attempt of a keyed request: the edge, its incarnation, and a counter.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RoundId {
    pub node: NodeId,
    pub birth: Birth,
    pub n: u64,
}

impl RoundId {
    /// No attempt: stored by a ledger that cannot know which of several attempts has the key.
    pub const NONE: RoundId = RoundId { node: NodeId(0), birth: Birth(0), n: 0 };
}

/// A ledger's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// The key is granted to this attempt.
    Granted,
    /// Another attempt has the key; its outcome, if known.
    Held(Option<Whole>),
    /// The key was used before with a different request.
    PayloadMismatch,
    /// This ledger may not grant yet, or its disk does not accept the grant.
    CannotGrant,
}

/// A ledger's record of a key, as sent to another ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    pub key: String,
    pub print: Fingerprint,
    /// The attempt that has the key.
    pub round: RoundId,
    /// The outcome, if known.
    pub whole: Option<Whole>,
    /// Age of the record.
    pub age: Span,
}

impl Held {
    /// Approximate size in bytes, encoded and in memory.
    pub fn size(&self) -> usize {
        128 + self.key.len() + self.whole.as_ref().map_or(0, |outcome| outcome.size())
    }
}

/// Purpose of a recall.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecallPurpose {
    /// The sender's disk is new: it may not grant before it holds what the lost disk held.
    AfterDiskLoss,
    /// The ledger set changes. Invariant: a ledger that has answered grants nothing any more to
    /// attempts that were claimed by an earlier version of the ledger sets.
    Fill,
}
