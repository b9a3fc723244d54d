//! The replicated state, and how decided changes are applied to it.
use crate::command::*;
use crate::configuration::PurgeBy;
use crate::confirmed::Confirmed;
use crate::items::*;
use crate::purges::is_expired_purge;
use crate::verdict::{Verdict, Void};
use primitives::Version;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of an era: one instance of the agreement with fixed members. Each reconfiguration
/// (`Cmd::Cut`) starts the next era.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Era(pub u64);

/// Receipts kept when an era ends: if there are more, all those of the oldest eras are dropped.
const MAX_RECEIPTS: usize = 4096;
/// Purges of one service kept one by one when an era ends; see `merge_purges`.
const MAX_PURGES_PER_SERVICE: usize = 2000;

/// The state that all controllers replicate: the same at each of them after the same changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    pub era: Era,
    pub members: Vec<Member>,
    /// Earlier memberships that some edge may still use, each with the era that followed it.
    pub past: Vec<(Era, Vec<Member>)>,
    /// Invariant: greater than every member id that was ever assigned.
    pub next_member_id: u16,
    /// All timestamps of commands of this era are greater.
    pub clock: u64,
    /// Invariant: no item is removed; a deletion leaves a tombstone. The exception are purges of
    /// eras long past: the high bits of their versions are the era, so that a new purge of the
    /// same scope still has a higher version, and an edge that was disconnected for that long
    /// has dropped its cached copies.
    pub items: BTreeMap<Key, Item>,
    /// By change id: the era, a hash of the operation, and the stored result.
    pub receipts: BTreeMap<ChangeId, (Era, u64, Verdict)>,
    /// By address: the last incarnation that deregistered there.
    pub gone: BTreeMap<primitives::Addr, primitives::Birth>,
    /// The content of each version number that an edit was confirmed under.
    pub confirmed: Confirmed,
}

impl ControlState {
    /// The member at this address with this incarnation of its disk, if there is one.
    pub fn member_at(&self, addr: primitives::Addr, birth: primitives::Birth) -> Option<&Member> {
        self.members.iter().find(|m| m.addr == addr && m.birth == birth)
    }

    /// The item under a key; if there never was one, version 0 without a body.
    pub fn item(&self, key: &Key) -> Item {
        self.items.get(key).cloned().unwrap_or_default()
    }

    /// Sets or deletes an item under its next version.
    pub(crate) fn put(&mut self, key: Key, body: Option<Body>) -> Verdict {
        let item = self.items.entry(key.clone()).or_default();
        let floor = if key.is_purge() { self.era.0 << 32 } else { 0 };
        item.ver = Version(item.ver.0.max(floor) + 1);
        item.body = body;
        Verdict::Done(vec![(key, item.ver)])
    }

    /// Applies a change; returns its result, and false if it was applied before under the same id.
    pub fn apply(&mut self, change: &Change) -> (Verdict, bool) {
        let op_hash = primitives::hash(&format!("{:?}", change.op));
        let receipt = change.id.as_ref().and_then(|id| self.receipts.get(id));
        if let Some((_, hash, verdict)) = receipt {
            let verdict = if *hash == op_hash { verdict.clone() } else { Verdict::Void(Void::IdTaken) };
            return (verdict, false);
        }
        let verdict = self.apply_op(&change.op);
        // A call that was taken may be applied again without effect, so only its refusal must last.
        let is_lasting = |id: &&ChangeId| !id.is_call() || verdict.is_refusal();
        if let Some(id) = change.id.as_ref().filter(is_lasting) {
            self.receipts.insert(id.clone(), (self.era, op_hash, verdict.clone()));
        }
        (verdict, true)
    }

    fn apply_op(&mut self, op: &Op) -> Verdict {
        match op {
            Op::Row { lane, svc, expect, row } => {
                let key = Key::Row(lane.clone(), svc.clone());
                let current = self.item(&key);
                if current.ver != *expect {
                    return Verdict::Stale(key, current);
                }
                if current.body.is_none() && row.is_none() {
                    return Verdict::Void(Void::Absent);
                }
                self.put(key, row.clone().map(Body::Row))
            }
            Op::Register(addr, origin) => {
                let deregistered = (self.gone.get(addr) == Some(&origin.birth)).then_some(Void::OtherLife);
                let unchanged = self
                    .origin(addr)
                    .filter(|current| current.birth == origin.birth)
                    .map(|_| Void::NothingNew);
                deregistered
                    .or(unchanged)
                    .map(Verdict::Void)
                    .unwrap_or_else(|| self.put(Key::Origin(*addr), Some(Body::Origin(origin.clone()))))
            }
            Op::Drain(addr, birth) => self.drain(*addr, *birth),
            Op::Remove(addr, birth) => {
                let registered = self.origin(addr).is_some_and(|origin| origin.birth == *birth);
                if registered {
                    self.put(Key::Origin(*addr), None)
                } else {
                    Verdict::Void(Void::OtherLife)
                }
            }
            Op::SignOff(addr, birth) => self.end_registration(*addr, *birth),
            Op::SignOffName(name) => self.deregister_by_name(name),
            Op::Join(id, node) => self.join(*id, node),
            Op::DrainNode(id) => self
                .node(id)
                .cloned()
                .map(|node| Node { standing: Standing::Leaving, ..node })
                .map(|node| self.put(Key::Node(*id), Some(Body::Node(node))))
                .unwrap_or(Verdict::Void(Void::Absent)),
            Op::RemoveNode(id) => {
                let exists = self.node(id).is_some();
                if exists {
                    self.put(Key::Node(*id), None)
                } else {
                    Verdict::Void(Void::Absent)
                }
            }
            Op::Seats { expect, next } => self.set_next_ledgers(*expect, next),
            Op::Settle { expect, early } => self.retire_older_ledgers(*expect, *early),
            Op::Edit(edits) => self.apply_edits(edits),
            Op::PurgeBy(scopes) => {
                let mut put = |scope: &PurgeBy| {
                    let key = Key::PurgeBy(scope.clone());
                    self.put(key.clone(), Some(Body::Purge));
                    (key.clone(), self.items[&key].ver)
                };
                Verdict::Done(scopes.iter().map(&mut put).collect())
            }
            Op::Purge(scopes) => Verdict::Done(
                scopes
                    .iter()
                    .map(|(scope, prefix)| {
                        let key = Key::Purge(scope.clone(), prefix.clone());
                        self.put(key.clone(), Some(Body::Purge));
                        let version = self.items[&key].ver;
                        (key, version)
                    })
                    .collect(),
            ),
        }
    }

    fn join(&mut self, id: primitives::NodeId, node: &Node) -> Verdict {
        if self.node(&id) == Some(node) {
            return Verdict::Void(Void::NothingNew);
        }
        self.put(Key::Node(id), Some(Body::Node(node.clone())))
    }

    /// Whether a row or entry ever existed, so that ledgers may have granted keys.
    pub fn rows(&self) -> bool {
        self.items.keys().any(|key| matches!(key, Key::Row(..) | Key::Entry(..)))
    }

    /// The origin registered at this address.
    pub fn origin(&self, addr: &primitives::Addr) -> Option<&Origin> {
        match self.items.get(&Key::Origin(*addr))?.body.as_ref()? {
            Body::Origin(origin) => Some(origin),
            _ => None,
        }
    }

    /// The registered edge or ledger with this id.
    pub fn node(&self, id: &primitives::NodeId) -> Option<&Node> {
        match self.items.get(&Key::Node(*id))?.body.as_ref()? {
            Body::Node(node) => Some(node),
            _ => None,
        }
    }

    /// The controller with this id in the current membership.
    pub fn member(&self, member_id: caesar::MemberId) -> Option<&Member> {
        self.members.iter().find(|m| m.member_id == member_id)
    }

    /// Replaces the purges of a service that has very many by one purge of the whole service. This
    /// purges more than was requested, but bounds the size of the state.
    fn merge_purges(&mut self) {
        let mut counts: BTreeMap<Svc, usize> = BTreeMap::new();
        for key in self.items.keys() {
            if let Key::Purge(svc, _) = key {
                *counts.entry(svc.clone()).or_default() += 1;
            }
        }
        for (svc, _) in counts.into_iter().filter(|(_, count)| *count > MAX_PURGES_PER_SERVICE) {
            self.items
                .retain(|key, _| !matches!(key, Key::Purge(of, prefix) if *of == svc && !prefix.is_empty()));
            self.put(Key::Purge(svc, String::new()), Some(Body::Purge));
        }
    }

    /// The state that the next era starts from. Earlier memberships up to the era `retired` are no
    /// longer in use by any edge. The result is the same on every controller: `Cmd::Cut` conflicts
    /// with all other commands, so they all end the era in the same state.
    pub fn cut(&self, members: &[Member], retired: Era, clock: u64) -> ControlState {
        let mut next = self.clone();
        next.era = Era(self.era.0 + 1);
        next.past.retain(|(era, _)| *era > retired);
        let member_ids = |members: &[Member]| members.iter().map(|m| m.member_id).collect::<Vec<_>>();
        if !self.members.is_empty() && member_ids(members) != member_ids(&self.members) {
            next.past.push((next.era, self.members.clone()));
        }
        next.members = members.to_vec();
        next.clock = clock;
        next.next_member_id =
            members.iter().map(|m| m.member_id.0 + 1).max().unwrap_or(0).max(self.next_member_id);
        next.items.retain(|key, item| !is_expired_purge(next.era, key, item));
        next.merge_purges();
        while next.receipts.len() > MAX_RECEIPTS {
            let oldest = next.receipts.values().map(|(era, ..)| *era).min().unwrap_or_default();
            next.receipts.retain(|_, (era, ..)| *era > oldest);
        }
        next
    }
}
