//! Leaving in order: what this ledger holds is handed to the other ledgers of each key, so
//! that it does not end as the only holder of a grant or an outcome.
use crate::ledger::Ledger;
use control_state::*;
use primitives::{Addr, Epoch, Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// How long other ledgers may keep silent before they are told again.
const AGAIN: Span = Span::ms(300);
/// How long a leaving ledger waits for others to take its keys.
const PATIENCE: Span = Span::secs(2);
/// Bytes of one message; a record that is larger goes by itself.
const PART: usize = 256 << 10;

/// What is left to hand over.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leaving {
    since: Option<Mono>,
    last: Mono,
    next: u64,
    /// Keys that no other ledger has said it holds.
    keys: BTreeSet<String>,
    /// The keys of each message not yet answered.
    asked: BTreeMap<u64, Vec<String>>,
}

impl Leaving {
    /// A key that was granted, or whose outcome came, while this ledger leaves.
    pub(crate) fn note(&mut self, key: &str) {
        if self.since.is_some() {
            self.keys.insert(key.to_string());
        }
    }

    pub(crate) fn left(&self) -> usize {
        self.keys.len()
    }
}

impl Ledger {
    pub(crate) fn begin_to_leave(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.leaving.since.is_some() {
            return;
        }
        self.grants.drop_old(now, self.env.window);
        self.leaving.since = Some(now);
        self.follow.standing = Standing::Leaving;
        self.follow.subscribe(now, &[], Epoch(0), out);
        self.leaving.keys = self.grants.iter().map(|(key, _)| key.clone()).collect();
        self.hand_over(now, out);
    }

    pub(crate) fn hand_over(&mut self, now: Mono, out: &mut Vec<Out>) {
        let Some(since) = self.leaving.since else { return };
        if now - since >= PATIENCE {
            self.leaving.keys.clear();
        }
        let due = self.leaving.last == Mono(0) || now - self.leaving.last >= AGAIN;
        if self.leaving.keys.is_empty() || !due {
            return;
        }
        self.leaving.last = now;
        self.leaving.keys.retain(|key| self.grants.contains(key));
        let others = self.others();
        if others.is_empty() {
            self.leaving.keys.clear();
        }
        for other in others {
            self.hand_over_to(now, other, out);
        }
    }

    fn hand_over_to(&mut self, now: Mono, other: Addr, out: &mut Vec<Out>) {
        let roll = Roll::of(&self.follow.items);
        let losses = self.env.losses;
        let named = |key: &str| roll.named(key, losses).iter().any(|n| n.contains(&other));
        let keys = self.leaving.keys.iter().filter(|key| named(key));
        // With the outcome, also where others usually do without: this one goes.
        let held: Vec<Held> = keys.filter_map(|key| self.grants.get(key).map(|g| g.show(now, key))).collect();
        for held in in_parts(held, PART).into_iter().filter(|part| !part.is_empty()) {
            self.leaving.next += 1;
            let ask = self.leaving.next;
            self.leaving.asked.insert(ask, held.iter().map(|h| h.key.clone()).collect());
            out.push(Out::Send(other, Msg::HandOver { ask, held }));
        }
    }

    /// Another ledger leaves: what it holds is taken in before it is told so.
    pub(crate) fn on_hand_over(
        &mut self,
        now: Mono,
        from: Addr,
        ask: u64,
        held: Vec<Held>,
        out: &mut Vec<Out>,
    ) {
        held.into_iter().for_each(|h| self.take_in(now, h, out));
        out.push(Out::Send(from, Msg::HandedOver { ask }));
    }

    pub(crate) fn on_handed_over(&mut self, ask: u64) {
        for key in self.leaving.asked.remove(&ask).unwrap_or_default() {
            self.leaving.keys.remove(&key);
        }
    }
}

/// Splits records into parts of at most so many bytes; at least one part, maybe empty.
pub(crate) fn in_parts(held: Vec<Held>, most: usize) -> Vec<Vec<Held>> {
    let mut parts = vec![vec![]];
    let mut bytes = 0;
    for h in held {
        bytes += h.size();
        let full = bytes > most && parts.last().is_some_and(|part: &Vec<Held>| !part.is_empty());
        if full {
            bytes = h.size();
            parts.push(vec![]);
        }
        parts.last_mut().into_iter().for_each(|part| part.push(h.clone()));
    }
    parts
}
