//! Callers that close their connections before they are answered: nothing more is done for them,
//! as far as stopping does no harm.
use crate::edge::Edge;
use crate::jobs::*;
use control_state::*;
use primitives::{Mono, Token};

impl Edge {
    /// Drops the caller. A job that nobody waits for any more ends, unless it must not be
    /// interrupted or its result is of use to later callers.
    pub(crate) fn on_caller_gone(&mut self, now: Mono, token: Token, out: &mut Vec<Out>) {
        let is_gone = |waiting: &Waiting| matches!(waiting.caller, Caller::Local(local, _) if local == token);
        let found = self.jobs.iter().find(|(_, job)| job.callers.iter().any(is_gone));
        let Some((id, job)) = found.map(|(id, job)| (*id, job)) else { return };
        if !job.is_interruptible() {
            return;
        }
        self.count("callers gone");
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.callers.retain(|waiting| !is_gone(waiting));
        out.push(Out::Tell(token, NodeReply::Unavailable("its caller has left")));
        if job.callers.is_empty() {
            self.abandon(now, id, out);
        }
    }

    /// Ends a job that nobody waits for, and its attempt if there is one.
    fn abandon(&mut self, now: Mono, id: u64, out: &mut Vec<Out>) {
        let attempt = match self.jobs.get(&id).map(|job| &job.stage) {
            Some(Stage::Out(round, _)) => Some(round.n),
            _ => None,
        };
        if let Some(n) = attempt {
            self.rounds.remove(&n);
            out.push(Out::Abandon(n));
        }
        // Without callers nobody gets this step.
        self.finish(now, id, Step::OutcomeUnknown(primitives::Span(0)), out);
    }
}

impl Job {
    /// Whether it may end when all its callers have left. The key of a keyed request stays with its
    /// round, and its outcome is recorded for the next attempt. What is being fetched from an
    /// origin for all callers is cached. What was sent to an origin and must run once at most is not
    /// broken off.
    fn is_interruptible(&self) -> bool {
        let sent = matches!(self.stage, Stage::Out(..));
        match self.kind {
            Kind::Keyed => false,
            Kind::Once => !sent,
            Kind::Read if self.shared.is_some() => !sent,
            Kind::Read | Kind::Plain => !sent || self.safe(),
        }
    }
}
