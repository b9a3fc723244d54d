//! Changing the set of ledgers, one set at a time; the duty holder's work.
use crate::controller::Controller;
use crate::pending::Pending;
use control_state::*;
use primitives::{Mono, Span, Version};

/// What the holder knows of the change under way.
#[derive(Debug, Default)]
pub(crate) struct RollWatch {
    /// Since when, at the latest, this version of the roll is in force.
    force: Option<(Version, Mono)>,
    /// The ledgers there should be, and since when it is these.
    wanted: (Vec<Seat>, Mono),
}

/// Ledgers that come together change the set together.
const GATHER: Span = Span::ms(900);

impl RollWatch {
    pub(crate) fn forced(&mut self, now: Mono, c: &Change, v: &Verdict) {
        if let (Op::Seats { .. }, Verdict::Done(ks)) = (&c.op, v) {
            self.force = ks.first().map(|(_, v)| (*v, now));
        }
    }
}

impl Controller {
    pub(crate) fn mind_roll(&mut self, now: Mono, out: &mut Vec<Out>) {
        let (expect, roll) = (self.pic.item(&Key::Roll).ver, Roll::of(&self.pic.items));
        let changing = roll.sets.len() == 2;
        if !changing {
            let next = roll.wanted(self.ledgers());
            if next != self.roll.wanted.0 {
                self.roll.wanted = (next, now);
            }
            let (next, since) = &self.roll.wanted;
            let due = now - *since >= GATHER && !next.is_empty() && roll.sets.last() != Some(next);
            let op = Op::Seats { expect, next: next.clone() };
            return Some(op).filter(|_| due).into_iter().for_each(|op| self.derive(now, op, out));
        }
        let since = self.roll.force.filter(|(v, _)| *v == expect).map(|(_, t)| t);
        let early = !self.pic.rows();
        let op = match since {
            Some(t) if early || now - t >= self.env.window.padded() => Op::Settle { expect, early },
            Some(_) => return,
            // Another holder named it: its time in force is counted anew.
            None => Op::Seats { expect, next: roll.sets[1].clone() },
        };
        let open = |p: &Pending| p.asked.iter().any(|a| matches!(a.change.op, Op::Seats { .. }));
        if since.is_some() || !self.pending.values().any(open) {
            self.derive(now, op, out);
        }
    }

    fn ledgers(&self) -> impl Iterator<Item = Seat> + '_ {
        let seat = |(k, it): (&Key, &Item)| match (k, &it.body) {
            (Key::Node(id), Some(Body::Node(n))) if n.role == Role::Ledger => {
                Some(Seat { id: *id, addr: n.addr, zone: n.zone.clone(), birth: n.birth })
            }
            _ => None,
        };
        self.pic.items.iter().filter_map(seat)
    }
}
