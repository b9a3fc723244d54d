//! Ledger sets: which ledgers a key is claimed from, and how that set changes.
use crate::items::*;
use crate::state::ControlState;
use crate::verdict::{Verdict, Void};
use primitives::{Addr, Birth, NodeId, Span, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long after its claim a granted attempt may still be sent to an origin; later it never is.
/// So an attempt that was delayed cannot overlap with the next grant of its key.
pub const LEAVE: Span = Span::secs(5);

/// Number of ledgers that are responsible for a key, if `losses` disks may be lost at once.
pub fn replicas(losses: usize) -> usize {
    2 * losses + 1
}

/// Number of grants that an attempt needs. Invariant: any two quorums of a key's ledgers have a
/// ledger in common, also where there are fewer ledgers than replicas.
pub fn quorum(losses: usize) -> usize {
    losses + 1
}

/// A member slot of a ledger set: the ledger's address, and the incarnation of the disk it joined
/// with. Invariant: another incarnation of the disk at the same slot has lost grants, and must
/// recall them or wait until their window is over before it grants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seat {
    pub id: NodeId,
    pub addr: Addr,
    pub zone: Zone,
    pub birth: Birth,
}

/// The current ledger sets, the older one first.
///
/// Invariant: there is one set, or two while the set changes, and an attempt needs a quorum of a
/// key's ledgers in every set. The older set is removed only when each ledger of the newer one
/// holds all that the older granted and the older grants nothing alone any more, or one window
/// after the newer set was in force at every edge. So of any two attempts for a key that could run
/// within one window, at least one ledger knows both.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    pub sets: Vec<Vec<Seat>>,
}

impl Roll {
    /// The ledger sets among these items; none if there are none yet.
    pub fn of(items: &BTreeMap<Key, Item>) -> Roll {
        match items.get(&Key::Roll).and_then(|item| item.body.as_ref()) {
            Some(Body::Roll(roll)) => roll.clone(),
            _ => Roll::default(),
        }
    }

    /// The version of the ledger sets among these items; 0 if there are none yet.
    pub fn version(items: &BTreeMap<Key, Item>) -> Version {
        items.get(&Key::Roll).map_or(Version(0), |item| item.ver)
    }

    /// The set whose grants decide: while the set changes, the older one.
    pub fn authoritative_set(&self) -> &[Seat] {
        self.sets.first().map_or(&[], |set| set)
    }

    /// The addresses of a key's ledgers, for each set.
    pub fn named(&self, key: &str, losses: usize) -> Vec<Vec<Addr>> {
        self.sets.iter().map(|set| ledgers_for_key(key, set, losses)).collect()
    }

    /// The slots of all sets; while the set changes a ledger may occur twice.
    pub fn seats(&self) -> impl Iterator<Item = &Seat> {
        self.sets.iter().flatten()
    }

    /// The set that these ledgers should form, sorted. A ledger that has a slot already keeps it,
    /// with the incarnation of its disk that the slot was created with.
    pub fn wanted(&self, ledgers: impl Iterator<Item = Seat>) -> Vec<Seat> {
        let same =
            |one: &Seat, other: &Seat| (one.id, one.addr, &one.zone) == (other.id, other.addr, &other.zone);
        let existing_slot =
            |ledger: Seat| self.seats().find(|slot| same(slot, &ledger)).cloned().unwrap_or(ledger);
        let mut wanted: Vec<Seat> = ledgers.map(existing_slot).collect();
        wanted.sort();
        wanted
    }
}

impl ControlState {
    /// Adds a newer set beside the current one. If there is a newer set already it is replaced, by
    /// the same or another one: every attempt since then still has its quorum in the older set.
    pub(crate) fn set_next_ledgers(&mut self, expect: Version, next: &[Seat]) -> Verdict {
        let current = self.item(&Key::Roll);
        if current.ver != expect {
            return Verdict::Stale(Key::Roll, current);
        }
        let mut sets = Roll::of(&self.items).sets;
        if sets.len() == 1 && sets[0] == next {
            return Verdict::Void(Void::NothingNew);
        }
        sets.truncate(1);
        sets.push(next.to_vec());
        self.put(Key::Roll, Some(Body::Roll(Roll { sets })))
    }

    /// Removes the older of two sets; if `early`, only if no row ever existed.
    pub(crate) fn retire_older_ledgers(&mut self, expect: Version, early: bool) -> Verdict {
        let current = self.item(&Key::Roll);
        if current.ver != expect {
            return Verdict::Stale(Key::Roll, current);
        }
        let mut sets = Roll::of(&self.items).sets;
        if sets.len() < 2 || (early && self.rows()) {
            return Verdict::Void(Void::NothingNew);
        }
        sets.remove(0);
        self.put(Key::Roll, Some(Body::Roll(Roll { sets })))
    }
}

/// The ledgers of a key: by rank of their hashes, at first at most one of each zone, then the rest.
fn ledgers_for_key(key: &str, all: &[Seat], losses: usize) -> Vec<Addr> {
    let wanted = replicas(losses);
    let ranked = primitives::rank(&key, all, |ledger| ledger.id.0);
    let mut picked: Vec<&Seat> = vec![];
    for ledger in &ranked {
        if picked.len() < wanted && picked.iter().all(|other| other.zone != ledger.zone) {
            picked.push(ledger);
        }
    }
    let remaining = ranked.iter().filter(|ledger| !picked.iter().any(|other| other.id == ledger.id));
    let same_zone: Vec<_> = remaining.take(wanted - picked.len()).collect();
    picked.extend(same_zone);
    picked.into_iter().map(|ledger| ledger.addr).collect()
}
