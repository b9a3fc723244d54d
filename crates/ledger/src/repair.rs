//! Repair: ledgers compare digests over ranges of keys and take over what they lack.
use crate::grants::*;
use crate::ledger::Ledger;
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Ranges by the top bits of a key's hash.
const RANGES: usize = 64;
/// Between two comparisons at least, and for each key held: looking through all keys, here and
/// at every other ledger, stays a small part of a small processor however many there are.
const EVERY: Span = Span::secs(2);
const EVERY_EACH: Span = Span(500);
const EVERY_MOST: Span = Span::secs(10);
/// Bytes of records shown in one answer, roughly: where everything differs, after a loss of
/// power, the rest is shown in the answers to later comparisons.
const ANSWER: usize = 128 << 10;
/// By how many ranges the first one shown moves on.
const TURN: usize = 7;

/// One range of the keys that two ledgers share.
#[derive(Clone, Default)]
struct SharedRange<'a> {
    digest: u64,
    grants: Vec<(&'a String, &'a Grant)>,
}

fn range(key: &str) -> usize {
    primitives::hash(&key) as usize % RANGES
}

impl Ledger {
    pub(crate) fn others(&self) -> BTreeSet<Addr> {
        let me = self.follow.env.addr;
        Roll::of(&self.follow.items).seats().map(|s| s.addr).filter(|a| *a != me).collect()
    }

    /// Grants that are no longer in the making, of a round that is known, each with the
    /// ledgers that are named for its key, if this one is among them.
    fn settled(&self, now: Mono) -> impl Iterator<Item = (&String, &Grant, Vec<Vec<Addr>>)> {
        let roll = Roll::of(&self.follow.items);
        let me = self.follow.env.addr;
        // Where outcomes stay where they are, they do not tell when a grant is made.
        let known = |g: &Grant| g.whole.is_some() && !self.env.minimal_outcome_copies;
        let settled = move |g: &Grant| known(g) || (now - g.at > Span::secs(8) && g.round != RoundId::NONE);
        let named = move |k: &String| roll.named(k, self.env.losses);
        let all = self.grants.iter().filter(move |(_, g)| settled(g));
        all.map(move |(k, g)| (k, g, named(k))).filter(move |(.., n)| n.iter().any(|n| n.contains(&me)))
    }

    /// Only keys that both ledgers are named for count between the two.
    fn shared(&self, now: Mono, other: Addr) -> impl Iterator<Item = (&String, &Grant)> {
        let both = self.settled(now).filter(move |(.., n)| n.iter().any(|n| n.contains(&other)));
        both.map(|(k, g, _)| (k, g))
    }

    fn digest(&self, key: &str, g: &Grant) -> u64 {
        primitives::hash(&(key, g.round, g.whole.is_some() && !self.env.minimal_outcome_copies))
    }

    /// What is compared with another ledger, by range, in one pass over the keys.
    fn shared_ranges(&self, now: Mono, other: Addr) -> Vec<SharedRange<'_>> {
        let mut ranges = vec![SharedRange::default(); RANGES];
        for (key, g) in self.shared(now, other) {
            let range = &mut ranges[range(key)];
            range.digest ^= self.digest(key, g);
            range.grants.push((key, g));
        }
        ranges
    }

    /// For every other ledger, in one pass over the keys.
    fn all_digests(&self, now: Mono) -> BTreeMap<Addr, Vec<u64>> {
        let mut all: BTreeMap<Addr, Vec<u64>> =
            self.others().into_iter().map(|a| (a, vec![0u64; RANGES])).collect();
        for (key, g, named) in self.settled(now) {
            let (at, digest) = (range(key), self.digest(key, g));
            let others: BTreeSet<Addr> = named.into_iter().flatten().collect();
            for other in others {
                all.entry(other).and_modify(|digests| digests[at] ^= digest);
            }
        }
        all
    }

    pub(crate) fn mend(&mut self, now: Mono, out: &mut Vec<Out>) {
        let pause = EVERY + EVERY_EACH.times(self.grants.len() as u64);
        if now - self.mended < pause.min(EVERY_MOST) {
            return;
        }
        self.mended = now;
        let all = self.all_digests(now);
        out.extend(all.into_iter().map(|(other, digests)| Out::Send(other, Msg::Digests(digests))));
    }

    /// A record as other ledgers are to see it.
    pub(crate) fn show(&self, now: Mono, key: &str, g: &Grant) -> Held {
        let h = g.show(now, key);
        if self.env.minimal_outcome_copies {
            Held { whole: None, ..h }
        } else {
            h
        }
    }

    /// Shows the ranges that differ.
    pub(crate) fn on_digests(&mut self, now: Mono, from: Addr, theirs: Vec<u64>, out: &mut Vec<Out>) {
        if theirs.len() != RANGES {
            return;
        }
        let mine = self.shared_ranges(now, from);
        let differs = |(_, (range, theirs)): &(usize, (&SharedRange, &u64))| {
            range.digest != **theirs && !range.grants.is_empty()
        };
        let show = |(index, (range, _)): (usize, (&SharedRange, &u64))| {
            let held = range.grants.iter().map(|(key, g)| self.show(now, key, g));
            (index as u16, held.collect::<Vec<_>>())
        };
        // Another time it begins with another range, so that each has its turn.
        let first = (now.0 / EVERY.0) as usize * TURN % RANGES;
        let all = mine.iter().zip(&theirs).enumerate();
        let in_turn = all.clone().skip(first).chain(all.take(first));
        let mut bytes = 0;
        let ranges: Vec<_> = in_turn
            .filter(differs)
            .map(show)
            .take_while(|(_, held)| {
                let before = bytes;
                bytes += held.iter().map(Held::size).sum::<usize>();
                before < ANSWER
            })
            .collect();
        if !ranges.is_empty() {
            out.push(Out::Send(from, Msg::Ranges(ranges)));
        }
    }

    /// Takes over keys it does not hold, and outcomes it does not know. Never
    /// replaces a grant by another: that would forget a promise.
    pub(crate) fn on_ranges(&mut self, now: Mono, ranges: Vec<(u16, Vec<Held>)>, out: &mut Vec<Out>) {
        ranges.into_iter().flat_map(|(_, h)| h).for_each(|h| self.take_in(now, h, out));
    }

    pub(crate) fn take_in(&mut self, now: Mono, h: Held, out: &mut Vec<Out>) {
        if h.age >= self.env.window {
            return;
        }
        if !self.grants.contains(&h.key) {
            self.count("mended");
            self.save(now, Kept::Grant { key: h.key.clone(), print: h.print, round: h.round }, out);
            // As old as it was there, so that it is not passed round for ever.
            self.grants.set_at(&h.key, now - h.age);
        }
        let lacks = |g: &Grant| g.whole.is_none();
        if let (Some(whole), true) = (h.whole, self.grants.get(&h.key).is_some_and(lacks)) {
            self.keep_outcome(now, h.key, h.round, whole, out);
        }
    }
}
