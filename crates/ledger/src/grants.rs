//! Grants of keys.
use crate::grant::Grant;
use crate::log_position::LogPosition;
use crate::outcome::Outcome;
use crate::records::*;
use control_state::{Claimed, Fingerprint, Holder, RoundId};
use primitives::{Mono, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Stands for the fingerprint of a request whose grant was trimmed.
const UNKNOWN_PRINT: Fingerprint = Fingerprint([0; 32]);
/// All grants of this ledger. Invariant: a key stays granted to one round until its window is
/// over or that round released it before sending the request.
///
/// Indexed by age as well as by key, with the total size updated on each change: no operation
/// on one key scans the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct Grants {
    keys: BTreeMap<String, Grant>,
    by_age: BTreeSet<(Mono, String)>,
    /// Keys with an outcome, by where it stands in the log: in the order in which outcomes arrived.
    /// The age of the grants cannot give this order: after a restart all are as old as the process.
    outcomes: BTreeMap<LogPosition, String>,
    /// Those of them whose content is in memory.
    in_memory: BTreeSet<LogPosition>,
    index_bytes: usize,
    content_bytes: usize,
}

impl Grants {
    pub fn get(&self, key: &str) -> Option<&Grant> {
        self.keys.get(key)
    }

    pub fn contains(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Approximate bytes of all grants and outcomes in memory.
    pub fn bytes(&self) -> usize {
        self.index_bytes + self.content_bytes
    }

    /// The same without the contents of outcomes.
    pub fn index_bytes(&self) -> usize {
        self.index_bytes
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Grant)> {
        self.keys.iter()
    }

    /// The grants of the keys after this one, in order; all if it is `None`.
    pub fn after(&self, key: Option<&str>) -> impl Iterator<Item = (&String, &Grant)> {
        let start = key.map_or(Bound::Unbounded, Bound::Excluded);
        self.keys.range::<str, _>((start, Bound::Unbounded))
    }

    /// The answer to a claim. `Granted` to a new round must be saved before it is sent. An outcome
    /// whose content is not in memory is left out.
    pub fn check_claim(&self, key: &str, print: Fingerprint, round: RoundId) -> Claimed {
        let current = self.keys.get(key);
        current.map_or(Claimed::Granted, |grant| match (grant.round == round, grant.print == print) {
            (true, _) => Claimed::Granted,
            (_, false) => Claimed::PayloadMismatch,
            _ => Claimed::Held(grant.outcome.as_ref().and_then(|outcome| outcome.content.clone())),
        })
    }

    fn insert(&mut self, key: String, grant: Grant) {
        self.remove(&key);
        self.index_bytes += grant.index_bytes(&key);
        self.content_bytes += grant.content_bytes();
        self.by_age.insert((grant.granted_at, key.clone()));
        if let Some(outcome) = &grant.outcome {
            self.outcomes.insert(grant.stored_at, key.clone());
            if outcome.content.is_some() {
                self.in_memory.insert(grant.stored_at);
            }
        }
        self.keys.insert(key, grant);
    }

    fn remove(&mut self, key: &str) -> Option<Grant> {
        let grant = self.keys.remove(key)?;
        self.index_bytes -= grant.index_bytes(key);
        self.content_bytes -= grant.content_bytes();
        self.by_age.remove(&(grant.granted_at, key.to_string()));
        if grant.outcome.is_some() {
            self.outcomes.remove(&grant.stored_at);
            self.in_memory.remove(&grant.stored_at);
        }
        Some(grant)
    }

    /// Changes the time from which a grant's key window counts.
    pub fn set_granted_at(&mut self, key: &str, granted_at: Mono) {
        if let Some(grant) = self.remove(key) {
            self.insert(key.to_string(), Grant { granted_at, ..grant });
        }
    }

    /// Applies a record that stands at this position of the log.
    pub fn apply(&mut self, record: Kept, position: LogPosition, now: Mono) {
        let granted =
            |print, round, outcome, stored_at| Grant { print, round, outcome, stored_at, granted_at: now };
        match record {
            Kept::Grant { key, print, round } => self.insert(key, granted(print, round, None, position)),
            Kept::Outcome { key, round, whole } => {
                self.apply_outcome((key, round), Outcome::in_memory(whole), position, now);
            }
            Kept::Holders { key, round, holders } => self.set_holders(&key, round, holders),
            Kept::Release { key, round } => {
                if self.keys.get(&key).is_some_and(|grant| grant.round == round && grant.outcome.is_none()) {
                    self.remove(&key);
                }
            }
            Kept::Base(_, _, grants, _) | Kept::Whole(_, _, _, grants, _) => {
                *self = Grants::default();
                for (n, (key, print, round, whole)) in grants.into_iter().enumerate() {
                    // All stand in one record: the order of its list tells them apart.
                    let stored_at = LogPosition { byte: position.byte + n as u64, ..position };
                    let outcome = whole.map(Outcome::in_memory);
                    self.insert(key, granted(print, round, outcome, stored_at));
                }
            }
            Kept::State(state) => {
                let mut earlier = std::mem::take(self).keys;
                for StoredGrant { key, print, round, has_outcome } in state.grants {
                    let known = earlier.remove(&key).filter(|grant| has_outcome && grant.round == round);
                    let (outcome, stored_at) = known.map_or((None, position), |g| (g.outcome, g.stored_at));
                    self.insert(key, granted(print, round, outcome, stored_at));
                }
            }
            Kept::Birth(_) | Kept::Open | Kept::Copy(_) | Kept::Fence(_) => (),
        }
    }

    /// Applies the record of an outcome that stands at this position of the log.
    pub fn apply_outcome(
        &mut self,
        (key, round): (String, RoundId),
        outcome: Outcome,
        stored_at: LogPosition,
        now: Mono,
    ) {
        match self.keys.get(&key) {
            Some(grant) if grant.round == round => self.set_outcome(&key, Some(outcome), stored_at),
            Some(_) => (),
            // Its grant was trimmed. A later `State` tells whether the round holds the key.
            None => {
                let (print, outcome) = (UNKNOWN_PRINT, Some(outcome));
                self.insert(key, Grant { print, round, outcome, stored_at, granted_at: now });
            }
        }
    }

    fn set_outcome(&mut self, key: &str, outcome: Option<Outcome>, stored_at: LogPosition) {
        if let Some(grant) = self.remove(key) {
            self.insert(key.to_string(), Grant { outcome, stored_at, ..grant });
        }
    }

    fn set_holders(&mut self, key: &str, round: RoundId, holders: Vec<Holder>) {
        if self.keys.get(key).is_some_and(|grant| grant.round == round) {
            self.change_outcome(key, |outcome| outcome.with_holders(holders));
        }
    }

    /// Releases the oldest contents of outcomes from memory until they take at most `max_content_bytes`,
    /// and together with all grants at most `max_bytes`. They stand in the log.
    pub fn release_contents(&mut self, max_bytes: usize, max_content_bytes: usize) {
        while self.bytes() > max_bytes || self.content_bytes > max_content_bytes {
            let Some(key) = self.in_memory.first().and_then(|position| self.outcomes.get(position)).cloned()
            else {
                return;
            };
            self.change_outcome(&key, |outcome| Outcome { content: None, ..outcome });
        }
    }

    fn change_outcome(&mut self, key: &str, change: impl FnOnce(Outcome) -> Outcome) {
        if let Some(grant) = self.remove(key) {
            let outcome = grant.outcome.map(change);
            self.insert(key.to_string(), Grant { outcome, ..grant });
        }
    }

    /// Where the oldest outcome stands in the log.
    pub fn oldest_outcome(&self) -> Option<LogPosition> {
        self.outcomes.keys().next().copied()
    }

    /// Evicts the oldest outcome; its key stays granted. Returns whether there was one.
    pub fn evict_oldest_outcome(&mut self) -> bool {
        let Some((position, key)) = self.outcomes.iter().next().map(|(p, key)| (*p, key.clone())) else {
            return false;
        };
        self.set_outcome(&key, None, position);
        true
    }

    /// Evicts outcomes, oldest first, until grants and outcomes take at most `max_bytes`. Returns
    /// their number.
    pub fn evict_outcomes(&mut self, max_bytes: usize) -> u64 {
        let mut evicted = 0;
        while self.bytes() > max_bytes && self.evict_oldest_outcome() {
            evicted += 1;
        }
        evicted
    }

    /// Drops the grants whose key window is over.
    pub fn drop_old(&mut self, now: Mono, window: Span) {
        while let Some((granted_at, key)) = self.by_age.first() {
            if now - *granted_at < window {
                return;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }
}
