//! The grants of keys and what of it reaches the disk.
use crate::disk_cache::StoredCopy;
use control_state::{Claimed, Fingerprint, Held, RoundId, Whole};
use primitives::{Birth, Mono, Span, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Kept {
    /// This disk's life.
    Birth(Birth),
    /// This disk may grant: nothing was granted elsewhere that it ought to know.
    Open,
    Grant {
        key: String,
        print: Fingerprint,
        round: RoundId,
    },
    Outcome {
        key: String,
        round: RoundId,
        whole: Whole,
    },
    Release {
        key: String,
        round: RoundId,
    },
    /// All there is, in place of all records before, as versions without a fence wrote it.
    Base(Birth, bool, Vec<(String, Fingerprint, RoundId, Option<Whole>)>, Vec<StoredCopy>),
    Copy(StoredCopy),
    /// Rounds claimed by an earlier version of the roll are granted nothing.
    Fence(Version),
    /// All there is, in place of all records before.
    Whole(Birth, bool, Version, Vec<(String, Fingerprint, RoundId, Option<Whole>)>, Vec<StoredCopy>),
}

impl Kept {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data always encodes")
    }
    pub fn decode(b: &[u8]) -> Option<Kept> {
        postcard::from_bytes(b).ok()
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub print: Fingerprint,
    pub round: RoundId,
    pub whole: Option<Whole>,
    /// Invariant: at or after the true time of the grant; after a restart, the
    /// restart. A key so is held longer than its window, never shorter.
    pub at: Mono,
}

impl Grant {
    pub fn show(&self, now: Mono, key: &str) -> Held {
        let (print, round, whole) = (self.print, self.round, self.whole.clone());
        Held { key: key.into(), print, round, whole, age: now - self.at }
    }
}

/// Keys in the order in which their outcomes came. Ages do not tell it: after a restart all grants
/// are as old as the process.
#[derive(Clone, Debug, Default)]
struct Arrivals {
    in_order: BTreeMap<u64, String>,
    places: BTreeMap<String, u64>,
    last: u64,
}

impl Arrivals {
    fn insert(&mut self, key: &str) {
        self.last += 1;
        self.in_order.insert(self.last, key.to_string());
        self.places.insert(key.to_string(), self.last);
    }

    fn remove(&mut self, key: &str) {
        self.places.remove(key).and_then(|place| self.in_order.remove(&place));
    }

    fn first(&self) -> Option<String> {
        self.in_order.values().next().cloned()
    }
}

/// Invariant: a key is granted to one round until its window is over or that
/// round gave it back unsent.
///
/// Kept by age beside by key, and their size counted as they change: nothing that is done
/// for one key looks through the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct Grants {
    keys: BTreeMap<String, Grant>,
    by_age: BTreeSet<(Mono, String)>,
    outcomes: Arrivals,
    bytes: usize,
}

/// What a grant takes in memory, roughly, beside its key and its outcome.
const GRANT: usize = 128;

fn size(key: &str, grant: &Grant) -> usize {
    GRANT + key.len() + grant.whole.as_ref().map_or(0, |whole| whole.size())
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

    /// What they come to.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Grant)> {
        self.keys.iter()
    }

    /// What to say to a claim; `Granted` to a new round must be saved first.
    pub fn look(&self, key: &str, print: Fingerprint, round: RoundId) -> Claimed {
        let held = self.keys.get(key);
        held.map_or(Claimed::Granted, |g| match (g.round == round, g.print == print) {
            (true, _) => Claimed::Granted,
            (_, false) => Claimed::PayloadMismatch,
            _ => Claimed::Held(g.whole.clone()),
        })
    }

    fn insert(&mut self, key: String, grant: Grant) {
        self.remove(&key);
        self.bytes += size(&key, &grant);
        self.by_age.insert((grant.at, key.clone()));
        if grant.whole.is_some() {
            self.outcomes.insert(&key);
        }
        self.keys.insert(key, grant);
    }

    fn remove(&mut self, key: &str) -> Option<Grant> {
        let grant = self.keys.remove(key)?;
        self.bytes -= size(key, &grant);
        self.by_age.remove(&(grant.at, key.to_string()));
        self.outcomes.remove(key);
        Some(grant)
    }

    /// Counts a grant's age from another moment.
    pub fn set_at(&mut self, key: &str, at: Mono) {
        if let Some(grant) = self.remove(key) {
            self.insert(key.to_string(), Grant { at, ..grant });
        }
    }

    pub fn apply(&mut self, k: Kept, now: Mono) {
        match k {
            Kept::Grant { key, print, round } => {
                self.insert(key, Grant { print, round, whole: None, at: now });
            }
            Kept::Outcome { key, round, whole } => {
                if self.keys.get(&key).is_some_and(|g| g.round == round) {
                    let grant = self.remove(&key);
                    grant.into_iter().for_each(|g| {
                        self.insert(key.clone(), Grant { whole: Some(whole.clone()), ..g });
                    });
                }
            }
            Kept::Release { key, round } => {
                if self.keys.get(&key).is_some_and(|g| g.round == round && g.whole.is_none()) {
                    self.remove(&key);
                }
            }
            Kept::Base(_, _, all, _) | Kept::Whole(_, _, _, all, _) => {
                *self = Grants::default();
                for (key, print, round, whole) in all {
                    self.insert(key, Grant { print, round, whole, at: now });
                }
            }
            Kept::Birth(_) | Kept::Open | Kept::Copy(_) | Kept::Fence(_) => (),
        }
    }

    /// Forgets outcomes, the oldest first, until all comes to no more than that. The grants stay.
    pub fn evict_outcomes(&mut self, most: usize) {
        while self.bytes > most {
            let Some(key) = self.outcomes.first() else { return };
            let grant = self.remove(&key);
            grant.into_iter().for_each(|g| self.insert(key.clone(), Grant { whole: None, ..g }));
        }
    }

    /// Drops those whose window is over, the oldest first.
    pub fn drop_old(&mut self, now: Mono, window: Span) {
        while let Some((at, key)) = self.by_age.first() {
            if now - *at < window {
                return;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }
}
