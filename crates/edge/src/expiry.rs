//! Waits that have gone on too long.
use crate::edge::Edge;
use crate::jobs::{Stage, HOME};
use control_state::*;
use primitives::{Mono, Span};

impl Edge {
    /// Gives up what has waited too long, or turns to somebody else.
    pub(crate) fn expire_jobs(&mut self, now: Mono, out: &mut Vec<Out>) {
        let ids: Vec<u64> = self.jobs.keys().copied().collect();
        for id in ids {
            let j = &self.jobs[&id];
            let waited = now - j.staged;
            match &j.stage {
                Stage::Line | Stage::Home(..) | Stage::Claim(_) if now >= j.by => {
                    self.deny(now, id, Denied::Ceiling, out);
                }
                Stage::Home(inquiry) if waited > self.patience_with(inquiry) => {
                    self.pass_over(now, id, out);
                }
                Stage::Claim(_) if waited > HOME => self.count_votes(now, id, true, out),
                Stage::Claim(_) => self.claim_again(now, id, out),
                Stage::Line if now >= j.in_line_until() => self.deny(now, id, Denied::Ceiling, out),
                // The executor answers for its rounds; this is for one that died.
                Stage::Out(r, _) if now > r.horizon + Span::secs(5) => {
                    let n = r.n;
                    self.done(now, n, Fetched::Lost, out);
                }
                _ => (),
            }
        }
    }
}
