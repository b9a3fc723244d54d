//! A claim of a key at the ledgers that are its replicas.
use control_state::*;
use primitives::{Addr, Backoff, Version};
use std::collections::{BTreeMap, BTreeSet};

/// A key claimed for one round.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub round: RoundId,
    pub key: String,
    pub print: Fingerprint,
    /// The key's ledgers, for each set of the roll as it was when it was claimed.
    pub named: Vec<Vec<Addr>>,
    /// The version of that roll.
    pub roll: Version,
    /// Who had granted it when it was won.
    pub granted: BTreeSet<Addr>,
    /// When ledgers that keep silent are asked again.
    pub ask_again: Backoff,
}

impl Claim {
    pub fn ledgers(&self) -> BTreeSet<Addr> {
        self.named.iter().flatten().copied().collect()
    }
    pub fn ask(&self, ledger: Addr) -> Out {
        let (key, print, round, roll) = (self.key.clone(), self.print, self.round, self.roll);
        Out::Send(ledger, Msg::Claim { key, print, round, roll })
    }
    /// A quorum granted it, in every set.
    pub fn won(&self, votes: &BTreeMap<Addr, Claimed>, losses: usize) -> bool {
        let yes = |a: &&Addr| votes.get(a) == Some(&Claimed::Granted);
        !self.named.is_empty() && self.named.iter().all(|n| n.iter().filter(yes).count() >= quorum(losses))
    }
}
