//! Repair: ledgers compare digests over ranges of keys and adopt the records that they lack.
use crate::grant::Grant;

use crate::ledger::Ledger;
use crate::outgoing::{self, OutgoingRecord};
use crate::records::*;
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Number of ranges. A key's range is its hash modulo this.
const RANGES: usize = 64;
/// The interval between two comparisons is this, plus an amount for each key held, up to a
/// maximum: going through all keys, here and at every other ledger, then takes a small part of
/// a small processor however many keys there are.
const MIN_INTERVAL: Span = Span::secs(2);
const INTERVAL_PER_KEY: Span = Span(500);
const MAX_INTERVAL: Span = Span::secs(10);
/// Approximate bytes of records in one answer: where everything differs, after a power loss,
/// the rest is sent in the answers to later comparisons.
const MAX_ANSWER_BYTES: usize = 128 << 10;
/// Number of ranges by which the first range of an answer moves on with time.
const FIRST_RANGE_STEP: usize = 7;

/// One range of the keys that two ledgers share.
#[derive(Clone, Default)]
struct SharedRange<'a> {
    digest: u64,
    grants: Vec<(&'a String, &'a Grant)>,
}

fn range_index(key: &str) -> usize {
    primitives::hash(&key) as usize % RANGES
}

/// Sends ranges of records, once the outcomes that they lack were read.
fn send_ranges(to: Addr, ranges: Vec<(u16, Vec<OutgoingRecord>)>, out: &mut Vec<Out>) {
    let mut missing = vec![];
    let mut position = 0;
    let mut complete = vec![];
    for (index, records) in ranges {
        let mut held = vec![];
        for record in records {
            missing.extend(record.in_log.map(|outcome| outcome.missing_at(position)));
            held.push(record.held);
            position += 1;
        }
        complete.push((index, held));
    }
    outgoing::send(to, Msg::Ranges(complete), missing, out);
}

impl Ledger {
    /// Addresses of all other ledgers in the ledger sets.
    pub(crate) fn other_ledgers(&self) -> BTreeSet<Addr> {
        let me = self.follow.env.addr;
        Roll::of(&self.follow.items).seats().map(|member| member.addr).filter(|addr| *addr != me).collect()
    }

    /// Grants that are no longer in progress and whose round is known, each with the key's
    /// replicas in every ledger set, if this ledger is one of them.
    fn settled(&self, now: Mono) -> impl Iterator<Item = (&String, &Grant, Vec<Vec<Addr>>)> {
        let ledger_sets = Roll::of(&self.follow.items);
        let me = self.follow.env.addr;
        // An outcome that is stored at few ledgers does not make a grant settled: the other
        // replicas do not see it.
        let has_outcome = |g: &Grant| g.outcome.is_some() && !self.env.minimal_outcome_copies;
        let is_settled = move |g: &Grant| {
            has_outcome(g) || (now - g.granted_at > Span::secs(8) && g.round != RoundId::NONE)
        };
        let replicas = move |key: &String| ledger_sets.named(key, self.env.losses);
        let settled = self.grants.iter().filter(move |(_, g)| is_settled(g));
        settled
            .map(move |(key, g)| (key, g, replicas(key)))
            .filter(move |(.., r)| r.iter().any(|set| set.contains(&me)))
    }

    /// Settled grants of the keys that both this ledger and the other are replicas of.
    fn shared(&self, now: Mono, other: Addr) -> impl Iterator<Item = (&String, &Grant)> {
        let both = self.settled(now).filter(move |(.., sets)| sets.iter().any(|set| set.contains(&other)));
        both.map(|(key, grant, _)| (key, grant))
    }

    fn digest(&self, key: &str, grant: &Grant) -> u64 {
        primitives::hash(&(key, grant.round, grant.outcome.is_some() && !self.env.minimal_outcome_copies))
    }

    /// The ranges shared with one other ledger, in one pass over the keys.
    fn shared_ranges(&self, now: Mono, other: Addr) -> Vec<SharedRange<'_>> {
        let mut ranges = vec![SharedRange::default(); RANGES];
        for (key, grant) in self.shared(now, other) {
            let range = &mut ranges[range_index(key)];
            range.digest ^= self.digest(key, grant);
            range.grants.push((key, grant));
        }
        ranges
    }

    /// The digests of the ranges shared with every other ledger, in one pass over the keys.
    fn all_digests(&self, now: Mono) -> BTreeMap<Addr, Vec<u64>> {
        let mut all: BTreeMap<Addr, Vec<u64>> =
            self.other_ledgers().into_iter().map(|addr| (addr, vec![0u64; RANGES])).collect();
        for (key, grant, replicas) in self.settled(now) {
            let (index, digest) = (range_index(key), self.digest(key, grant));
            let others: BTreeSet<Addr> = replicas.into_iter().flatten().collect();
            for other in others {
                all.entry(other).and_modify(|digests| digests[index] ^= digest);
            }
        }
        all
    }

    pub(crate) fn repair(&mut self, now: Mono, out: &mut Vec<Out>) {
        let interval = MIN_INTERVAL + INTERVAL_PER_KEY.times(self.grants.len() as u64);
        if now - self.last_repair < interval.min(MAX_INTERVAL) {
            return;
        }
        self.last_repair = now;
        let all = self.all_digests(now);
        out.extend(all.into_iter().map(|(other, digests)| Out::Send(other, Msg::Digests(digests))));
    }

    /// The record of a grant as other ledgers receive it: without the outcome where outcomes are
    /// stored at few ledgers only.
    pub(crate) fn shared_record(&self, now: Mono, key: &str, grant: &Grant) -> OutgoingRecord {
        let record = grant.show(now, key);
        if self.env.minimal_outcome_copies {
            record.without_outcome()
        } else {
            record
        }
    }

    /// Answers with this ledger's records in the ranges whose digests differ.
    pub(crate) fn on_digests(&mut self, now: Mono, from: Addr, theirs: Vec<u64>, out: &mut Vec<Out>) {
        if theirs.len() != RANGES {
            return;
        }
        let ours = self.shared_ranges(now, from);
        let differs = |(_, (range, theirs)): &(usize, (&SharedRange, &u64))| {
            range.digest != **theirs && !range.grants.is_empty()
        };
        let records = |(index, (range, _)): (usize, (&SharedRange, &u64))| {
            let held = range.grants.iter().map(|(key, grant)| self.shared_record(now, key, grant));
            (index as u16, held.collect::<Vec<_>>())
        };
        // The first range changes with time, so that each range gets its turn.
        let first = (now.0 / MIN_INTERVAL.0) as usize * FIRST_RANGE_STEP % RANGES;
        let all = ours.iter().zip(&theirs).enumerate();
        let in_turn = all.clone().skip(first).chain(all.take(first));
        let mut bytes = 0;
        let ranges: Vec<_> = in_turn
            .filter(differs)
            .map(records)
            .take_while(|(_, held)| {
                let before = bytes;
                bytes += held.iter().map(OutgoingRecord::size).sum::<usize>();
                before < MAX_ANSWER_BYTES
            })
            .collect();
        if !ranges.is_empty() {
            send_ranges(from, ranges, out);
        }
    }

    /// Adopts keys that this ledger does not hold, and outcomes that it does not know. Never
    /// replaces one grant by another: that would break a grant already given.
    pub(crate) fn on_ranges(&mut self, now: Mono, ranges: Vec<(u16, Vec<Held>)>, out: &mut Vec<Out>) {
        ranges.into_iter().flat_map(|(_, held)| held).for_each(|record| self.adopt_record(now, record, out));
    }

    pub(crate) fn adopt_record(&mut self, now: Mono, record: Held, out: &mut Vec<Out>) {
        if record.age >= self.env.window {
            return;
        }
        if !self.grants.contains(&record.key) {
            self.count("mended");
            self.save(
                now,
                Kept::Grant { key: record.key.clone(), print: record.print, round: record.round },
                out,
            );
            // Keeps the age that the record had at its sender, so that ledgers do not pass it
            // among themselves for ever.
            self.grants.set_granted_at(&record.key, now - record.age);
        }
        let lacks_outcome = |g: &Grant| g.outcome.is_none();
        if let (Some(whole), true) = (record.whole, self.grants.get(&record.key).is_some_and(lacks_outcome)) {
            self.store_outcome(now, record.key, record.round, whole, out);
        }
    }
}
