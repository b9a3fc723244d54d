//! Which origins may be used now, and in which order.
use crate::edge::Edge;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};
use std::collections::BTreeMap;

/// What this edge has observed of the origins.
#[derive(Debug, Default)]
pub(crate) struct OriginHealth {
    /// Each origin's latest `OriginHeartbeat` and the latest time, by this edge's clock, at which it was
    /// current. Counted back from the time of the edge's request, so that a message that is read
    /// late does not count as fresh.
    pub heartbeats: BTreeMap<Addr, (OriginHeartbeat, Mono)>,
    probes: BTreeMap<Addr, (Svc, Birth, Mono)>,
    /// Incarnations whose attempt just failed, and until when they are avoided.
    failing_until: BTreeMap<(Addr, Birth), Mono>,
    /// Smoothed response time of each incarnation.
    latency: BTreeMap<(Addr, Birth), Span>,
    /// Incarnations that could not be reached, and when that was tried.
    unreached: BTreeMap<(Addr, Birth), Mono>,
}

impl OriginHealth {
    /// The smoothed response time of an incarnation, if one was measured.
    pub(crate) fn latency(&self, addr: &Addr, birth: Birth) -> Option<Span> {
        self.latency.get(&(*addr, birth)).copied()
    }
    /// Whether nothing was heard of the origin since it could not be reached.
    pub(crate) fn is_unreachable(&self, now: Mono, addr: &Addr, birth: Birth) -> bool {
        let heard =
            self.heartbeats.get(addr).filter(|(h, _)| h.birth == birth).map(|(_, t)| *t).unwrap_or_default();
        self.unreached.get(&(*addr, birth)).is_some_and(|t| heard <= *t && now - *t < UNREACHED_COOLDOWN)
    }
    /// Whether an attempt there failed a moment ago.
    pub(crate) fn is_failing(&self, now: Mono, addr: &Addr, birth: Birth) -> bool {
        self.failing_until.get(&(*addr, birth)).is_some_and(|t| *t > now)
    }
}

/// How long an origin is avoided after a failed attempt.
const FAILURE_COOLDOWN: Span = Span::ms(500);
/// Unreachable origins are tried again after this time, even without heartbeats.
const UNREACHED_COOLDOWN: Span = Span::secs(8);
/// An origin is slow if it is slower than the service's fastest by this factor, and slower than
/// `SLOW_MIN`.
const SLOW_FACTOR: u64 = 4;
const SLOW_MIN: Span = Span::ms(150);

impl Edge {
    /// Takes the origins' heartbeats from a controller's reply.
    pub(crate) fn record_heartbeats(&mut self, reply: &Reply) {
        for (origin_heartbeat, age) in &reply.beats {
            let heard = reply.ask - *age;
            if origin_heartbeat.replaces(heard, self.origin_health.heartbeats.get(&origin_heartbeat.addr)) {
                self.origin_health
                    .heartbeats
                    .insert(origin_heartbeat.addr, (origin_heartbeat.clone(), heard));
            }
        }
    }

    /// Until when this incarnation at this address counts as present.
    pub(crate) fn fresh_until(&self, addr: &Addr, origin: &Origin) -> Mono {
        let origin_heartbeat = self.origin_health.heartbeats.get(addr);
        let by_heartbeat = origin_heartbeat
            .filter(|(h, _)| h.birth == origin.birth && h.svc == origin.svc && !h.mood.ends());
        let probe = self
            .origin_health
            .probes
            .get(addr)
            .filter(|(s, b, _)| *s == origin.svc && *b == origin.birth)
            .map(|p| p.2);
        // A later `OriginHeartbeat` that ends the incarnation, or belongs to another one, outweighs an
        // older probe.
        let superseded_before =
            origin_heartbeat.filter(|_| by_heartbeat.is_none()).map(|(_, t)| *t).unwrap_or_default();
        let probe = probe.filter(|t| *t > superseded_before);
        let last = by_heartbeat.map(|(_, t)| *t).max(probe).unwrap_or_default();
        if last == Mono(0) {
            Mono(0)
        } else {
            last + self.env.fresh
        }
    }

    /// Usable origins of a service for this object or key: first the one it is assigned to, then
    /// that one's standby origin, then the rest; slow and failing ones last.
    pub(crate) fn candidates(&self, now: Mono, svc: &Svc, rendezvous_key: u64) -> Vec<(Addr, Origin, Mono)> {
        let all = self.table.origins.get(svc).cloned().unwrap_or_default();
        let ranked = primitives::rank(&rendezvous_key, &all, |(a, _)| primitives::hash(a));
        let Some(first) = ranked.first().cloned() else { return vec![] };
        let standby = understudy(&first.0, &all);
        let mut order = vec![first];
        order.extend(standby);
        order.extend(ranked);
        let mut listed = vec![];
        order.retain(|(a, _)| {
            let new = !listed.contains(a);
            listed.push(*a);
            new
        });
        let fastest =
            order.iter().filter_map(|(a, o)| self.origin_health.latency.get(&(*a, o.birth))).min().copied();
        let penalty = |addr: &Addr, origin: &Origin| {
            let failing =
                self.origin_health.failing_until.get(&(*addr, origin.birth)).is_some_and(|t| *t > now);
            let slow = self.origin_health.latency.get(&(*addr, origin.birth)).is_some_and(|latency| {
                *latency > SLOW_MIN && fastest.is_some_and(|best| latency.0 > best.0 * SLOW_FACTOR)
            });
            let full = self.origin_health.heartbeats.get(addr).is_some_and(|(h, _)| h.occupancy >= h.cap);
            failing as u8 * 4 + full as u8 * 2 + slow as u8
        };
        let mut penalized: Vec<_> = order
            .into_iter()
            .map(|(a, o)| (a, self.fresh_until(&a, &o), o))
            .filter(|(_, until, _)| *until > now)
            .map(|(a, until, o)| (penalty(&a, &o), (a, o, until)))
            .collect();
        penalized.sort_by_key(|(penalty, _)| *penalty);
        penalized.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// A response arrived after this time.
    pub(crate) fn note_latency(&mut self, addr: Addr, birth: Birth, took: Span) {
        let smoothed = self.origin_health.latency.entry((addr, birth)).or_insert(took);
        *smoothed = Span((smoothed.0 * 3 + took.0) / 4);
        self.origin_health.failing_until.remove(&(addr, birth));
    }

    /// The origin could not be reached.
    pub(crate) fn note_unreached(&mut self, now: Mono, addr: Addr, birth: Birth) {
        self.origin_health.unreached.retain(|_, t| now - *t < UNREACHED_COOLDOWN);
        self.origin_health.unreached.insert((addr, birth), now);
    }

    /// An attempt failed.
    pub(crate) fn note_failure(&mut self, now: Mono, addr: Addr, birth: Birth) {
        self.origin_health.failing_until.retain(|_, t| *t > now);
        self.origin_health.failing_until.insert((addr, birth), now + FAILURE_COOLDOWN);
    }

    /// Origins whose heartbeats no longer arrive. The edge probes them itself.
    pub(crate) fn to_probe(&self, now: Mono) -> Vec<Addr> {
        let stale = |a: &Addr| {
            self.origin_health.heartbeats.get(a).is_none_or(|(_, t)| now - *t > Span(self.env.fresh.0 / 2))
        };
        self.table.origins.values().flatten().map(|(a, _)| *a).filter(stale).collect()
    }

    /// Result of a probe that began at `started`; the flag tells whether the origin accepts
    /// requests.
    pub(crate) fn on_probe_result(&mut self, addr: Addr, reply: Option<(Svc, Birth, bool)>, started: Mono) {
        match reply {
            Some((svc, birth, true)) => {
                self.origin_health.probes.insert(addr, (svc, birth, started));
            }
            _ => {
                self.origin_health.probes.remove(&addr);
            }
        }
    }
}
