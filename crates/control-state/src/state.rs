//! Applying decided commands.
use crate::command::*;
use crate::configuration::{EditError, EntryNumber, PurgeBy};
use crate::confirmed::Confirmed;
use crate::items::*;
use crate::purges::is_expired_purge;
use primitives::Version;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Eras count the cuts; each is an agreement of its own.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Era(pub u64);

/// Why a change had no effect although nobody was ahead of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Void {
    /// It names a life of an origin that is no longer there.
    OtherLife,
    Absent,
    /// The same id was used for a different change.
    IdTaken,
    NothingNew,
}

/// What became of a change; the first one is kept for every replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Done(Vec<(Key, Version)>),
    Stale(Key, Item),
    Void(Void),
    /// Invalid, and of no effect at all.
    InvalidEdit(EditError),
    /// A number of it belongs to another content; of no effect at all.
    Conflict(EntryNumber),
    /// Of no effect: whether this number was confirmed, and with what, is forgotten.
    Forgotten(EntryNumber),
}

impl Verdict {
    /// The change was refused for what it is: nothing earlier has to be in force for it.
    pub fn is_refusal(&self) -> bool {
        let by_id = matches!(self, Verdict::Void(Void::IdTaken));
        by_id || matches!(self, Verdict::Stale(..) | Verdict::InvalidEdit(_) | Verdict::Conflict(_))
    }
}

/// Keep at least this many receipts; older whole eras of them are dropped at a cut.
const RECEIPTS: usize = 4096;
/// Purges of one service remembered singly over a cut.
const PURGES: usize = 2000;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    pub era: Era,
    pub members: Vec<Member>,
    /// Earlier rosters that some edge may still go by, with the era that followed.
    pub past: Vec<(Era, Vec<Member>)>,
    /// Invariant: above every controller id ever given out.
    pub next_member_id: u16,
    /// Stamps of the era are above this.
    pub clock: u64,
    /// Invariant: nothing is ever taken out; deletions leave tombstones. Only
    /// purges of long past eras go: their versions start with the era, so a new
    /// purge of the same scope is still the larger, and an edge that was away so
    /// long has dropped its copies.
    pub items: BTreeMap<Key, Item>,
    pub receipts: BTreeMap<ChangeId, (Era, u64, Verdict)>,
    /// By address: the last life that signed off there.
    pub gone: BTreeMap<primitives::Addr, primitives::Birth>,
    /// The contents of the numbers that edits were confirmed under.
    pub confirmed: Confirmed,
}

impl ControlState {
    /// The member at this address with this disk, if it has a seat.
    pub fn member_at(&self, addr: primitives::Addr, birth: primitives::Birth) -> Option<&Member> {
        self.members.iter().find(|m| m.addr == addr && m.birth == birth)
    }

    pub fn item(&self, k: &Key) -> Item {
        self.items.get(k).cloned().unwrap_or_default()
    }

    pub(crate) fn put(&mut self, k: Key, body: Option<Body>) -> Verdict {
        let it = self.items.entry(k.clone()).or_default();
        let floor = if k.is_purge() { self.era.0 << 32 } else { 0 };
        it.ver = Version(it.ver.0.max(floor) + 1);
        it.body = body;
        Verdict::Done(vec![(k, it.ver)])
    }

    /// Applies one change; returns its verdict and whether this was the first time.
    pub fn apply(&mut self, c: &Change) -> (Verdict, bool) {
        let print = primitives::hash(&format!("{:?}", c.op));
        let before = c.id.as_ref().and_then(|id| self.receipts.get(id));
        if let Some((_, p, v)) = before {
            let v = if *p == print { v.clone() } else { Verdict::Void(Void::IdTaken) };
            return (v, false);
        }
        let v = self.effect(&c.op);
        if let Some(id) = &c.id {
            self.receipts.insert(id.clone(), (self.era, print, v.clone()));
        }
        (v, true)
    }

    fn effect(&mut self, op: &Op) -> Verdict {
        match op {
            Op::Row { lane, svc, expect, row } => {
                let k = Key::Row(lane.clone(), svc.clone());
                let was = self.item(&k);
                if was.ver != *expect {
                    return Verdict::Stale(k, was);
                }
                if was.body.is_none() && row.is_none() {
                    return Verdict::Void(Void::Absent);
                }
                self.put(k, row.clone().map(Body::Row))
            }
            Op::Register(a, o) => {
                let over = (self.gone.get(a) == Some(&o.birth)).then_some(Void::OtherLife);
                let same = self.origin(a).filter(|was| was.birth == o.birth).map(|_| Void::NothingNew);
                over.or(same)
                    .map(Verdict::Void)
                    .unwrap_or_else(|| self.put(Key::Origin(*a), Some(Body::Origin(o.clone()))))
            }
            Op::Drain(a, b) => self.drain(*a, *b),
            Op::Remove(a, b) => {
                let is = self.origin(a).is_some_and(|o| o.birth == *b);
                if is {
                    self.put(Key::Origin(*a), None)
                } else {
                    Verdict::Void(Void::OtherLife)
                }
            }
            Op::SignOff(a, b) => self.sign_off(*a, *b),
            Op::SignOffName(name) => self.sign_off_name(name),
            Op::Join(id, n) => self.join(*id, n),
            Op::DrainNode(id) => self
                .node(id)
                .cloned()
                .map(|n| Node { standing: Standing::Leaving, ..n })
                .map(|n| self.put(Key::Node(*id), Some(Body::Node(n))))
                .unwrap_or(Verdict::Void(Void::Absent)),
            Op::RemoveNode(id) => {
                let is = self.node(id).is_some();
                if is {
                    self.put(Key::Node(*id), None)
                } else {
                    Verdict::Void(Void::Absent)
                }
            }
            Op::Seats { expect, next } => self.set_next_ledgers(*expect, next),
            Op::Settle { expect, early } => self.settle(*expect, *early),
            Op::Edit(es) => self.edit(es),
            Op::PurgeBy(scopes) => {
                let mut put = |s: &PurgeBy| {
                    let k = Key::PurgeBy(s.clone());
                    self.put(k.clone(), Some(Body::Purge));
                    (k.clone(), self.items[&k].ver)
                };
                Verdict::Done(scopes.iter().map(&mut put).collect())
            }
            Op::Purge(scopes) => Verdict::Done(
                scopes
                    .iter()
                    .map(|(s, p)| {
                        let k = Key::Purge(s.clone(), p.clone());
                        self.put(k.clone(), Some(Body::Purge));
                        let v = self.items[&k].ver;
                        (k, v)
                    })
                    .collect(),
            ),
        }
    }

    fn join(&mut self, id: primitives::NodeId, n: &Node) -> Verdict {
        if self.node(&id) == Some(n) {
            return Verdict::Void(Void::NothingNew);
        }
        self.put(Key::Node(id), Some(Body::Node(n.clone())))
    }

    /// Whether a row ever existed, so that keys can have been granted.
    pub fn rows(&self) -> bool {
        self.items.keys().any(|k| matches!(k, Key::Row(..) | Key::Entry(..)))
    }

    pub fn origin(&self, a: &primitives::Addr) -> Option<&Origin> {
        match self.items.get(&Key::Origin(*a))?.body.as_ref()? {
            Body::Origin(o) => Some(o),
            _ => None,
        }
    }

    pub fn node(&self, id: &primitives::NodeId) -> Option<&Node> {
        match self.items.get(&Key::Node(*id))?.body.as_ref()? {
            Body::Node(n) => Some(n),
            _ => None,
        }
    }

    pub fn member(&self, member_id: caesar::MemberId) -> Option<&Member> {
        self.members.iter().find(|m| m.member_id == member_id)
    }

    /// A service with very many purges gets one of everything in their place:
    /// more is purged than was asked, and what must be remembered stays small.
    fn merge_purges(&mut self) {
        let mut count: BTreeMap<Svc, usize> = BTreeMap::new();
        for k in self.items.keys() {
            if let Key::Purge(s, _) = k {
                *count.entry(s.clone()).or_default() += 1;
            }
        }
        for (svc, _) in count.into_iter().filter(|(_, n)| *n > PURGES) {
            self.items.retain(|k, _| !matches!(k, Key::Purge(s, p) if *s == svc && !p.is_empty()));
            self.put(Key::Purge(svc, String::new()), Some(Body::Purge));
        }
    }

    /// Ends the era. Pure, and the same on every controller: the cut clashes with
    /// all, so the state at it is the same everywhere.
    pub fn cut(&self, members: &[Member], landed: Era, clock: u64) -> ControlState {
        let mut p = self.clone();
        p.era = Era(self.era.0 + 1);
        p.past.retain(|(e, _)| *e > landed);
        let member_ids = |ms: &[Member]| ms.iter().map(|m| m.member_id).collect::<Vec<_>>();
        if !self.members.is_empty() && member_ids(members) != member_ids(&self.members) {
            p.past.push((p.era, self.members.clone()));
        }
        p.members = members.to_vec();
        p.clock = clock;
        p.next_member_id =
            members.iter().map(|m| m.member_id.0 + 1).max().unwrap_or(0).max(self.next_member_id);
        p.items.retain(|k, it| !is_expired_purge(p.era, k, it));
        p.merge_purges();
        while p.receipts.len() > RECEIPTS {
            let oldest = p.receipts.values().map(|(e, ..)| *e).min().unwrap_or_default();
            p.receipts.retain(|_, (e, ..)| *e > oldest);
        }
        p
    }
}
