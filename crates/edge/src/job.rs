//! An in-flight request: what is requested, which callers wait for it, and its progress.
use crate::claim::Claim;
use crate::shared_fetch::SharedFetch;
use crate::sources::CopyRequest;
use control_state::*;
use primitives::{Addr, Birth, Mono, Token};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A caller that waits for a job.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    Local(Token, Arc<CallerRequest>),
    /// Another edge, and its identifier of the request.
    Edge(Addr, RequestId),
}

/// A waiting caller: since when it waits, until when it may be queued, and its deadline.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub caller: Caller,
    pub since: Mono,
    pub queue_deadline: Mono,
    pub deadline: Mono,
}

/// What a job is waiting for.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Waits for another process that may have a copy.
    Home(CopyRequest),
    /// Waits for the votes of the ledgers.
    Claim(BTreeMap<Addr, Claimed>),
    /// Queued for a token of the service.
    Queued,
    /// An attempt is in progress, with the time until which its token was valid.
    Out(Box<Round>, Mono),
}

/// A request being processed, with all callers that wait for its result.
#[derive(Debug)]
pub(crate) struct Job {
    pub req: CallerRequest,
    pub svc: Svc,
    /// As of the time of the request, whatever happens to the route afterwards.
    pub site: Site,
    pub row: Row,
    /// The kind of the route, not of the row.
    pub kind: Kind,
    pub callers: Vec<Waiting>,
    pub stage: Stage,
    pub stage_since: Mono,
    /// Attempts of which bytes may have reached an origin.
    pub sent_attempts: u32,
    /// Attempts that could not be sent.
    pub unsent_attempts: u32,
    pub tried_origins: Vec<(Addr, Birth)>,
    /// A purge or an expired lease came in between: what was fetched before must not be used.
    pub invalidated: bool,
    /// Set for the fetch of an object for all callers that wait for it. Otherwise the job is the
    /// request of its single caller.
    pub shared: Option<SharedFetch>,
    /// Keyed requests only: the claim of the key.
    pub claim: Option<Claim>,
    /// Keyed requests only. Invariant: nothing is sent after this, however long the process was
    /// suspended.
    pub send_deadline: Mono,
    /// Answered in time if answered before this.
    pub target_deadline: Mono,
    /// The job is denied after this: the latest deadline of its callers.
    pub deadline: Mono,
    /// Limit on attempts at origins.
    pub max_attempts: u32,
    /// Attempts that origins report not to have executed.
    pub refused_attempts: u32,
}

impl Job {
    /// The cache key of the requested content.
    pub fn object(&self) -> Object {
        Object { service: self.svc.clone(), site: self.site.clone(), path: self.req.path.clone() }
    }

    /// Adds callers. The job continues for as long as any of them waits.
    pub fn join(&mut self, callers: &[Waiting]) {
        self.deadline = callers.iter().map(|c| c.deadline).fold(self.deadline, Mono::max);
        self.callers.extend(callers.iter().cloned());
    }

    /// Earlier copy requests that have not been answered yet.
    pub fn overdue(&self) -> &[CopyRequest] {
        self.shared.as_ref().map_or(&[], |fetch| &fetch.overdue)
    }

    /// Whether executing the request twice does no harm.
    pub fn safe(&self) -> bool {
        match self.kind {
            Kind::Read => true,
            // Requests that the configuration declares repeatable are, whatever their method.
            Kind::Plain => self.req.host.is_some() || is_safe_method(&self.req.method),
            Kind::Once | Kind::Keyed => false,
        }
    }
}

pub(crate) fn is_safe_method(method: &str) -> bool {
    method == "GET" || method == "HEAD"
}
