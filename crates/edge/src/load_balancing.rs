//! Choice of origins by load, for origins with few slots that many edges use at once.
use crate::edge::Edge;
use crate::jobs::Stage;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};
use std::collections::BTreeMap;

/// Cost of an origin in another zone and in another region, in multiples of its response time: for
/// reads, which may be large and are shared, and for all other requests.
const SHARED_DISTANCE_COST: (f64, f64) = (4.0, 6.0);
const UNSHARED_DISTANCE_COST: (f64, f64) = (0.7, 1.5);
/// Response time assumed for an origin that this edge has not used yet.
const DEFAULT_RESPONSE_TIME: Span = Span::ms(80);
/// Additional cost of an origin that is still warming up.
const WARMING_COST: f64 = 1.5;

impl Edge {
    /// Number of requests this edge has in progress, by origin.
    fn in_flight_by_origin(&self) -> BTreeMap<(Addr, Birth), u32> {
        let mut in_flight = BTreeMap::new();
        for job in self.jobs.values() {
            if let Stage::Out(r, _) = &job.stage {
                *in_flight.entry((r.addr, r.birth)).or_default() += 1;
            }
        }
        in_flight
    }

    /// Expected time of a response, weighted by load and distance. The unit is microseconds.
    fn expected_cost(&self, addr: &Addr, origin: &Origin, in_flight: u32, shared: bool) -> f64 {
        let latency =
            self.origin_health.latency(addr, origin.birth).unwrap_or(DEFAULT_RESPONSE_TIME).0 as f64;
        let here = &self.follow.env.zone;
        let (zone, region) = if shared { SHARED_DISTANCE_COST } else { UNSHARED_DISTANCE_COST };
        let distance = match (origin.zone == *here, origin.zone.region() == here.region()) {
            (true, _) => 0.0,
            (_, true) => zone,
            _ => region,
        };
        let warming = self.origin_health.heartbeats.get(addr).is_some_and(|(h, _)| h.mood == Mood::Warming);
        let load = in_flight as f64 / origin.cap.max(1) as f64 * 2.0;
        latency * (1.0 + load + distance + if warming { WARMING_COST } else { 0.0 })
    }

    /// Usable origins, the most promising first. The request's `selector` perturbs the costs, so
    /// that edges with the same view do not all choose the same origin.
    pub(crate) fn load_balanced(
        &self,
        now: Mono,
        svc: &Svc,
        selector: u64,
        shared: bool,
    ) -> Vec<(Addr, Origin, Mono)> {
        let in_flight = self.in_flight_by_origin();
        let all = self.table.origins.get(svc).cloned().unwrap_or_default();
        let mut ranked: Vec<(u8, f64, (Addr, Origin, Mono))> = all
            .into_iter()
            .map(|(a, o)| {
                let count = in_flight.get(&(a, o.birth)).copied().unwrap_or(0);
                let until = self.fresh_until(&a, &o);
                let stale = until <= now;
                let unreachable = self.origin_health.is_unreachable(now, &a, o.birth);
                let failing = self.origin_health.is_failing(now, &a, o.birth);
                let penalty = unreachable as u8 * 4 + failing as u8 * 2 + stale as u8;
                let until =
                    if stale && self.follow.env.serve_without_lease { now + Span::secs(1) } else { until };
                let jitter = 0.75 + (primitives::hash(&(selector, a)) % 1000) as f64 / 2000.0;
                (penalty, self.expected_cost(&a, &o, count, shared) * jitter, (a, o, until))
            })
            .filter(|(.., (_, _, until))| *until > now)
            .collect();
        ranked.sort_by(|x, y| x.0.cmp(&y.0).then(x.1.total_cmp(&y.1)));
        ranked.into_iter().map(|(.., candidate)| candidate).collect()
    }
}
