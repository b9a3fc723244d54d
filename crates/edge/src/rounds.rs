//! Rounds: one try of a job at one origin.
use crate::edge::Edge;
use crate::jobs::*;
use crate::revalidation::ASK_IF;
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
    pub(crate) fn stage(&mut self, now: Mono, id: u64, s: Stage) {
        let Some(j) = self.jobs.get_mut(&id) else { return };
        self.metrics.note_wait(&j.stage, now - j.stage_since);
        j.stage = s;
        j.stage_since = now;
    }

    pub(crate) fn launch(&mut self, now: Mono, j: Job, out: &mut Vec<Out>) -> u64 {
        let id = self.number();
        self.jobs.insert(id, j);
        self.enqueue_job(now, id, out);
        id
    }

    /// Sends the executor to an origin, or leaves the job in line, or denies it.
    pub(crate) fn start_round(&mut self, now: Mono, id: u64, out: &mut Vec<Out>) {
        let Some(j) = self.jobs.get(&id) else { return };
        let (svc, leave, req) = (j.svc.clone(), j.send_deadline, j.req.clone());
        let on = match j.kind {
            Kind::Read => primitives::hash(&j.req.path),
            Kind::Keyed => primitives::hash(&j.req.key),
            Kind::Plain | Kind::Once => id,
        };
        let fresh_first = |(a, o, _): &(primitives::Addr, Origin, Mono)| j.tried.contains(&(*a, o.birth));
        let mut all = if self.env.policy.load_balanced {
            self.load_balanced(now, &svc, id, j.kind == Kind::Read)
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
            answer_deadline: self.jobs.get(&id).map_or(now, |j| j.by),
            extra: self.jobs.get(&id).is_some_and(|j| j.tries + j.refused > 0),
            req,
        };
        self.rounds.insert(n, id);
        self.stage(now, id, Stage::Out(Box::new(r.clone()), token));
        let j = self.jobs.get_mut(&id).expect("looked up above");
        j.tried.push((addr, o.birth));
        self.count("rounds");
        out.push(Out::Fetch(r));
    }

    /// An executor's report.
    pub(crate) fn done(&mut self, now: Mono, n: u64, f: FetchOutcome, out: &mut Vec<Out>) {
        let Some(id) = self.rounds.remove(&n) else { return };
        let Some(j) = self.jobs.get_mut(&id) else { return };
        let Stage::Out(r, token) = &j.stage else { return };
        let (r, token, sent) = (r.clone(), *token, j.stage_since);
        match f {
            FetchOutcome::NotSent => {
                j.unsent += 1;
                let again = j.unsent < 3;
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
                j.refused += 1;
                let more = j.refused + j.tries < j.attempts;
                self.note_failure(now, r.addr, r.birth);
                if more && self.take_retry_token(now, &r.svc) {
                    self.count("extra tries");
                    self.enqueue_job(now, id, out);
                } else {
                    self.deny(now, id, Denied::Refused, out);
                }
            }
            FetchOutcome::Lost => {
                j.tries += 1;
                let safe = j.safe();
                self.note_failure(now, r.addr, r.birth);
                self.retry_or(now, id, safe, Step::OutcomeUnknown(Span::secs(2)), out);
            }
            FetchOutcome::TooLarge => {
                // Asking again would only bring it once more.
                j.tries += 1;
                let (keyed, w) = (j.kind == Kind::Keyed, too_large());
                let s = Step::Serve(Arc::new(w.clone()), AnswerSource::Own, Mono(u64::MAX));
                if keyed {
                    self.ran(now, id, w, s, out);
                } else {
                    self.finish(now, id, s, out);
                }
            }
            FetchOutcome::Whole(w) => {
                j.tries += 1;
                let (kind, safe, spoiled) = (j.kind, j.safe(), j.spoiled);
                let spoiled = spoiled || self.purged_tags.took(&w.heads, sent);
                self.note_latency(r.addr, r.birth, now - sent);
                let failed = w.status >= 500;
                let s = Step::Serve(Arc::new(w.clone()), AnswerSource::Origin, Mono(u64::MAX));
                match kind {
                    Kind::Read if spoiled => {
                        self.retry_or(now, id, true, Step::OutcomeUnknown(Span::secs(1)), out);
                    }
                    _ if failed && safe => {
                        self.note_failure(now, r.addr, r.birth);
                        self.retry_or(now, id, true, s, out);
                    }
                    Kind::Read if w.status == 304 && r.req.heads.has(ASK_IF) => {
                        self.renewed(now, id, sent, &r, out)
                    }
                    Kind::Read => self.filled(now, id, sent, w, out),
                    Kind::Plain | Kind::Once => self.finish(now, id, s, out),
                    Kind::Keyed => self.ran(now, id, w, s, out),
                }
            }
        }
    }

    /// Another round if that does no harm and the budget has one, else `last`.
    pub(crate) fn retry_or(&mut self, now: Mono, id: u64, safe: bool, last: Step, out: &mut Vec<Out>) {
        let Some(j) = self.jobs.get_mut(&id) else { return };
        let (svc, few) = (j.svc.clone(), j.tries + j.refused < j.attempts);
        let late = now >= j.by;
        if safe && few && !late && self.take_retry_token(now, &svc) {
            self.count("extra tries");
            self.jobs.entry(id).and_modify(|j| j.spoiled = false);
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
