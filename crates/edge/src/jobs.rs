//! In-flight requests, from admission to the final answer.
use crate::edge::Edge;
pub(crate) use crate::job::*;
use crate::read::DELIVERY_MARGIN;
use control_state::*;
use primitives::{Mono, Span, Token};
use std::sync::Arc;

/// Methods that change state, for which executing a request only once matters.
const KEYED_METHODS: [&str; 4] = ["POST", "PUT", "PATCH", "DELETE"];
/// Answers within this time are in time, where the configuration sets no target.
const DEFAULT_LATENCY_TARGET: Span = Span::secs(1);
/// How long the ledgers may take to vote on a claim before the votes are counted.
pub(crate) const CLAIM_TIMEOUT: Span = Span::ms(400);

impl Edge {
    /// A new request from a caller of this edge.
    pub(crate) fn begin(&mut self, now: Mono, token: Token, req: CallerRequest, out: &mut Vec<Out>) {
        self.count("requests");
        self.dispatch(now, token, Arc::new(req), out);
    }

    /// Admits the request and starts its job, or denies it.
    pub(crate) fn dispatch(&mut self, now: Mono, token: Token, req: Arc<CallerRequest>, out: &mut Vec<Out>) {
        let caller = Caller::Local(token, req.clone());
        match self.admit(now, (*req).clone()) {
            Err(reason) => {
                self.answer_caller(now, &caller, Step::Deny(reason, self.retry_after(reason)), out)
            }
            Ok(mut job) => {
                job.callers.push(Waiting::new(caller, now, job.deadline));
                match job.kind {
                    Kind::Read => self.read(now, job, out),
                    Kind::Plain | Kind::Once => {
                        self.enqueue_new_job(now, job, out);
                    }
                    Kind::Keyed => self.claim(now, job, out),
                }
            }
        }
    }

    /// Creates a job for the request, or returns why it is denied.
    pub(crate) fn admit(&mut self, now: Mono, req: CallerRequest) -> Result<Job, Denied> {
        let require = |ok: bool, reason: Denied| ok.then_some(()).ok_or(reason);
        require(!self.drained(now), Denied::Leaving)?;
        require(self.leased(now), Denied::NoLease)?;
        require(self.jobs.len() < self.env.hands.1, Denied::TooMany)?;
        self.require_memory()?;
        let find_route = |host: &String| self.table.paths.find(host, &req.path).cloned();
        let lane = req.host.as_ref().map_or(Some(req.lane.clone()), find_route).ok_or(Denied::NoLane)?;
        let req = CallerRequest { lane, ..req };
        let kind = self.table.kind(&req.lane).ok_or(Denied::NoLane)?;
        let entry = self.table.entries.get(&req.lane).cloned();
        require(kind != Kind::Read || is_safe_method(&req.method), Denied::BadMethod)?;
        require(kind != Kind::Keyed || KEYED_METHODS.contains(&req.method.as_str()), Denied::BadMethod)?;
        require(kind != Kind::Keyed || req.key.is_some(), Denied::NoKey)?;
        // The same object, and the same key, always goes to the same service.
        let selector = match kind {
            Kind::Read => primitives::hash(&req.path),
            Kind::Keyed => primitives::hash(&req.key),
            Kind::Plain | Kind::Once => self.number().wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 16,
        };
        let (svc, row) = self.table.pick(&req.lane, selector).ok_or(Denied::NoOrigin)?;
        // A service that hangs must not take the capacity of the others.
        let in_flight = self.jobs.values().filter(|job| job.svc == svc).count();
        let max_wait = entry.as_ref().map_or(self.env.patience, |e| e.timeout);
        let deadline = now + req.left.map_or(max_wait, |left| left.min(max_wait));
        require(in_flight < self.env.hands.0, Denied::TooMany)?;
        Ok(Job {
            site: self.table.site(&req.lane),
            req,
            svc,
            row,
            kind,
            callers: vec![],
            stage: Stage::Queued,
            stage_since: now,
            sent_attempts: 0,
            unsent_attempts: 0,
            tried_origins: vec![],
            invalidated: false,
            shared: None,
            claim: None,
            send_deadline: Mono(u64::MAX),
            target_deadline: now + entry.as_ref().map_or(DEFAULT_LATENCY_TARGET, |e| e.aim),
            deadline,
            max_attempts: entry.map_or(3, |e| e.attempts),
            refused_attempts: 0,
        })
    }

    /// Sends a caller the result of its job.
    pub(crate) fn answer_caller(&mut self, now: Mono, caller: &Caller, step: Step, out: &mut Vec<Out>) {
        match (caller, step) {
            (Caller::Local(token, _), step) => {
                let counter = match &step {
                    Step::Serve(_, AnswerSource::Copy(_), _) => "served from copies",
                    Step::Serve(_, AnswerSource::Own, _) => "not to be passed on",
                    Step::Serve(_, AnswerSource::Record, _) => "served from records",
                    Step::Serve(..) => "served from origins",
                    Step::Deny(..) => "denied",
                    Step::OutcomeUnknown(_) => "in doubt",
                };
                self.count(counter);
                if let Step::Deny(reason, _) = &step {
                    self.metrics.note_denial(*reason);
                }
                out.push(Out::Tell(*token, NodeReply::Step(step)));
            }
            (Caller::Edge(addr, ask), step) => {
                let transferred = |response: &Arc<Whole>, until, current_age| {
                    let whole = response.kept();
                    CopyReply::Got(Box::new(TransferredCopy {
                        whole,
                        left: until - now,
                        current_age,
                        public: false,
                    }))
                };
                let reply = match step {
                    Step::Serve(response, AnswerSource::Own, _) => CopyReply::Own(Box::new(response.kept())),
                    // The time allowed for delivery is not part of a copy's time-to-live.
                    Step::Serve(response, AnswerSource::Copy(current_age), until) => {
                        transferred(&response, until - DELIVERY_MARGIN, current_age)
                    }
                    Step::Serve(response, _, until) => transferred(&response, until, Span(0)),
                    Step::Deny(Denied::Ceiling, _) => CopyReply::AtCeiling,
                    _ => CopyReply::None,
                };
                out.push(self.copy_result(*addr, *ask, reply));
            }
        }
    }

    /// Ends the job and answers all its callers.
    pub(crate) fn finish(&mut self, now: Mono, id: u64, step: Step, out: &mut Vec<Out>) {
        if let Some(job) = self.jobs.remove(&id) {
            self.metrics.note_wait(&job.stage, now - job.stage_since);
            self.leave_shared_fetches(id, &job);
            if matches!(step, Step::Deny(..)) {
                self.release(&job, out);
            }
            job.callers.iter().for_each(|c| self.answer_caller(now, &c.caller, step.clone(), out));
        }
    }

    /// Denies the request if nothing was sent. After an attempt that may have reached an origin the
    /// outcome is unknown.
    pub(crate) fn deny(&mut self, now: Mono, id: u64, reason: Denied, out: &mut Vec<Out>) {
        let step = self.denial(id, reason);
        self.finish(now, id, step, out);
    }

    /// The answer of a denied job, see `deny`.
    pub(crate) fn denial(&self, id: u64, reason: Denied) -> Step {
        let sent = self.jobs.get(&id).is_some_and(|job| job.sent_attempts > 0);
        if sent {
            Step::OutcomeUnknown(self.retry_after(reason))
        } else {
            Step::Deny(reason, self.retry_after(reason))
        }
    }
}
