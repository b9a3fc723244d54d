//! Rounds: one try of a job at one origin.
use crate::edge::Edge;
use crate::jobs::*;
use crate::revalidation::IF_NONE_MATCH;
use crate::sources::Source;
use control_state::*;
use primitives::{Mono, Span};
use std::sync::Arc;

/// The last word on an answer that is larger than this deployment serves.
fn too_large() -> Whole {
    let v =
        obj(vec![("problem", text("too large")), ("reason", text("the origin's answer is over the limit"))]);
    Whole::new(502, "application/json", v.stringify().unwrap_or_default().into_bytes())
}

impl Edge {
    pub(crate) fn set_stage(&mut self, now: Mono, id: u64, s: Stage) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.metrics.note_wait(&job.stage, now - job.stage_since);
        job.stage = s;
        job.stage_since = now;
    }

    pub(crate) fn enqueue_new_job(&mut self, now: Mono, job: Job, out: &mut Vec<Out>) -> u64 {
        let id = self.number();
        self.jobs.insert(id, job);
        self.enqueue_job(now, id, out);
        id
    }

    /// Sends the executor to an origin, or leaves the job in line, or denies it.
    pub(crate) fn start_round(&mut self, now: Mono, id: u64, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (svc, leave, req) = (job.svc.clone(), job.send_deadline, job.req.clone());
        let on = match job.kind {
            Kind::Read => primitives::hash(&job.req.path),
            Kind::Keyed => primitives::hash(&job.req.key),
            Kind::Plain | Kind::Once => id,
        };
        let fresh_first =
            |(a, o, _): &(primitives::Addr, Origin, Mono)| job.tried_origins.contains(&(*a, o.birth));
        let mut all = if self.env.policy.load_balanced {
            self.load_balanced(now, &svc, id, job.kind == Kind::Read)
        } else {
            self.candidates(now, &svc, on)
        };
        all.sort_by_key(fresh_first);
        let lease = self.leased_until();
        let Some((addr, o, fresh)) = all.into_iter().next() else {
            return self.deny(now, id, Denied::NoOrigin, out);
        };
        if lease <= now || leave <= now {
            return self.deny(now, id, Denied::NoLease, out);
        }
        let Some(token) = self.spend(now, &svc) else { return self.request_tokens_now(now, &svc, out) };
        let n = self.number();
        let req = self.conditional(id, req);
        let r = Round {
            n,
            addr,
            svc,
            birth: o.birth,
            tag: o.tag,
            until: fresh.min(lease).min(token).min(leave),
            answer_deadline: self.jobs.get(&id).map_or(now, |job| job.deadline),
            extra: self.jobs.get(&id).is_some_and(|job| job.sent_attempts + job.refused_attempts > 0),
            req,
        };
        self.rounds.insert(n, id);
        self.set_stage(now, id, Stage::Out(Box::new(r.clone()), token));
        let job = self.jobs.get_mut(&id).expect("looked up above");
        job.tried_origins.push((addr, o.birth));
        self.count("rounds");
        out.push(Out::Fetch(r));
    }

    /// An executor's report.
    pub(crate) fn done(&mut self, now: Mono, n: u64, f: FetchOutcome, out: &mut Vec<Out>) {
        let Some(id) = self.rounds.remove(&n) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Stage::Out(r, token) = &job.stage else { return };
        let (r, token, sent) = (r.clone(), *token, job.stage_since);
        match f {
            FetchOutcome::NotSent => {
                job.unsent_attempts += 1;
                let again = job.unsent_attempts < 3;
                self.refund(now, &r.svc, token);
                self.note_failure(now, r.addr, r.birth);
                self.note_unreached(now, r.addr, r.birth);
                if again {
                    self.enqueue_job(now, id, out);
                } else {
                    self.deny(now, id, Denied::NoOrigin, out);
                }
            }
            FetchOutcome::Refused | FetchOutcome::WrongIncarnation => {
                job.refused_attempts += 1;
                let more = job.refused_attempts + job.sent_attempts < job.max_attempts;
                self.note_failure(now, r.addr, r.birth);
                if more && self.take_retry_token(now, &r.svc) {
                    self.count("extra tries");
                    self.enqueue_job(now, id, out);
                } else {
                    self.deny(now, id, Denied::Refused, out);
                }
            }
            FetchOutcome::Lost => {
                job.sent_attempts += 1;
                let safe = job.safe();
                self.note_failure(now, r.addr, r.birth);
                self.retry_or(now, id, safe, Step::OutcomeUnknown(Span::secs(2)), out);
            }
            FetchOutcome::TooLarge => {
                // Asking again would only bring it once more.
                job.sent_attempts += 1;
                let (keyed, w) = (job.kind == Kind::Keyed, too_large());
                let s = Step::Serve(Arc::new(w.clone()), AnswerSource::Own, Mono(u64::MAX));
                if keyed {
                    self.finish_keyed(now, id, w, s, out);
                } else {
                    self.finish(now, id, s, out);
                }
            }
            FetchOutcome::Whole(w) => {
                job.sent_attempts += 1;
                let (kind, safe, invalidated) = (job.kind, job.safe(), job.invalidated);
                let invalidated = invalidated || self.purged_tags.is_purged(&w.heads, sent);
                self.note_latency(r.addr, r.birth, now - sent);
                let failed = w.status >= 500;
                let s = Step::Serve(Arc::new(w.clone()), AnswerSource::Origin, Mono(u64::MAX));
                match kind {
                    Kind::Read if invalidated => {
                        self.retry_or(now, id, true, Step::OutcomeUnknown(Span::secs(1)), out);
                    }
                    _ if failed && safe => {
                        self.note_failure(now, r.addr, r.birth);
                        self.retry_or(now, id, true, s, out);
                    }
                    Kind::Read if w.status == 304 && r.req.heads.has(IF_NONE_MATCH) => {
                        self.finish_revalidation(now, id, sent, &r, out)
                    }
                    Kind::Read => self.finish_fill(now, id, sent, w, out),
                    Kind::Plain | Kind::Once => self.finish(now, id, s, out),
                    Kind::Keyed => self.finish_keyed(now, id, w, s, out),
                }
            }
        }
    }

    /// Another round if that does no harm and the budget has one, else `last`.
    pub(crate) fn retry_or(&mut self, now: Mono, id: u64, safe: bool, last: Step, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (svc, few) = (job.svc.clone(), job.sent_attempts + job.refused_attempts < job.max_attempts);
        let late = now >= job.deadline;
        if safe && few && !late && self.take_retry_token(now, &svc) {
            self.count("extra tries");
            self.jobs.entry(id).and_modify(|job| job.invalidated = false);
            if self.jobs[&id].kind == Kind::Read {
                self.ask_source(now, id, Source::Ledger, out);
            } else {
                self.enqueue_job(now, id, out);
            }
        } else {
            self.finish(now, id, last, out);
        }
    }
}
