//! Claim of an idempotency key at the ledgers that are its replicas.
use control_state::*;
use primitives::{Addr, Backoff, Version};
use std::collections::{BTreeMap, BTreeSet};

/// A key claimed for one attempt.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub round: RoundId,
    pub key: String,
    pub fingerprint: Fingerprint,
    /// The key's ledgers in each ledger set, as the sets were when the key was claimed.
    pub replica_sets: Vec<Vec<Addr>>,
    /// Version of those ledger sets.
    pub ledger_sets_version: Version,
    /// Ledgers that had granted the claim when it was won.
    pub granted: BTreeSet<Addr>,
    /// When ledgers that have not answered are asked again.
    pub retry: Backoff,
}

impl Claim {
    /// All ledgers at which the key is claimed.
    pub fn ledgers(&self) -> BTreeSet<Addr> {
        self.replica_sets.iter().flatten().copied().collect()
    }
    /// The message that claims the key at a ledger.
    pub fn ask(&self, ledger: Addr) -> Out {
        let (key, print, round, roll) =
            (self.key.clone(), self.fingerprint, self.round, self.ledger_sets_version);
        Out::Send(ledger, Msg::Claim { key, print, round, roll })
    }
    /// Whether a quorum of every ledger set granted the claim.
    pub fn won(&self, votes: &BTreeMap<Addr, Claimed>, losses: usize) -> bool {
        let granted = |a: &&Addr| votes.get(a) == Some(&Claimed::Granted);
        !self.replica_sets.is_empty()
            && self
                .replica_sets
                .iter()
                .all(|replicas| replicas.iter().filter(granted).count() >= quorum(losses))
    }
}
