//! What stand-in origins can be told to be: full, refusing, leaving, unchanged.
use crate::world::World;
use control_state::*;
use primitives::{Addr, Span};

impl World {
    /// Crashes without a word.
    pub fn wither(&mut self, a: Addr) {
        let now = self.now;
        self.blooms.get_mut(&a).into_iter().for_each(|b| {
            b.up = false;
            b.left = Some(now);
        });
    }

    /// Says it is leaving, but goes on answering.
    pub fn take_leave(&mut self, a: Addr, mood: Mood) {
        let now = self.now;
        self.blooms.get_mut(&a).into_iter().for_each(|b| {
            b.mood = mood;
            b.left = Some(now);
        });
        let doors = self.doors();
        let to = self.blooms.get(&a).map(|b| doors[b.controller % doors.len()]);
        to.into_iter().for_each(|k| self.say_beat(a, k));
    }

    /// Who takes beats: controllers, or where nobody counts those any edge.
    pub(crate) fn doors(&self) -> Vec<Addr> {
        self.of(if self.plan.open.is_some() { Role::Edge } else { Role::Controller })
    }

    /// How long it waits for a slot; none if the origin refuses it.
    pub(crate) fn admitted(&mut self, r: &Round) -> Option<Span> {
        let now = self.now;
        let b = self.blooms.get_mut(&r.addr).filter(|b| !b.refuses)?;
        if b.slots == 0 {
            return Some(Span(0));
        }
        b.taken.retain(|t| *t > now);
        if b.taken.len() >= b.slots + b.queue {
            return None;
        }
        // Whoever waits has the slot of the one that ends first.
        b.taken.sort();
        let before = b.taken.len().checked_sub(b.slots).map(|i| b.taken[i] - now);
        let wait = before.unwrap_or_default();
        b.taken.push(now + wait + b.work);
        Some(wait)
    }

    /// What the asker has is what there is.
    pub(crate) fn unchanged(&mut self, g: Addr, life: u64, r: &Round, edition: u64) {
        self.count("unchanged");
        self.rules.same(self.now, r, edition);
        let heads = Headers::default().with("etag", r.req.heads.get("if-none-match").unwrap_or_default());
        let w = Whole { heads, ..Whole::new(304, "", vec![]) };
        self.report(g, life, r.n, FetchOutcome::Whole(w));
    }
}
