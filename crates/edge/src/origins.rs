//! Which origins may be used now, and in which order.
use crate::edge::Edge;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};
use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// When each beat was heard, at the latest, by this edge's clock: counted
    /// back from when it asked, so that a message read late is not fresh.
    pub beats: BTreeMap<Addr, (OriginHeartbeat, Mono)>,
    probes: BTreeMap<Addr, (Svc, Birth, Mono)>,
    /// Lives that just failed a round, and until when they are passed over.
    bad: BTreeMap<(Addr, Birth), Mono>,
    /// How long each life's answers take, smoothed.
    pace: BTreeMap<(Addr, Birth), Span>,
    /// Lives that could not be reached, and when that was tried.
    unreached: BTreeMap<(Addr, Birth), Mono>,
}

impl Seen {
    pub(crate) fn pace(&self, a: &Addr, b: Birth) -> Option<Span> {
        self.pace.get(&(*a, b)).copied()
    }
    /// Nothing was heard of it since it could not be reached.
    pub(crate) fn is_unreached(&self, now: Mono, a: &Addr, b: Birth) -> bool {
        let heard = self.beats.get(a).filter(|(x, _)| x.birth == b).map(|(_, t)| *t).unwrap_or_default();
        self.unreached.get(&(*a, b)).is_some_and(|t| heard <= *t && now - *t < UNREACHED)
    }
    pub(crate) fn is_failing(&self, now: Mono, a: &Addr, b: Birth) -> bool {
        self.bad.get(&(*a, b)).is_some_and(|t| *t > now)
    }
}

const PASS_OVER: Span = Span::ms(500);
/// Silent ones are tried again after so long, beat or not.
const UNREACHED: Span = Span::secs(8);
/// Slower than the service's quickest by this factor, and than this at all.
const SLOW_BY: u64 = 4;
const SLOW: Span = Span::ms(150);

impl Edge {
    pub(crate) fn take_beats(&mut self, r: &Reply) {
        for (b, age) in &r.beats {
            let heard = r.ask - *age;
            if b.replaces(heard, self.seen.beats.get(&b.addr)) {
                self.seen.beats.insert(b.addr, (b.clone(), heard));
            }
        }
    }

    /// Until when this life at this address counts as there.
    pub(crate) fn fresh_until(&self, a: &Addr, o: &Origin) -> Mono {
        let beat = self.seen.beats.get(a);
        let by_beat = beat.filter(|(b, _)| b.birth == o.birth && b.svc == o.svc && !b.mood.ends());
        let probe = self.seen.probes.get(a).filter(|(s, b, _)| *s == o.svc && *b == o.birth).map(|p| p.2);
        // A later word of leaving, or of another life, outweighs an older probe.
        let against = beat.filter(|_| by_beat.is_none()).map(|(_, t)| *t).unwrap_or_default();
        let probe = probe.filter(|t| *t > against);
        let last = by_beat.map(|(_, t)| *t).max(probe).unwrap_or_default();
        if last == Mono(0) {
            Mono(0)
        } else {
            last + self.env.fresh
        }
    }

    /// Usable origins of a service for this object or key: its own first, then
    /// that one's understudy, then the rest; slow and failing ones last.
    pub(crate) fn candidates(&self, now: Mono, svc: &Svc, on: u64) -> Vec<(Addr, Origin, Mono)> {
        let all = self.table.origins.get(svc).cloned().unwrap_or_default();
        let ranked = primitives::rank(&on, &all, |(a, _)| primitives::hash(a));
        let Some(first) = ranked.first().cloned() else { return vec![] };
        let under = understudy(&first.0, &all);
        let mut order = vec![first];
        order.extend(under);
        order.extend(ranked);
        let mut seen = vec![];
        order.retain(|(a, _)| {
            let new = !seen.contains(a);
            seen.push(*a);
            new
        });
        let quick = order.iter().filter_map(|(a, o)| self.seen.pace.get(&(*a, o.birth))).min().copied();
        let demerits = |a: &Addr, o: &Origin| {
            let bad = self.seen.bad.get(&(*a, o.birth)).is_some_and(|t| *t > now);
            let slow = self
                .seen
                .pace
                .get(&(*a, o.birth))
                .is_some_and(|p| *p > SLOW && quick.is_some_and(|q| p.0 > q.0 * SLOW_BY));
            let full = self.seen.beats.get(a).is_some_and(|(b, _)| b.occupancy >= b.cap);
            bad as u8 * 4 + full as u8 * 2 + slow as u8
        };
        let mut v: Vec<_> = order
            .into_iter()
            .map(|(a, o)| (a, self.fresh_until(&a, &o), o))
            .filter(|(_, until, _)| *until > now)
            .map(|(a, until, o)| (demerits(&a, &o), (a, o, until)))
            .collect();
        v.sort_by_key(|(d, _)| *d);
        v.into_iter().map(|(_, c)| c).collect()
    }

    pub(crate) fn note_latency(&mut self, a: Addr, b: Birth, took: Span) {
        let was = self.seen.pace.entry((a, b)).or_insert(took);
        *was = Span((was.0 * 3 + took.0) / 4);
        self.seen.bad.remove(&(a, b));
    }

    pub(crate) fn note_unreached(&mut self, now: Mono, a: Addr, b: Birth) {
        self.seen.unreached.retain(|_, t| now - *t < UNREACHED);
        self.seen.unreached.insert((a, b), now);
    }

    pub(crate) fn note_failure(&mut self, now: Mono, a: Addr, b: Birth) {
        self.seen.bad.retain(|_, t| *t > now);
        self.seen.bad.insert((a, b), now + PASS_OVER);
    }

    /// Origins whose beats no longer come through: the edge asks them itself.
    pub(crate) fn to_probe(&self, now: Mono) -> Vec<Addr> {
        let stale =
            |a: &Addr| self.seen.beats.get(a).is_none_or(|(_, t)| now - *t > Span(self.env.fresh.0 / 2));
        self.table.origins.values().flatten().map(|(a, _)| *a).filter(stale).collect()
    }

    pub(crate) fn probed(&mut self, a: Addr, said: Option<(Svc, Birth, bool)>, began: Mono) {
        match said {
            Some((svc, birth, true)) => {
                self.seen.probes.insert(a, (svc, birth, began));
            }
            _ => {
                self.seen.probes.remove(&a);
            }
        }
    }
}
