//! A claim of a key at the ledgers that are its replicas.
use control_state::*;
use primitives::{Addr, Backoff, Version};
use std::collections::{BTreeMap, BTreeSet};

/// A key claimed for one round.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub round: RoundId,
    pub key: String,
    pub fingerprint: Fingerprint,
    /// The key's ledgers, for each set of the roll as it was when it was claimed.
    pub replica_sets: Vec<Vec<Addr>>,
    /// The version of that roll.
    pub ledger_sets_version: Version,
    /// Who had granted it when it was won.
    pub granted: BTreeSet<Addr>,
    /// When ledgers that keep silent are asked again.
    pub retry: Backoff,
}

impl Claim {
    pub fn ledgers(&self) -> BTreeSet<Addr> {
        self.replica_sets.iter().flatten().copied().collect()
    }
    pub fn ask(&self, ledger: Addr) -> Out {
        let (key, print, round, roll) =
            (self.key.clone(), self.fingerprint, self.round, self.ledger_sets_version);
        Out::Send(ledger, Msg::Claim { key, print, round, roll })
    }
    /// A quorum granted it, in every set.
    pub fn won(&self, votes: &BTreeMap<Addr, Claimed>, losses: usize) -> bool {
        let granted = |a: &&Addr| votes.get(a) == Some(&Claimed::Granted);
        !self.replica_sets.is_empty()
            && self
                .replica_sets
                .iter()
                .all(|replicas| replicas.iter().filter(granted).count() >= quorum(losses))
    }
}
