//! Rounds of keyed requests, and what ledgers say and keep of them.
use crate::headers::Fingerprint;
use crate::whole::Whole;
use primitives::{Birth, NodeId, Span};
use serde::{Deserialize, Serialize};

/// One try at a keyed request: who tries, in which life, and its count.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RoundId {
    pub node: NodeId,
    pub birth: Birth,
    pub n: u64,
}

impl RoundId {
    /// No round: what a ledger notes that cannot know which of several has the key.
    pub const NONE: RoundId = RoundId { node: NodeId(0), birth: Birth(0), n: 0 };
}

/// What a ledger says to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    Granted,
    /// Another round has it; its outcome, once known.
    Held(Option<Whole>),
    /// The key came with another body before.
    PayloadMismatch,
    /// This ledger may not grant yet, or its disk will not take it.
    CannotGrant,
}

/// A ledger's record of one key, as shown to another ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    pub key: String,
    pub print: Fingerprint,
    pub round: RoundId,
    pub whole: Option<Whole>,
    pub age: Span,
}

impl Held {
    /// What it comes to, roughly, on a link and in memory.
    pub fn size(&self) -> usize {
        128 + self.key.len() + self.whole.as_ref().map_or(0, |w| w.size())
    }
}

/// What a recall is for.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecallPurpose {
    /// The asker's disk is new: it may not grant before it holds what the lost one held.
    AfterDiskLoss,
    /// The set of ledgers changes. Invariant: whoever answers grants nothing any more to
    /// rounds that were claimed by an earlier version of the roll.
    Fill,
}
