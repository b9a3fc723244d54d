//! The grants of keys and what of it reaches the disk.
use crate::stock::Stocked;
use control_state::{Claimed, Held, Print, RoundId, Whole};
use primitives::{Birth, Mono, Span, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Kept {
    /// This disk's life.
    Birth(Birth),
    /// This disk may grant: nothing was granted elsewhere that it ought to know.
    Open,
    Grant {
        key: String,
        print: Print,
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
    Base(Birth, bool, Vec<(String, Print, RoundId, Option<Whole>)>, Vec<Stocked>),
    Copy(Stocked),
    /// Rounds claimed by an earlier version of the roll are granted nothing.
    Fence(Version),
    /// All there is, in place of all records before.
    Whole(Birth, bool, Version, Vec<(String, Print, RoundId, Option<Whole>)>, Vec<Stocked>),
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
    pub print: Print,
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

/// Invariant: a key is granted to one round until its window is over or that
/// round gave it back unsent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Grants {
    pub keys: BTreeMap<String, Grant>,
    /// What they come to, as of the last look at their ages.
    pub bytes: usize,
}

impl Grants {
    /// What to say to a claim; `Granted` to a new round must be saved first.
    pub fn look(&self, key: &str, print: Print, round: RoundId) -> Claimed {
        let held = self.keys.get(key);
        held.map_or(Claimed::Granted, |g| match (g.round == round, g.print == print) {
            (true, _) => Claimed::Granted,
            (_, false) => Claimed::OtherBody,
            _ => Claimed::Held(g.whole.clone()),
        })
    }

    pub fn apply(&mut self, k: Kept, now: Mono) {
        match k {
            Kept::Grant { key, print, round } => {
                self.keys.insert(key, Grant { print, round, whole: None, at: now });
            }
            Kept::Outcome { key, round, whole } => {
                if let Some(g) = self.keys.get_mut(&key).filter(|g| g.round == round) {
                    g.whole = Some(whole);
                }
            }
            Kept::Release { key, round } => {
                if self.keys.get(&key).is_some_and(|g| g.round == round && g.whole.is_none()) {
                    self.keys.remove(&key);
                }
            }
            Kept::Base(_, _, all, _) | Kept::Whole(_, _, _, all, _) => {
                let grant = |(key, print, round, whole)| (key, Grant { print, round, whole, at: now });
                self.keys = all.into_iter().map(grant).collect();
            }
            Kept::Birth(_) | Kept::Open | Kept::Copy(_) | Kept::Fence(_) => (),
        }
    }

    pub fn drop_old(&mut self, now: Mono, window: Span) {
        self.keys.retain(|_, g| now - g.at < window);
        let size = |(k, g): (&String, &Grant)| 128 + k.len() + g.whole.as_ref().map_or(0, |w| w.size());
        self.bytes = self.keys.iter().map(size).sum();
    }

    pub fn dump(&self) -> Vec<(String, Print, RoundId, Option<Whole>)> {
        self.keys.iter().map(|(k, g)| (k.clone(), g.print, g.round, g.whole.clone())).collect()
    }
}
