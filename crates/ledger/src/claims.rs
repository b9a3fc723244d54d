//! Claims, releases and outcomes of rounds, as edges send them.
use crate::grants::{Grant, Kept};
use crate::ledger::Ledger;
use control_state::*;
use primitives::{Addr, Mono, Version};

/// The largest outcome that is kept, as a part of the room: one in so many.
const LARGEST_OUTCOME: usize = 16;

/// An edge's asking for a key.
#[derive(Debug)]
pub(crate) struct KeyClaim {
    pub key: String,
    pub print: Fingerprint,
    pub round: RoundId,
    pub roll: Version,
}

impl Ledger {
    pub(crate) fn on_claim(&mut self, now: Mono, from: Addr, claim: KeyClaim, out: &mut Vec<Out>) {
        self.grants.drop_old(now, self.env.window);
        let KeyClaim { key, print, round, roll } = claim;
        let said = match self.grants.look(&key, print, round) {
            Claimed::Granted if !self.may_grant(roll) => Claimed::CannotGrant,
            said => said,
        };
        if said == Claimed::Granted && !self.grants.contains(&key) {
            self.count("granted");
            self.save(now, Kept::Grant { key: key.clone(), print, round }, out);
            self.leaving.note(&key);
        }
        out.push(Out::Send(from, Msg::Claimed { key, round, said }));
    }

    /// Invariant: once this ledger has answered a fill for a version of the roll, or was
    /// opened under it, no round claimed by an earlier version gets its grant, not even one
    /// that has it already and asks again: what it holds may be another ledger's word.
    fn may_grant(&mut self, roll: Version) -> bool {
        if !self.open {
            return false;
        }
        if roll < self.fence {
            self.count("claims by an earlier roll");
            return false;
        }
        if self.grants.bytes() > self.env.most {
            self.count("no room for keys");
            return false;
        }
        true
    }

    pub(crate) fn on_release(&mut self, now: Mono, key: String, round: RoundId, out: &mut Vec<Out>) {
        self.recall.released(round);
        let ours = |g: &Grant| g.round == round && g.whole.is_none();
        if self.grants.get(&key).is_some_and(ours) {
            self.save(now, Kept::Release { key, round }, out);
        }
    }

    /// The outcome of a round; the grant itself may have been missed.
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
        // Too large to keep: later tries are in doubt, as if the answer were lost.
        if whole.size() <= self.env.most / LARGEST_OUTCOME {
            self.keep_outcome(now, key.clone(), round, whole, out);
        }
        self.leaving.note(&key);
        out.push(Out::Send(from, Msg::Kept { key, round }));
    }

    /// Keeps the outcome of that round; older ones make room.
    pub(crate) fn keep_outcome(
        &mut self,
        now: Mono,
        key: String,
        round: RoundId,
        whole: Whole,
        out: &mut Vec<Out>,
    ) {
        // Known already, it may be held by others since.
        let news =
            |g: &Grant| g.round == round && g.whole.as_ref().is_none_or(|w| w.holders() != whole.holders());
        if !self.grants.get(&key).is_some_and(news) {
            return;
        }
        self.count("outcomes");
        self.grants.evict_outcomes(self.outcome_room().saturating_sub(whole.size()));
        self.save(now, Kept::Outcome { key: key.clone(), round, whole }, out);
        self.note_outcome(&key);
    }

    /// Bytes of grants and outcomes up to which outcomes are kept: an outcome that may as well be
    /// lost does not take the room of grants.
    pub(crate) fn outcome_room(&self) -> usize {
        if self.env.minimal_outcome_copies {
            self.env.most / 4 * 3
        } else {
            usize::MAX
        }
    }
}
