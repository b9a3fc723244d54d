//! Grants of keys, and the records that the ledger writes to disk.
use crate::disk_cache::StoredCopy;
use control_state::{Claimed, Fingerprint, Held, RoundId, Whole};
use primitives::{Birth, Mono, Span, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

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
}

impl Kept {
    /// The record as it is stored.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("encoding a record to memory does not fail")
    }
    /// The record in these bytes; `None` if they are not a complete record.
    pub fn decode(bytes: &[u8]) -> Option<Kept> {
        postcard::from_bytes(bytes).ok()
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub print: Fingerprint,
    pub round: RoundId,
    pub whole: Option<Whole>,
    /// Time from which the key window counts. Invariant: not before the true time of the grant;
    /// after a restart, the time of the restart. A key is therefore held longer than its
    /// window, never shorter.
    pub granted_at: Mono,
}

impl Grant {
    /// The record of this grant as other ledgers receive it.
    pub fn show(&self, now: Mono, key: &str) -> Held {
        let (print, round, whole) = (self.print, self.round, self.whole.clone());
        Held { key: key.into(), print, round, whole, age: now - self.granted_at }
    }
}

/// Keys in the order in which their outcomes arrived. The age of the grants cannot give this
/// order: after a restart all grants are as old as the process.
#[derive(Clone, Debug, Default)]
struct OutcomeOrder {
    by_number: BTreeMap<u64, String>,
    numbers: BTreeMap<String, u64>,
    last: u64,
}

impl OutcomeOrder {
    fn insert(&mut self, key: &str) {
        self.last += 1;
        self.by_number.insert(self.last, key.to_string());
        self.numbers.insert(key.to_string(), self.last);
    }

    fn remove(&mut self, key: &str) {
        self.numbers.remove(key).and_then(|number| self.by_number.remove(&number));
    }

    fn first(&self) -> Option<String> {
        self.by_number.values().next().cloned()
    }
}

/// All grants of this ledger. Invariant: a key stays granted to one round until its window is
/// over or that round released it before sending the request.
///
/// Indexed by age as well as by key, with the total size updated on each change: no operation
/// on one key scans the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct Grants {
    keys: BTreeMap<String, Grant>,
    by_age: BTreeSet<(Mono, String)>,
    outcomes: OutcomeOrder,
    bytes: usize,
}

/// Approximate bytes that a grant takes in memory besides its key and its outcome.
const GRANT_OVERHEAD_BYTES: usize = 128;

fn size(key: &str, grant: &Grant) -> usize {
    GRANT_OVERHEAD_BYTES + key.len() + grant.whole.as_ref().map_or(0, |whole| whole.size())
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
        self.bytes
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Grant)> {
        self.keys.iter()
    }

    /// The answer to a claim. `Granted` to a new round must be saved before it is sent.
    pub fn check_claim(&self, key: &str, print: Fingerprint, round: RoundId) -> Claimed {
        let current = self.keys.get(key);
        current.map_or(Claimed::Granted, |grant| match (grant.round == round, grant.print == print) {
            (true, _) => Claimed::Granted,
            (_, false) => Claimed::PayloadMismatch,
            _ => Claimed::Held(grant.whole.clone()),
        })
    }

    fn insert(&mut self, key: String, grant: Grant) {
        self.remove(&key);
        self.bytes += size(&key, &grant);
        self.by_age.insert((grant.granted_at, key.clone()));
        if grant.whole.is_some() {
            self.outcomes.insert(&key);
        }
        self.keys.insert(key, grant);
    }

    fn remove(&mut self, key: &str) -> Option<Grant> {
        let grant = self.keys.remove(key)?;
        self.bytes -= size(key, &grant);
        self.by_age.remove(&(grant.granted_at, key.to_string()));
        self.outcomes.remove(key);
        Some(grant)
    }

    /// Changes the time from which a grant's key window counts.
    pub fn set_granted_at(&mut self, key: &str, granted_at: Mono) {
        if let Some(grant) = self.remove(key) {
            self.insert(key.to_string(), Grant { granted_at, ..grant });
        }
    }

    pub fn apply(&mut self, record: Kept, now: Mono) {
        match record {
            Kept::Grant { key, print, round } => {
                self.insert(key, Grant { print, round, whole: None, granted_at: now });
            }
            Kept::Outcome { key, round, whole } => {
                if self.keys.get(&key).is_some_and(|grant| grant.round == round) {
                    let removed = self.remove(&key);
                    removed.into_iter().for_each(|grant| {
                        self.insert(key.clone(), Grant { whole: Some(whole.clone()), ..grant });
                    });
                }
            }
            Kept::Release { key, round } => {
                if self.keys.get(&key).is_some_and(|grant| grant.round == round && grant.whole.is_none()) {
                    self.remove(&key);
                }
            }
            Kept::Base(_, _, grants, _) | Kept::Whole(_, _, _, grants, _) => {
                *self = Grants::default();
                for (key, print, round, whole) in grants {
                    self.insert(key, Grant { print, round, whole, granted_at: now });
                }
            }
            Kept::Birth(_) | Kept::Open | Kept::Copy(_) | Kept::Fence(_) => (),
        }
    }

    /// Evicts outcomes, oldest first, until grants and outcomes take at most `max_bytes`.
    /// Grants are never evicted.
    pub fn evict_outcomes(&mut self, max_bytes: usize) {
        while self.bytes > max_bytes {
            let Some(key) = self.outcomes.first() else { return };
            let removed = self.remove(&key);
            removed.into_iter().for_each(|grant| self.insert(key.clone(), Grant { whole: None, ..grant }));
        }
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
