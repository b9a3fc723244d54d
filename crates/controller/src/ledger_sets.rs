//! Changes of the ledger set, one set at a time, by the leader.
use crate::controller::Controller;
use crate::pending::Pending;
use crate::subscribers::Subscriber;
use control_state::*;
use primitives::{Mono, NodeId, Span, Version};
use std::collections::BTreeSet;

/// Progress of the current change of the ledger set.
#[derive(Debug, Default)]
pub(crate) struct LedgerSetWatch {
    /// Version of the ledger sets, and the latest time at which it came into force.
    in_force_since: Option<(Version, Mono)>,
    /// The ledgers that should form the set, and since when this has not changed.
    target: (Vec<Seat>, Mono),
    /// Version of the ledger sets, and the ledgers that hold everything the older set granted
    /// before it.
    synced: (Version, BTreeSet<NodeId>),
}

/// The target set must be unchanged for this long, so that ledgers arriving together change the set
/// once.
const SET_STABLE_FOR: Span = Span::ms(900);
/// In an open deployment, a ledger unheard for this long may be replaced by a newcomer.
const SILENT_AFTER: Span = Span::secs(2);
/// A ledger unheard for this long leaves the set even without a replacement, if enough others
/// remain.
const GONE_AFTER: Span = Span::secs(5);

impl LedgerSetWatch {
    /// Notes when a new set came into force.
    pub(crate) fn forced(&mut self, now: Mono, change: &Change, verdict: &Verdict) {
        if let (Op::Seats { .. }, Verdict::Done(versions)) = (&change.op, verdict) {
            self.in_force_since = versions.first().map(|(_, version)| (*version, now));
        }
    }

    /// Whether the ledger holds everything the older set granted.
    fn is_synced(&self, version: Version, id: NodeId) -> bool {
        self.synced.0 == version && self.synced.1.contains(&id)
    }
}

impl Controller {
    /// Proposes a new set when the target changes, and settles on the newer set once its ledgers
    /// are synced or the key window has passed.
    pub(crate) fn maintain_ledger_sets(&mut self, now: Mono, out: &mut Vec<Out>) {
        let (expect, ledger_sets) = (self.state.item(&Key::Roll).ver, Roll::of(&self.state.items));
        if self.propose_target_set(now, expect, &ledger_sets, out) || ledger_sets.sets.len() < 2 {
            return;
        }
        let since = self.roll.in_force_since.filter(|(v, _)| *v == expect).map(|(_, t)| t);
        let Some(since) = since else { return self.repropose_newer_set(now, expect, &ledger_sets, out) };
        let early = !self.state.rows();
        let newer = &ledger_sets.sets[1];
        let synced = newer.iter().all(|s| self.roll.is_synced(expect, s.id));
        if early || synced || now - since >= self.env.window.padded() {
            return self.derive(now, Op::Settle { expect, early }, out);
        }
        let unsynced = newer.iter().filter(|s| !self.roll.is_synced(expect, s.id));
        out.extend(unsynced.map(|s| Out::Send(s.addr, Msg::Fill { roll: expect })));
    }

    /// Proposes the target set as the next one beside the authoritative set, once it has been
    /// stable for `SET_STABLE_FOR`. Returns whether it did.
    fn propose_target_set(
        &mut self,
        now: Mono,
        expect: Version,
        ledger_sets: &Roll,
        out: &mut Vec<Out>,
    ) -> bool {
        let next = ledger_sets.wanted(self.target_set(now, ledger_sets).into_iter());
        if next != self.roll.target.0 {
            self.roll.target = (next, now);
        }
        let (next, since) = &self.roll.target;
        let due = now - *since >= SET_STABLE_FOR && !next.is_empty() && ledger_sets.sets.last() != Some(next);
        if !due || self.set_proposal_pending() {
            return false;
        }
        let op = Op::Seats { expect, next: next.clone() };
        self.derive(now, op, out);
        true
    }

    /// Another leader proposed the newer set, so the time it came into force is unknown here.
    /// Proposing it again starts a new count.
    fn repropose_newer_set(&mut self, now: Mono, expect: Version, ledger_sets: &Roll, out: &mut Vec<Out>) {
        if !self.set_proposal_pending() {
            let next = ledger_sets.sets[1].clone();
            self.derive(now, Op::Seats { expect, next }, out);
        }
    }

    /// Whether a proposal of a new set awaits its decision.
    fn set_proposal_pending(&self) -> bool {
        let proposes_set =
            |pending: &Pending| pending.asked.iter().any(|asked| matches!(asked.change.op, Op::Seats { .. }));
        self.pending.values().any(proposes_set)
    }

    /// Records that a ledger holds everything granted by the older set.
    pub(crate) fn on_filled(&mut self, id: NodeId, version: Version) {
        if self.roll.synced.0 != version {
            self.roll.synced = (version, BTreeSet::new());
        }
        self.roll.synced.1.insert(id);
    }

    /// The ledgers that should form the set. Where operators list the nodes: all that are
    /// registered. In an open deployment: newcomers recently heard, and the members of the
    /// authoritative set except those that newcomers replace, that are leaving, or that are gone.
    fn target_set(&self, now: Mono, ledger_sets: &Roll) -> Vec<Seat> {
        let all: Vec<Seat> = self.ledgers().collect();
        let Some(open) = self.env.open else { return all };
        let authoritative = |s: &Seat| ledger_sets.authoritative_set().iter().any(|d| d.id == s.id);
        let (mut current, others): (Vec<Seat>, Vec<Seat>) = all.into_iter().partition(authoritative);
        let mut next: Vec<Seat> = others.into_iter().filter(|s| self.is_available(now, s.id)).collect();
        let min_size = replicas(open.losses);
        let replaceable = |s: &Seat| !self.is_available(now, s.id);
        remove_up_to(&mut current, next.len(), replaceable);
        let surplus = (current.len() + next.len()).saturating_sub(min_size);
        remove_up_to(&mut current, surplus, |s| self.is_gone(now, s.id));
        next.append(&mut current);
        next
    }

    /// Whether the ledger was heard recently and is not leaving.
    fn is_available(&self, now: Mono, id: NodeId) -> bool {
        let heard =
            |subscriber: &Subscriber| subscriber.asked != Mono(0) && now - subscriber.asked < SILENT_AFTER;
        self.subscribers.get(&id).is_some_and(|subscriber| heard(subscriber) && !subscriber.leaving)
    }

    /// Whether the ledger is leaving, or was heard once and has been silent for `GONE_AFTER`.
    fn is_gone(&self, now: Mono, id: NodeId) -> bool {
        self.subscribers.get(&id).is_some_and(|subscriber| {
            subscriber.leaving || (subscriber.asked != Mono(0) && now - subscriber.asked >= GONE_AFTER)
        })
    }

    /// All registered ledgers.
    fn ledgers(&self) -> impl Iterator<Item = Seat> + '_ {
        let ledger = |(key, item): (&Key, &Item)| match (key, &item.body) {
            (Key::Node(id), Some(Body::Node(node))) if node.role == Role::Ledger => {
                Some(Seat { id: *id, addr: node.addr, zone: node.zone.clone(), birth: node.birth })
            }
            _ => None,
        };
        self.state.items.iter().filter_map(ledger)
    }
}

/// Removes at most `limit` of the seats for which `remove` is true.
fn remove_up_to(seats: &mut Vec<Seat>, limit: usize, remove: impl Fn(&Seat) -> bool) {
    let mut remaining = limit;
    seats.retain(|s| {
        let removed = remaining > 0 && remove(s);
        remaining -= removed as usize;
        !removed
    });
}
