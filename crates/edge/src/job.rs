//! A request in hand: what it asks for, who waits for it, and how far it is.
use crate::claim::Claim;
use crate::sources::CopyRequest;
use control_state::*;
use primitives::{Addr, Birth, Mono, Token};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Who waits for a job's end.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    Local(Token, Arc<CallerRequest>),
    /// Another edge, and its name for the question.
    Edge(Addr, RequestId),
}

/// A caller, since when it waits, and until when: in line, and in all.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub caller: Caller,
    pub since: Mono,
    pub queue_deadline: Mono,
    pub deadline: Mono,
}

#[derive(Debug)]
pub(crate) enum Stage {
    /// Waits for somebody who may have a copy.
    Home(CopyRequest),
    /// Waits for the ledgers' words.
    Claim(BTreeMap<Addr, Claimed>),
    /// Waits in line for leave to press the service.
    Queued,
    /// A round is out; its number, where, until when it might have left.
    Out(Box<Round>, Mono),
}

#[derive(Debug)]
pub(crate) struct Job {
    pub req: CallerRequest,
    pub svc: Svc,
    /// As it was when the request came, whatever becomes of the lane.
    pub site: Site,
    pub row: Row,
    /// The lane's, not the row's.
    pub kind: Kind,
    pub callers: Vec<Waiting>,
    pub stage: Stage,
    pub stage_since: Mono,
    /// Rounds of which bytes may have reached an origin.
    pub sent_attempts: u32,
    /// Rounds that found no way out.
    pub unsent_attempts: u32,
    pub tried_origins: Vec<(Addr, Birth)>,
    /// A purge (or a lapse) came in between: what was fetched before is not used.
    pub invalidated: bool,
    /// Readable, but for its one caller alone: no copy is used or joined.
    pub unshared: bool,
    /// The whole is asked for, whatever copy there was.
    pub unconditional: bool,
    /// It is filled for others, as the home of that reach.
    pub home_reach: Option<Reach>,
    /// Whoever was asked for a copy and has kept silent so far.
    pub overdue: Vec<CopyRequest>,
    /// Keyed only: what was claimed of which ledgers.
    pub claim: Option<Claim>,
    /// Keyed only. Invariant: nothing leaves after this, however long we froze.
    pub send_deadline: Mono,
    /// Served in time until then.
    pub target_deadline: Mono,
    /// Given up after this: the latest of its callers'.
    pub deadline: Mono,
    /// Origins it may be sent to.
    pub max_attempts: u32,
    /// Rounds that origins say they did not run.
    pub refused_attempts: u32,
}

impl Job {
    pub fn object(&self) -> Object {
        Object { service: self.svc.clone(), site: self.site.clone(), path: self.req.path.clone() }
    }

    /// It is worked on for as long as any of its callers waits.
    pub fn join(&mut self, callers: &[Waiting]) {
        self.deadline = callers.iter().map(|c| c.deadline).fold(self.deadline, Mono::max);
        self.callers.extend(callers.iter().cloned());
    }

    /// Whether running it twice does no harm.
    pub fn safe(&self) -> bool {
        match self.kind {
            Kind::Read => true,
            // What the configuration calls repeatable is, whatever its method.
            Kind::Plain => self.req.host.is_some() || is_safe_method(&self.req.method),
            Kind::Once | Kind::Keyed => false,
        }
    }
}

pub(crate) fn is_safe_method(method: &str) -> bool {
    method == "GET" || method == "HEAD"
}
