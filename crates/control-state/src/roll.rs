//! The roll: which ledgers a key is claimed from, and how that set changes.
use crate::items::*;
use crate::state::{ControlState, Verdict, Void};
use primitives::{Addr, Birth, NodeId, Span, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A granted round must leave within this of its claim, or it never does: so it never
/// runs late into the next grant of its key.
pub const LEAVE: Span = Span::secs(5);

/// The ledgers a key is named to, for so many lost disks to be borne at once.
pub fn replicas(losses: usize) -> usize {
    2 * losses + 1
}

/// The grants a round needs. Invariant: any two quorums of a key's ledgers meet, also
/// where there are fewer ledgers than replicas.
pub fn quorum(losses: usize) -> usize {
    losses + 1
}

/// One ledger's place in the ledger: where it sits, and the life of the disk that
/// it came with. Invariant: a disk of another life at the same place has lost
/// grants, and must recall them or wait for their window before it grants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seat {
    pub id: NodeId,
    pub addr: Addr,
    pub zone: Zone,
    pub birth: Birth,
}

/// Invariant: one set, or two while the set changes; a round needs a quorum of a key's
/// ledgers in every set. The older one goes only once every ledger of the newer one holds
/// what it granted and no more is granted by it alone, or a window after the newer was in
/// force at every edge: any two rounds of a key that could run within the window of
/// one another meet in some ledger's memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    pub sets: Vec<Vec<Seat>>,
}

impl Roll {
    pub fn of(items: &BTreeMap<Key, Item>) -> Roll {
        match items.get(&Key::Roll).and_then(|it| it.body.as_ref()) {
            Some(Body::Roll(r)) => r.clone(),
            _ => Roll::default(),
        }
    }

    /// The version of the roll among these items.
    pub fn version(items: &BTreeMap<Key, Item>) -> Version {
        items.get(&Key::Roll).map_or(Version(0), |it| it.ver)
    }

    /// The set whose grants decide: the older one while the set changes.
    pub fn authoritative_set(&self) -> &[Seat] {
        self.sets.first().map_or(&[], |s| s)
    }

    /// A key's ledgers, for each set.
    pub fn named(&self, key: &str, losses: usize) -> Vec<Vec<Addr>> {
        self.sets.iter().map(|s| ledgers_for_key(key, s, losses)).collect()
    }

    pub fn seats(&self) -> impl Iterator<Item = &Seat> {
        self.sets.iter().flatten()
    }

    /// The set as it should be with these ledgers: a place once taken keeps the life
    /// that it was taken with.
    pub fn wanted(&self, ledgers: impl Iterator<Item = Seat>) -> Vec<Seat> {
        let same = |a: &Seat, b: &Seat| (a.id, a.addr, &a.zone) == (b.id, b.addr, &b.zone);
        let taken = |c: Seat| self.seats().find(|w| same(w, &c)).cloned().unwrap_or(c);
        let mut wanted: Vec<Seat> = ledgers.map(taken).collect();
        wanted.sort();
        wanted
    }
}

impl ControlState {
    /// Names a newer set beside the one there is. While the set changes it takes the
    /// place of the newer one, the same or another: every round since still has its quorum
    /// in the older set.
    pub(crate) fn set_next_ledgers(&mut self, expect: Version, next: &[Seat]) -> Verdict {
        let was = self.item(&Key::Roll);
        if was.ver != expect {
            return Verdict::Stale(Key::Roll, was);
        }
        let mut sets = Roll::of(&self.items).sets;
        if sets.len() == 1 && sets[0] == next {
            return Verdict::Void(Void::NothingNew);
        }
        sets.truncate(1);
        sets.push(next.to_vec());
        self.put(Key::Roll, Some(Body::Roll(Roll { sets })))
    }

    pub(crate) fn settle(&mut self, expect: Version, early: bool) -> Verdict {
        let was = self.item(&Key::Roll);
        if was.ver != expect {
            return Verdict::Stale(Key::Roll, was);
        }
        let mut sets = Roll::of(&self.items).sets;
        if sets.len() < 2 || (early && self.rows()) {
            return Verdict::Void(Void::NothingNew);
        }
        sets.remove(0);
        self.put(Key::Roll, Some(Body::Roll(Roll { sets })))
    }
}

/// Ranked by hash, zones first spread out.
fn ledgers_for_key(key: &str, all: &[Seat], losses: usize) -> Vec<Addr> {
    let most = replicas(losses);
    let ranked = primitives::rank(&key, all, |c| c.id.0);
    let mut picked: Vec<&Seat> = vec![];
    for c in &ranked {
        if picked.len() < most && picked.iter().all(|p| p.zone != c.zone) {
            picked.push(c);
        }
    }
    let rest = ranked.iter().filter(|c| !picked.iter().any(|p| p.id == c.id));
    let fill: Vec<_> = rest.take(most - picked.len()).collect();
    picked.extend(fill);
    picked.into_iter().map(|c| c.addr).collect()
}
