//! Rounds: a round is one attempt of a job at one origin.
use crate::edge::Edge;
use crate::jobs::*;
use crate::sources::Source;
use control_state::*;
use primitives::{Mono, Span};
use std::sync::Arc;

/// Attempts of a job that may fail before anything is sent.
const MAX_UNSENT_ATTEMPTS: u32 = 3;

/// The answer if an origin's response exceeds the size limit of this deployment.
fn too_large() -> Whole {
    let body =
        obj(vec![("problem", text("too large")), ("reason", text("the origin's answer is over the limit"))]);
    Whole::new(502, "application/json", body.stringify().unwrap_or_default().into_bytes())
}

impl Edge {
    /// Changes a job's stage and records how long the previous one took.
    pub(crate) fn set_stage(&mut self, now: Mono, id: u64, stage: Stage) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.metrics.note_wait(&job.stage, now - job.stage_since);
        job.stage = stage;
        job.stage_since = now;
    }

    /// Adds a new job to the queue of its service. Returns its number.
    pub(crate) fn enqueue_new_job(&mut self, now: Mono, job: Job, out: &mut Vec<Out>) -> u64 {
        let id = self.number();
        self.jobs.insert(id, job);
        self.enqueue_job(now, id, out);
        id
    }

    /// Starts an attempt at an origin. The job stays queued if there is no token, and is denied if
    /// there is no usable origin or lease.
    pub(crate) fn start_round(&mut self, now: Mono, id: u64, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (svc, send_deadline, req) = (job.svc.clone(), job.send_deadline, job.req.clone());
        let rendezvous_key = match job.kind {
            Kind::Read => primitives::hash(&job.req.path),
            Kind::Keyed => primitives::hash(&job.req.key),
            Kind::Plain | Kind::Once => id,
        };
        let already_tried =
            |(a, o, _): &(primitives::Addr, Origin, Mono)| job.tried_origins.contains(&(*a, o.birth));
        let mut candidates = if self.env.policy.load_balanced {
            self.load_balanced(now, &svc, id, job.kind == Kind::Read)
        } else {
            self.candidates(now, &svc, rendezvous_key)
        };
        candidates.sort_by_key(already_tried);
        let lease = self.leased_until();
        let Some((addr, origin, fresh_until)) = candidates.into_iter().next() else {
            return self.deny(now, id, Denied::NoOrigin, out);
        };
        if lease <= now || send_deadline <= now {
            return self.deny(now, id, Denied::NoLease, out);
        }
        let Some(token) = self.spend(now, &svc) else { return self.request_tokens_now(now, &svc, out) };
        let n = self.number();
        let req = self.add_revalidation_header(id, req);
        let round = Round {
            n,
            addr,
            svc,
            birth: origin.birth,
            tag: origin.tag,
            until: fresh_until.min(lease).min(token).min(send_deadline),
            answer_deadline: self.jobs.get(&id).map_or(now, |job| job.deadline),
            extra: self.jobs.get(&id).is_some_and(|job| job.sent_attempts + job.refused_attempts > 0),
            req,
        };
        self.rounds.insert(n, id);
        self.set_stage(now, id, Stage::Out(Box::new(round.clone()), token));
        let job = self.jobs.get_mut(&id).expect("looked up above");
        job.tried_origins.push((addr, origin.birth));
        self.count("rounds");
        out.push(Out::Fetch(round));
    }

    /// The executor's report on an attempt.
    pub(crate) fn on_attempt_done(&mut self, now: Mono, n: u64, outcome: FetchOutcome, out: &mut Vec<Out>) {
        let Some(id) = self.rounds.remove(&n) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Stage::Out(round, token) = &job.stage else { return };
        let (round, token, sent) = (round.clone(), *token, job.stage_since);
        match outcome {
            FetchOutcome::NotSent => self.on_not_sent(now, id, &round, token, out),
            FetchOutcome::Refused | FetchOutcome::WrongIncarnation => {
                self.on_refused(now, id, &round, out);
            }
            FetchOutcome::Lost => {
                job.sent_attempts += 1;
                let safe = job.safe();
                self.note_failure(now, round.addr, round.birth);
                self.retry_or(now, id, safe, Step::OutcomeUnknown(Span::secs(2)), out);
            }
            FetchOutcome::TooLarge => {
                // Another attempt would only return the same response.
                job.sent_attempts += 1;
                let (keyed, response) = (job.kind == Kind::Keyed, too_large());
                let step = Step::Serve(Arc::new(response.clone()), AnswerSource::Own, Mono(u64::MAX));
                if keyed {
                    self.finish_keyed(now, id, response, step, out);
                } else {
                    self.finish(now, id, step, out);
                }
            }
            FetchOutcome::Whole(response) => {
                job.sent_attempts += 1;
                self.on_response(now, id, (&round, sent), response, out);
            }
        }
    }

    /// Nothing of the attempt was sent: the job is queued again, for a limited number of times.
    fn on_not_sent(&mut self, now: Mono, id: u64, round: &Round, token: Mono, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.unsent_attempts += 1;
        let retry = job.unsent_attempts < MAX_UNSENT_ATTEMPTS;
        self.refund(now, &round.svc, token);
        self.note_failure(now, round.addr, round.birth);
        self.note_unreached(now, round.addr, round.birth);
        if retry {
            self.enqueue_job(now, id, out);
        } else {
            self.deny(now, id, Denied::NoOrigin, out);
        }
    }

    /// The origin did not run the request: the job is queued again if its attempts and the retry budget
    /// allow it.
    fn on_refused(&mut self, now: Mono, id: u64, round: &Round, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.refused_attempts += 1;
        let attempts_left = job.refused_attempts + job.sent_attempts < job.max_attempts;
        self.note_failure(now, round.addr, round.birth);
        if attempts_left && self.take_retry_token(now, &round.svc) {
            self.count("extra tries");
            self.enqueue_job(now, id, out);
        } else {
            self.deny(now, id, Denied::Refused, out);
        }
    }

    /// The origin answered an attempt that was begun at `sent`.
    fn on_response(
        &mut self,
        now: Mono,
        id: u64,
        (round, sent): (&Round, Mono),
        response: Whole,
        out: &mut Vec<Out>,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (kind, safe, invalidated) = (job.kind, job.safe(), job.invalidated);
        let invalidated = invalidated || self.purged_tags.is_purged(&response.heads, sent);
        self.note_latency(round.addr, round.birth, now - sent);
        let server_error = response.status >= 500;
        let step = Step::Serve(Arc::new(response.clone()), AnswerSource::Origin, Mono(u64::MAX));
        match kind {
            Kind::Read if invalidated => {
                self.retry_or(now, id, true, Step::OutcomeUnknown(Span::secs(1)), out);
            }
            _ if server_error && safe => {
                self.note_failure(now, round.addr, round.birth);
                if !self.retry(now, id, out) {
                    self.finish_server_error(now, id, response, out);
                }
            }
            Kind::Read => self.on_read_response(now, id, (round, sent), response, out),
            Kind::Plain | Kind::Once => self.finish(now, id, step, out),
            Kind::Keyed => self.finish_keyed(now, id, response, step, out),
        }
    }

    /// Makes another attempt if that does no harm and the retry budget allows it; otherwise ends
    /// the job with `fallback`.
    pub(crate) fn retry_or(&mut self, now: Mono, id: u64, safe: bool, fallback: Step, out: &mut Vec<Out>) {
        if !(safe && self.retry(now, id, out)) {
            self.finish(now, id, fallback, out);
        }
    }

    /// Makes another attempt at a job that may be executed twice, if the retry budget allows it.
    /// Returns whether it did.
    fn retry(&mut self, now: Mono, id: u64, out: &mut Vec<Out>) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let (svc, attempts_left) =
            (job.svc.clone(), job.sent_attempts + job.refused_attempts < job.max_attempts);
        let late = now >= job.deadline;
        if !attempts_left || late || !self.take_retry_token(now, &svc) {
            return false;
        }
        self.count("extra tries");
        self.jobs.entry(id).and_modify(|job| job.invalidated = false);
        match self.shared_fetch(id) {
            Some(fetch) => self.ask_source(now, fetch, Source::Ledger, out),
            None => self.enqueue_job(now, id, out),
        }
        true
    }
}
