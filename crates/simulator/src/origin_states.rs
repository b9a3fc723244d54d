//! States that a test can put a stand-in origin into: full, refusing, leaving, unchanged.
use crate::world::World;
use control_state::*;
use primitives::{Addr, Span};

impl World {
    /// Crashes the origin; it does not announce that it leaves.
    pub fn crash_origin(&mut self, a: Addr) {
        let now = self.now;
        self.origins.get_mut(&a).into_iter().for_each(|b| {
            b.up = false;
            b.left = Some(now);
        });
    }

    /// Lets the origin announce `mood` in an `OriginHeartbeat` at once; it goes on answering.
    pub fn announce_leaving(&mut self, a: Addr, mood: Mood) {
        let now = self.now;
        self.origins.get_mut(&a).into_iter().for_each(|b| {
            b.mood = mood;
            b.left = Some(now);
        });
        let targets = self.heartbeat_targets();
        let to = self.origins.get(&a).map(|b| targets[b.controller % targets.len()]);
        to.into_iter().for_each(|k| self.send_heartbeat(a, k));
    }

    /// Receivers of heartbeats: controllers, or in an open deployment any edge.
    pub(crate) fn heartbeat_targets(&self) -> Vec<Addr> {
        self.of(if self.plan.open.is_some() { Role::Edge } else { Role::Controller })
    }

    /// How long the request waits for a slot; `None` if the origin refuses it.
    pub(crate) fn admitted(&mut self, r: &Round) -> Option<Span> {
        let now = self.now;
        let b = self.origins.get_mut(&r.addr).filter(|b| !b.refuses)?;
        if b.slots == 0 {
            return Some(Span(0));
        }
        b.taken.retain(|t| *t > now);
        if b.taken.len() >= b.slots + b.queue {
            return None;
        }
        // A waiting request gets the slot of the request that ends first.
        b.taken.sort();
        let before = b.taken.len().checked_sub(b.slots).map(|i| b.taken[i] - now);
        let wait = before.unwrap_or_default();
        b.taken.push(now + wait + b.work);
        Some(wait)
    }

    /// Answers 304: the copy that the requester holds is current.
    pub(crate) fn unchanged(&mut self, g: Addr, life: u64, r: &Round, edition: u64) {
        self.count("unchanged");
        self.rules.confirmed_current(self.now, r, edition);
        let heads = Headers::default().with("etag", r.req.heads.get("if-none-match").unwrap_or_default());
        let w = Whole { heads, ..Whole::new(304, "", vec![]) };
        self.report(g, life, r.n, FetchOutcome::Whole(w));
    }
}
