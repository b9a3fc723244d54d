//! Changing the set of ledgers, one set at a time; the leader's work.
use crate::controller::Controller;
use crate::pending::Pending;
use crate::subscribers::Subscriber;
use control_state::*;
use primitives::{Mono, NodeId, Span, Version};
use std::collections::BTreeSet;

/// What the holder knows of the change under way.
#[derive(Debug, Default)]
pub(crate) struct LedgerSetWatch {
    /// Since when, at the latest, this version of the roll is in force.
    force: Option<(Version, Mono)>,
    /// The ledgers there should be, and since when it is these.
    wanted: (Vec<Seat>, Mono),
    /// Who holds what the older set granted, by this version of the roll.
    filled: (Version, BTreeSet<NodeId>),
}

/// Ledgers that come together change the set together.
const GATHER: Span = Span::ms(900);
/// A ledger unheard for so long gives its seat to a newcomer, where nobody counts them.
const SILENT: Span = Span::secs(2);
/// A ledger unheard for so long leaves the set also without a successor, where enough
/// others are left.
const GONE: Span = Span::secs(5);

impl LedgerSetWatch {
    pub(crate) fn forced(&mut self, now: Mono, c: &Change, v: &Verdict) {
        if let (Op::Seats { .. }, Verdict::Done(ks)) = (&c.op, v) {
            self.force = ks.first().map(|(_, v)| (*v, now));
        }
    }

    fn filled(&self, roll: Version, id: NodeId) -> bool {
        self.filled.0 == roll && self.filled.1.contains(&id)
    }
}

impl Controller {
    pub(crate) fn maintain_ledger_sets(&mut self, now: Mono, out: &mut Vec<Out>) {
        let (expect, roll) = (self.state.item(&Key::Roll).ver, Roll::of(&self.state.items));
        if self.name_wanted(now, expect, &roll, out) || roll.sets.len() < 2 {
            return;
        }
        let since = self.roll.force.filter(|(v, _)| *v == expect).map(|(_, t)| t);
        let Some(since) = since else { return self.name_again(now, expect, &roll, out) };
        let early = !self.state.rows();
        let newer = &roll.sets[1];
        let filled = newer.iter().all(|s| self.roll.filled(expect, s.id));
        if early || filled || now - since >= self.env.window.padded() {
            return self.derive(now, Op::Settle { expect, early }, out);
        }
        let lacking = newer.iter().filter(|s| !self.roll.filled(expect, s.id));
        out.extend(lacking.map(|s| Out::Send(s.addr, Msg::Fill { roll: expect })));
    }

    /// Names the ledgers there should be beside the set that decides, once they have
    /// stayed the same for a moment; true if it did.
    fn name_wanted(&mut self, now: Mono, expect: Version, roll: &Roll, out: &mut Vec<Out>) -> bool {
        let next = roll.wanted(self.candidates(now, roll).into_iter());
        if next != self.roll.wanted.0 {
            self.roll.wanted = (next, now);
        }
        let (next, since) = &self.roll.wanted;
        let due = now - *since >= GATHER && !next.is_empty() && roll.sets.last() != Some(next);
        if !due || self.seats_under_way() {
            return false;
        }
        let op = Op::Seats { expect, next: next.clone() };
        self.derive(now, op, out);
        true
    }

    /// Another holder named it: its time in force is counted anew.
    fn name_again(&mut self, now: Mono, expect: Version, roll: &Roll, out: &mut Vec<Out>) {
        if !self.seats_under_way() {
            let next = roll.sets[1].clone();
            self.derive(now, Op::Seats { expect, next }, out);
        }
    }

    fn seats_under_way(&self) -> bool {
        let open = |p: &Pending| p.asked.iter().any(|a| matches!(a.change.op, Op::Seats { .. }));
        self.pending.values().any(open)
    }

    pub(crate) fn on_filled(&mut self, id: NodeId, roll: Version) {
        if self.roll.filled.0 != roll {
            self.roll.filled = (roll, BTreeSet::new());
        }
        self.roll.filled.1.insert(id);
    }

    /// Who should be a ledger. Where operators name the nodes: all that are registered.
    /// Where nobody counts them: newcomers that are heard, and of the set that decides
    /// all but those that newcomers stand in for, that leave or that are gone.
    fn candidates(&self, now: Mono, roll: &Roll) -> Vec<Seat> {
        let all: Vec<Seat> = self.ledgers().collect();
        let Some(open) = self.env.open else { return all };
        let decides = |s: &Seat| roll.authoritative_set().iter().any(|d| d.id == s.id);
        let (mut seated, others): (Vec<Seat>, Vec<Seat>) = all.into_iter().partition(decides);
        let mut next: Vec<Seat> = others.into_iter().filter(|s| self.stays(now, s.id)).collect();
        let fewest = replicas(open.losses);
        let replaceable = |s: &Seat| !self.stays(now, s.id);
        drop_some(&mut seated, next.len(), replaceable);
        let spare = (seated.len() + next.len()).saturating_sub(fewest);
        drop_some(&mut seated, spare, |s| self.gone(now, s.id));
        next.append(&mut seated);
        next
    }

    /// Was heard a moment ago, and does not leave.
    fn stays(&self, now: Mono, id: NodeId) -> bool {
        let heard = |f: &Subscriber| f.asked != Mono(0) && now - f.asked < SILENT;
        self.subscribers.get(&id).is_some_and(|f| heard(f) && !f.leaving)
    }

    fn gone(&self, now: Mono, id: NodeId) -> bool {
        self.subscribers.get(&id).is_some_and(|f| f.leaving || (f.asked != Mono(0) && now - f.asked >= GONE))
    }

    fn ledgers(&self) -> impl Iterator<Item = Seat> + '_ {
        let seat = |(k, it): (&Key, &Item)| match (k, &it.body) {
            (Key::Node(id), Some(Body::Node(n))) if n.role == Role::Ledger => {
                Some(Seat { id: *id, addr: n.addr, zone: n.zone.clone(), birth: n.birth })
            }
            _ => None,
        };
        self.state.items.iter().filter_map(seat)
    }
}

/// Takes out those that answer to it, at most so many.
fn drop_some(seats: &mut Vec<Seat>, most: usize, out: impl Fn(&Seat) -> bool) {
    let mut left = most;
    seats.retain(|s| {
        let goes = left > 0 && out(s);
        left -= goes as usize;
        !goes
    });
}
