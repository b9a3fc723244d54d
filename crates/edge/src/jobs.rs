//! Requests in hand, from the first look to the last word.
use crate::edge::Edge;
pub(crate) use crate::job::*;
use crate::read::DELIVERY_MARGIN;
use control_state::*;
use primitives::{Mono, Span, Token};
use std::sync::Arc;

/// Methods that act, so that running once matters.
const KEYED_METHODS: [&str; 4] = ["POST", "PUT", "PATCH", "DELETE"];
/// In time, where nobody says what is.
const DEFAULT_LATENCY_TARGET: Span = Span::secs(1);
pub(crate) const CLAIM_TIMEOUT: Span = Span::ms(400);

impl Edge {
    pub(crate) fn begin(&mut self, now: Mono, t: Token, req: CallerRequest, out: &mut Vec<Out>) {
        self.count("requests");
        self.dispatch(now, t, Arc::new(req), out);
    }

    pub(crate) fn dispatch(&mut self, now: Mono, t: Token, req: Arc<CallerRequest>, out: &mut Vec<Out>) {
        let caller = Caller::Local(t, req.clone());
        match self.admit(now, (*req).clone()) {
            Err(d) => self.answer_caller(now, &caller, Step::Deny(d, self.retry_after(d)), out),
            Ok(mut job) => {
                job.callers.push(Waiting::new(caller, now, job.by));
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

    /// A job for the request, or why it is denied.
    pub(crate) fn admit(&mut self, now: Mono, req: CallerRequest) -> Result<Job, Denied> {
        let require = |ok: bool, d: Denied| ok.then_some(()).ok_or(d);
        require(!self.drained(now), Denied::Leaving)?;
        require(self.leased(now), Denied::NoLease)?;
        require(self.jobs.len() < self.env.hands.1, Denied::TooMany)?;
        let found = |h: &String| self.table.paths.find(h, &req.path).cloned();
        let lane = req.host.as_ref().map_or(Some(req.lane.clone()), found).ok_or(Denied::NoLane)?;
        let req = CallerRequest { lane, ..req };
        let kind = self.table.kind(&req.lane).ok_or(Denied::NoLane)?;
        let entry = self.table.entries.get(&req.lane).cloned();
        require(kind != Kind::Read || is_safe_method(&req.method), Denied::BadMethod)?;
        require(kind != Kind::Keyed || KEYED_METHODS.contains(&req.method.as_str()), Denied::BadMethod)?;
        require(kind != Kind::Keyed || req.key.is_some(), Denied::NoKey)?;
        // One object, and one key, always meets the same service.
        let selector = match kind {
            Kind::Read => primitives::hash(&req.path),
            Kind::Keyed => primitives::hash(&req.key),
            Kind::Plain | Kind::Once => self.number().wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 16,
        };
        let (svc, row) = self.table.pick(&req.lane, selector).ok_or(Denied::NoOrigin)?;
        // One service that hangs leaves room for the others.
        let held = self.jobs.values().filter(|job| job.svc == svc).count();
        let most = entry.as_ref().map_or(self.env.patience, |e| e.timeout);
        let by = now + req.left.map_or(most, |l| l.min(most));
        require(held < self.env.hands.0, Denied::TooMany)?;
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
            unshared: false,
            unconditional: false,
            home_reach: None,
            overdue: vec![],
            claim: None,
            send_deadline: Mono(u64::MAX),
            due: now + entry.as_ref().map_or(DEFAULT_LATENCY_TARGET, |e| e.aim),
            by,
            attempts: entry.map_or(3, |e| e.attempts),
            refused: 0,
        })
    }

    pub(crate) fn answer_caller(&mut self, now: Mono, c: &Caller, s: Step, out: &mut Vec<Out>) {
        match (c, s) {
            (Caller::Local(t, _), s) => {
                let name = match &s {
                    Step::Serve(_, AnswerSource::Copy(_), _) => "served from copies",
                    Step::Serve(_, AnswerSource::Own, _) => "not to be passed on",
                    Step::Serve(_, AnswerSource::Record, _) => "served from records",
                    Step::Serve(..) => "served from origins",
                    Step::Deny(..) => "denied",
                    Step::OutcomeUnknown(_) => "in doubt",
                };
                self.count(name);
                if let Step::Deny(reason, _) = &s {
                    self.metrics.note_denial(*reason);
                }
                out.push(Out::Tell(*t, NodeReply::Step(s)));
            }
            (Caller::Edge(a, ask), s) => {
                let shown = |w: &Arc<Whole>, until, current_age| {
                    let whole = w.kept();
                    CopyReply::Got(Box::new(TransferredCopy {
                        whole,
                        left: until - now,
                        current_age,
                        public: false,
                    }))
                };
                let said = match s {
                    Step::Serve(w, AnswerSource::Own, _) => CopyReply::Own(Box::new(w.kept())),
                    // The time that an answer may be on its way out is no part of a copy's life.
                    Step::Serve(w, AnswerSource::Copy(current_age), until) => {
                        shown(&w, until - DELIVERY_MARGIN, current_age)
                    }
                    Step::Serve(w, _, until) => shown(&w, until, Span(0)),
                    Step::Deny(Denied::Ceiling, _) => CopyReply::AtCeiling,
                    _ => CopyReply::None,
                };
                out.push(self.copy_result(*a, *ask, said));
            }
        }
    }

    /// The job's last word, to all who wait for it.
    pub(crate) fn finish(&mut self, now: Mono, id: u64, s: Step, out: &mut Vec<Out>) {
        if let Some(job) = self.jobs.remove(&id) {
            self.metrics.note_wait(&job.stage, now - job.stage_since);
            if self.fills.get(&job.object()) == Some(&id) {
                self.fills.remove(&job.object());
            }
            if matches!(s, Step::Deny(..)) {
                self.release(&job, out);
            }
            job.callers.iter().for_each(|c| self.answer_caller(now, &c.caller, s.clone(), out));
        }
    }

    /// Denied means that nothing went out; after a try that did, it is doubt.
    pub(crate) fn deny(&mut self, now: Mono, id: u64, d: Denied, out: &mut Vec<Out>) {
        let s = self.denial(id, d);
        self.finish(now, id, s, out);
    }

    pub(crate) fn denial(&self, id: u64, d: Denied) -> Step {
        let sent = self.jobs.get(&id).is_some_and(|job| job.sent_attempts > 0);
        if sent {
            Step::OutcomeUnknown(self.retry_after(d))
        } else {
            Step::Deny(d, self.retry_after(d))
        }
    }
}
