//! Waits that have gone on too long.
use crate::edge::Edge;
use crate::jobs::{Job, Stage, Waiting, HOME};
use control_state::*;
use primitives::{Mono, Span};

impl Edge {
    /// Gives up what has waited too long, or turns to somebody else.
    pub(crate) fn expire_jobs(&mut self, now: Mono, out: &mut Vec<Out>) {
        let ids: Vec<u64> = self.jobs.keys().copied().collect();
        for id in ids {
            self.expire_callers(now, id, out);
            let Some(j) = self.jobs.get(&id) else { continue };
            let waited = now - j.stage_since;
            match &j.stage {
                Stage::Line | Stage::Home(..) | Stage::Claim(_) if now >= j.by => {
                    self.deny(now, id, Denied::Ceiling, out);
                }
                Stage::Home(copy_request) if waited > self.patience_with(copy_request) => {
                    self.skip_silent_home(now, id, out);
                }
                Stage::Claim(_) if waited > HOME => self.count_votes(now, id, true, out),
                Stage::Claim(_) => self.claim_again(now, id, out),
                // The executor answers for its rounds; this is for one that died.
                Stage::Out(r, _) if now > r.answer_deadline + Span::secs(5) => {
                    let n = r.n;
                    self.done(now, n, FetchOutcome::Lost, out);
                }
                _ => (),
            }
        }
    }

    /// Tells those who cannot wait as long as others for the same fill.
    fn expire_callers(&mut self, now: Mono, id: u64, out: &mut Vec<Out>) {
        let until = |j: &Job, c: &Waiting| match j.stage {
            Stage::Line => j.queue_deadline(c),
            Stage::Home(_) | Stage::Claim(_) => c.by,
            Stage::Out(..) => Mono(u64::MAX),
        };
        self.deny_some(now, id, |j, c| now >= until(j, c), out);
    }

    /// Denies these callers; the job ends with the last of them.
    pub(crate) fn deny_some(
        &mut self,
        now: Mono,
        id: u64,
        which: impl Fn(&Job, &Waiting) -> bool,
        out: &mut Vec<Out>,
    ) {
        let word = self.denial(id, Denied::Ceiling);
        let Some(j) = self.jobs.get_mut(&id) else { return };
        let all = std::mem::take(&mut j.callers);
        let (over, rest): (Vec<Waiting>, Vec<Waiting>) = all.into_iter().partition(|c| which(j, c));
        if rest.is_empty() && !over.is_empty() {
            j.callers = over;
            return self.finish(now, id, word, out);
        }
        j.callers = rest;
        over.iter().for_each(|c| self.tell(now, &c.caller, word.clone(), out));
    }
}
