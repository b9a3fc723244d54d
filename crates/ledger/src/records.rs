//! The records that the ledger writes to disk.
use crate::disk_cache::StoredCopy;
use control_state::{Fingerprint, Holder, RoundId, Whole};
use primitives::{Birth, Version};
use serde::{Deserialize, Serialize};

/// A record on the ledger's disk. Encoded by position: the order of variants and fields is fixed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Kept {
    /// Incarnation of this disk.
    Birth(Birth),
    /// This ledger may grant: no grant was made elsewhere that its disk ought to hold.
    Open,
    /// The key is granted to the round.
    Grant { key: String, print: Fingerprint, round: RoundId },
    /// The outcome of the round that holds the key.
    Outcome { key: String, round: RoundId, whole: Whole },
    /// The round gave the key back before sending the request.
    Release { key: String, round: RoundId },
    /// The complete state, replacing all records before it, as written by versions that had no
    /// fence.
    Base(Birth, bool, Vec<(String, Fingerprint, RoundId, Option<Whole>)>, Vec<StoredCopy>),
    /// A cached copy.
    Copy(StoredCopy),
    /// Rounds claimed under an earlier version of the ledger sets get no grant.
    Fence(Version),
    /// The complete state, replacing all records before it.
    Whole(Birth, bool, Version, Vec<(String, Fingerprint, RoundId, Option<Whole>)>, Vec<StoredCopy>),
    /// The complete state, replacing all records before it but the outcomes of its grants.
    State(StoredState),
    /// The ledgers that hold the outcome of the round, in place of those named with the outcome.
    Holders { key: String, round: RoundId, holders: Vec<Holder> },
}

/// The state of a ledger without the outcomes, which stand in earlier records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredState {
    pub birth: Birth,
    pub open: bool,
    pub fence: Version,
    pub grants: Vec<StoredGrant>,
}

/// A grant in a [`StoredState`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredGrant {
    pub key: String,
    pub print: Fingerprint,
    pub round: RoundId,
    pub has_outcome: bool,
}

/// Approximate bytes of a small record besides its key.
const SMALL_RECORD_BYTES: usize = 64;

impl Kept {
    /// The record as it is stored.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("encoding a record to memory does not fail")
    }
    /// Approximate bytes of the record as it is stored.
    pub(crate) fn approximate_bytes(&self) -> usize {
        match self {
            Kept::Grant { key, .. } | Kept::Release { key, .. } => SMALL_RECORD_BYTES + key.len(),
            Kept::Outcome { key, whole, .. } => SMALL_RECORD_BYTES + key.len() + whole.size(),
            record => record.encode().len(),
        }
    }
    /// The record in these bytes; `None` if they are not a complete record.
    pub fn decode(bytes: &[u8]) -> Option<Kept> {
        postcard::from_bytes(bytes).ok()
    }
}
