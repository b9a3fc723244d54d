//! Claims, releases and outcomes of rounds, as edges send them.
use crate::grant::Grant;
use crate::ledger::Ledger;
use crate::outgoing;
use crate::records::Kept;
use control_state::*;
use primitives::{Addr, Mono, Version};

/// The largest outcome that is stored is this fraction (1/n) of the bytes for keys and outcomes.
const OUTCOME_SIZE_DIVISOR: usize = 16;

/// An edge's claim of a key for a round.
#[derive(Debug)]
pub(crate) struct KeyClaim {
    pub key: String,
    pub print: Fingerprint,
    pub round: RoundId,
    /// Version of the ledger sets by which the edge chose the key's ledgers.
    pub roll: Version,
}

impl Ledger {
    pub(crate) fn on_claim(&mut self, now: Mono, from: Addr, claim: KeyClaim, out: &mut Vec<Out>) {
        self.grants.drop_old(now, self.env.window);
        let KeyClaim { key, print, round, roll } = claim;
        let said = match self.grants.check_claim(&key, print, round) {
            Claimed::Granted if !self.may_grant(roll) => Claimed::CannotGrant,
            answer => answer,
        };
        if said == Claimed::Granted && !self.grants.contains(&key) {
            self.count("granted");
            self.save(now, Kept::Grant { key: key.clone(), print, round }, out);
            self.leaving.add_key(&key);
        }
        let known = self.grants.get(&key).filter(|_| said == Claimed::Held(None));
        let in_log = known.and_then(Grant::outcome_in_log);
        let missing = in_log.map(|outcome| outcome.missing_at(0)).into_iter().collect();
        outgoing::send(from, Msg::Claimed { key, round, said }, missing, out);
    }

    /// Invariant: once this ledger has answered a fill for a version of the ledger sets, or
    /// was opened under it, it grants nothing to a round claimed under an earlier version, not
    /// even to one that already has the grant and asks again: the grant may have been copied
    /// from another ledger and must not count as this ledger's own vote.
    fn may_grant(&mut self, version: Version) -> bool {
        if !self.open {
            return false;
        }
        if version < self.fence {
            self.count("claims by an earlier roll");
            return false;
        }
        if self.grants.bytes() > self.env.most || !self.has_room_for_outcomes() {
            self.count("no room for keys");
            return false;
        }
        true
    }

    pub(crate) fn on_release(&mut self, now: Mono, key: String, round: RoundId, out: &mut Vec<Out>) {
        self.recall.add_released(round);
        let is_releasable = |g: &Grant| g.round == round && g.outcome.is_none();
        if self.grants.get(&key).is_some_and(is_releasable) {
            self.save(now, Kept::Release { key, round }, out);
        }
    }

    /// Stores the outcome of a round, and the grant too if this ledger missed it.
    pub(crate) fn on_outcome(
        &mut self,
        now: Mono,
        from: Addr,
        grant: Kept,
        whole: Whole,
        out: &mut Vec<Out>,
    ) {
        let Kept::Grant { key, round, .. } = grant.clone() else { return };
        if !self.grants.contains(&key) {
            self.save(now, grant, out);
        }
        // An outcome that is too large is not stored: later retries of the key cannot learn
        // what became of it, as if the response had been lost.
        if whole.size() <= self.env.most / OUTCOME_SIZE_DIVISOR {
            self.store_outcome(now, key.clone(), round, whole, out);
        }
        self.leaving.add_key(&key);
        out.push(Out::Send(from, Msg::Kept { key, round }));
    }

    /// Stores the outcome if that round holds the key; evicts the oldest outcomes to make room.
    pub(crate) fn store_outcome(
        &mut self,
        now: Mono,
        key: String,
        round: RoundId,
        whole: Whole,
        out: &mut Vec<Out>,
    ) {
        // An outcome that is already stored may by now have other holders.
        let holders = whole.holders();
        let is_new = |g: &Grant| g.round == round && g.outcome.as_ref().is_none_or(|o| o.holders != holders);
        if !self.grants.get(&key).is_some_and(is_new) {
            return;
        }
        self.count("outcomes");
        self.make_room(whole.size());
        self.save(now, Kept::Outcome { key: key.clone(), round, whole }, out);
        self.check_replication(&key);
    }
}
