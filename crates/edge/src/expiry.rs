//! Expiry of jobs and callers that have waited too long.
use crate::edge::Edge;
use crate::jobs::{Job, Stage, Waiting, CLAIM_TIMEOUT};
use control_state::*;
use primitives::{Mono, Span};

impl Edge {
    /// Denies jobs that have waited too long, or turns to another source.
    pub(crate) fn expire_jobs(&mut self, now: Mono, out: &mut Vec<Out>) {
        let ids: Vec<u64> = self.jobs.keys().copied().collect();
        for id in ids {
            self.expire_callers(now, id, out);
            let Some(job) = self.jobs.get(&id) else { continue };
            let waited = now - job.stage_since;
            match &job.stage {
                Stage::Queued | Stage::Home(..) | Stage::Claim(_) if now >= job.deadline => {
                    self.deny(now, id, Denied::Ceiling, out);
                }
                Stage::Home(copy_request) if waited > self.copy_request_timeout(copy_request) => {
                    if let Some(id) = self.shared_fetch(id) {
                        self.skip_unresponsive_home(now, id, out);
                    }
                }
                Stage::Claim(_) if waited > CLAIM_TIMEOUT => self.count_votes(now, id, true, out),
                Stage::Claim(_) => self.retry_claim(now, id, out),
                // The executor reports every attempt; this covers an executor that died.
                Stage::Out(round, _) if now > round.answer_deadline + Span::secs(5) => {
                    let n = round.n;
                    self.on_attempt_done(now, n, FetchOutcome::Lost, out);
                }
                _ => (),
            }
        }
    }

    /// Denies callers whose deadline comes before that of others waiting for the same fetch.
    fn expire_callers(&mut self, now: Mono, id: u64, out: &mut Vec<Out>) {
        let deadline = |job: &Job, c: &Waiting| match job.stage {
            Stage::Queued => job.queue_deadline(c),
            Stage::Home(_) | Stage::Claim(_) => c.deadline,
            Stage::Out(..) => Mono(u64::MAX),
        };
        self.deny_callers(now, id, |job, c| now >= deadline(job, c), out);
    }

    /// Denies the selected callers. If these are all of them, the job ends.
    pub(crate) fn deny_callers(
        &mut self,
        now: Mono,
        id: u64,
        which: impl Fn(&Job, &Waiting) -> bool,
        out: &mut Vec<Out>,
    ) {
        let denial = self.denial(id, Denied::Ceiling);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let callers = std::mem::take(&mut job.callers);
        let (denied, rest): (Vec<Waiting>, Vec<Waiting>) = callers.into_iter().partition(|c| which(job, c));
        if rest.is_empty() && !denied.is_empty() {
            job.callers = denied;
            return self.finish(now, id, denial, out);
        }
        job.callers = rest;
        denied.iter().for_each(|c| self.answer_caller(now, &c.caller, denial.clone(), out));
    }
}
