//! Choosing by load: origins of few slots, pressed by many edges at once.
use crate::edge::Edge;
use crate::jobs::Stage;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};
use std::collections::BTreeMap;

/// What another zone, and another region, counts as over the origin's own pace: for
/// what may be long and is shared, and for the rest.
const SHARED: (f64, f64) = (4.0, 6.0);
const OWN: (f64, f64) = (0.7, 1.5);
/// An origin that nobody here has asked yet.
const UNKNOWN: Span = Span::ms(80);
/// One that is still warming up.
const COLD: f64 = 1.5;

impl Edge {
    /// Requests this edge has out, by origin.
    fn out_now(&self) -> BTreeMap<(Addr, Birth), u32> {
        let mut n = BTreeMap::new();
        for j in self.jobs.values() {
            if let Stage::Out(r, _) = &j.stage {
                *n.entry((r.addr, r.birth)).or_default() += 1;
            }
        }
        n
    }

    /// How long an answer from there is likely to take, nearer ones first.
    fn outlook(&self, a: &Addr, o: &Origin, out: u32, shared: bool) -> f64 {
        let pace = self.seen.pace(a, o.birth).unwrap_or(UNKNOWN).0 as f64;
        let here = &self.follow.env.zone;
        let (zone, region) = if shared { SHARED } else { OWN };
        let away = match (o.zone == *here, o.zone.region() == here.region()) {
            (true, _) => 0.0,
            (_, true) => zone,
            _ => region,
        };
        let cold = self.seen.beats.get(a).is_some_and(|(b, _)| b.mood == Mood::Warming);
        let load = out as f64 / o.cap.max(1) as f64 * 2.0;
        pace * (1.0 + load + away + if cold { COLD } else { 0.0 })
    }

    /// Usable origins, the most promising first: of two drawn by the request the
    /// better one, so that edges that see alike do not all press the same.
    pub(crate) fn load_balanced(
        &self,
        now: Mono,
        svc: &Svc,
        draw: u64,
        shared: bool,
    ) -> Vec<(Addr, Origin, Mono)> {
        let out = self.out_now();
        let all = self.table.origins.get(svc).cloned().unwrap_or_default();
        let mut v: Vec<(u8, f64, (Addr, Origin, Mono))> = all
            .into_iter()
            .map(|(a, o)| {
                let n = out.get(&(a, o.birth)).copied().unwrap_or(0);
                let until = self.fresh_until(&a, &o);
                let stale = until <= now;
                let silent = self.seen.is_unreached(now, &a, o.birth);
                let bad = self.seen.is_failing(now, &a, o.birth);
                let demerit = silent as u8 * 4 + bad as u8 * 2 + stale as u8;
                let until =
                    if stale && self.follow.env.serve_without_lease { now + Span::secs(1) } else { until };
                let noise = 0.75 + (primitives::hash(&(draw, a)) % 1000) as f64 / 2000.0;
                (demerit, self.outlook(&a, &o, n, shared) * noise, (a, o, until))
            })
            .filter(|(.., (_, _, until))| *until > now)
            .collect();
        v.sort_by(|x, y| x.0.cmp(&y.0).then(x.1.total_cmp(&y.1)));
        v.into_iter().map(|(.., c)| c).collect()
    }
}
