//! Keeps each outcome on one disk more than may be lost at once.
//!
//! An outcome names the disks that hold it. Once one of them is lost or leaves the roll, the first of
//! those that are left hands the outcome to another ledger: one transfer for each copy lost.
use crate::grants::Kept;
use crate::leave::in_parts;
use crate::ledger::Ledger;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of one message; a record that is larger goes by itself.
const PART: usize = 64 << 10;
/// How long a ledger may keep silent before it is sent the same again.
const AGAIN: Span = Span::ms(500);
/// Numbers of these messages begin here, apart from those of a leaving ledger.
const FIRST_ASK: u64 = 1 << 32;

/// What one ledger was sent and has not confirmed.
#[derive(Clone, Debug)]
struct Transfer {
    ask: u64,
    to: Holder,
    keys: Vec<String>,
    sent: Mono,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Replication {
    /// The ledgers by which the holders of all outcomes were looked at last.
    living: BTreeMap<Addr, Birth>,
    /// Keys whose outcome too few disks hold, and that this ledger is to hand on.
    short: BTreeSet<String>,
    /// At most one a ledger.
    transfers: BTreeMap<Addr, Transfer>,
    last_ask: u64,
}

impl Replication {
    fn alive(&self, whole: &Whole) -> Vec<Holder> {
        let lives = |h: &Holder| self.living.get(&h.addr) == Some(&h.birth);
        whole.holders().into_iter().filter(lives).collect()
    }
}

impl Ledger {
    /// Several times a second.
    pub(crate) fn replicate(&mut self, now: Mono, out: &mut Vec<Out>) {
        if !self.env.minimal_outcome_copies || self.follow.lease_quorum_until() <= now {
            return;
        }
        let living = current_ledgers(&self.follow.items);
        if living != self.replication.living {
            self.replication.living = living;
            let all =
                self.grants.iter().filter(|(_, g)| g.whole.as_ref().is_some_and(|w| self.must_replicate(w)));
            self.replication.short = all.map(|(key, _)| key.clone()).collect();
        }
        self.replication.transfers.retain(|_, t| now - t.sent < AGAIN);
        self.send_under_replicated(now, out);
    }

    /// A new outcome is here: its sender may not have known of the last loss.
    pub(crate) fn note_outcome(&mut self, key: &str) {
        let whole = self.grants.get(key).and_then(|g| g.whole.as_ref());
        if whole.is_some_and(|w| self.must_replicate(w)) {
            self.replication.short.insert(key.to_string());
        } else {
            self.replication.short.remove(key);
        }
    }

    /// Too few disks hold it, and this one is the first of them.
    fn must_replicate(&self, whole: &Whole) -> bool {
        let alive = self.replication.alive(whole);
        alive.len() <= self.env.losses && alive.first().is_some_and(|h| h.addr == self.follow.env.addr)
    }

    /// The ledger that is to hold it besides: one that is asked for the key, and of them the nearest.
    fn next_holder(&self, key: &str, roll: &Roll, alive: &[Holder]) -> Option<Holder> {
        let here = &self.follow.env.zone;
        let named = roll.named(key, self.env.losses).pop().unwrap_or_default();
        let zone = |a: &Addr| roll.seats().find(|s| s.addr == *a).map(|s| s.zone.clone()).unwrap_or_default();
        let place = |a: &Addr| {
            let zone = zone(a);
            let far = (zone.region() != here.region(), zone != *here);
            (!named.contains(a), far, primitives::hash(&(key, a)))
        };
        let others = self.replication.living.iter().filter(|(a, _)| !alive.iter().any(|h| h.addr == **a));
        let next = others.min_by_key(|(a, _)| place(a));
        next.map(|(addr, birth)| Holder { addr: *addr, birth: *birth })
    }

    fn send_under_replicated(&mut self, now: Mono, out: &mut Vec<Out>) {
        let roll = Roll::of(&self.follow.items);
        let mut by_ledger: BTreeMap<Holder, Vec<Held>> = BTreeMap::new();
        for key in &self.replication.short {
            let Some(g) = self.grants.get(key) else { continue };
            let Some(whole) = &g.whole else { continue };
            let mut holders = self.replication.alive(whole);
            let Some(next) = self.next_holder(key, &roll, &holders) else { continue };
            if !self.replication.transfers.contains_key(&next.addr) {
                holders.push(next);
                let whole = Some(whole.with_holders(&holders));
                by_ledger.entry(next).or_default().push(Held { whole, ..g.show(now, key) });
            }
        }
        for (to, held) in by_ledger {
            let held = in_parts(held, PART).swap_remove(0);
            self.replication.last_ask += 1;
            let ask = FIRST_ASK + self.replication.last_ask;
            let keys = held.iter().map(|h| h.key.clone()).collect();
            self.replication.transfers.insert(to.addr, Transfer { ask, to, keys, sent: now });
            self.count("outcomes handed on");
            out.push(Out::Send(to.addr, Msg::HandOver { ask, held }));
        }
    }

    /// Another ledger holds what it was sent: so it is noted beside the outcome.
    pub(crate) fn on_replicated(&mut self, now: Mono, from: Addr, ask: u64, out: &mut Vec<Out>) {
        if self.replication.transfers.get(&from).is_none_or(|t| t.ask != ask) {
            return;
        }
        let Some(transfer) = self.replication.transfers.remove(&from) else { return };
        for key in transfer.keys {
            let Some(g) = self.grants.get(&key) else { continue };
            let (Some(whole), round) = (&g.whole, g.round) else { continue };
            let mut holders = self.replication.alive(whole);
            holders.push(transfer.to);
            let whole = whole.with_holders(&holders);
            self.save(now, Kept::Outcome { key: key.clone(), round, whole }, out);
            self.note_outcome(&key);
        }
        self.send_under_replicated(now, out);
    }
}
