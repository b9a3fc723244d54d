//! Shared fetches: an object is fetched once for all callers that wait for it.
//!
//! Every other job works for the request of one caller, as that caller sent it, and its answer is
//! for that caller alone. Only a [`SharedFetchId`] can be entered in [`SharedFetches`], joined by
//! further callers, or asked of a home or a ledger, and only jobs that are shared fetches have one.
use crate::edge::Edge;
use crate::job::{Caller, Job, Stage, Waiting};
use crate::sources::CopyRequest;
use control_state::*;
use primitives::{Mono, Span, Token};
use std::collections::BTreeMap;

/// How long an object counts as one that may not be cached after such a response.
const UNSHARED_TTL: Span = Span::secs(10);

/// The job that is fetching each object.
pub(crate) type SharedFetches = BTreeMap<Object, SharedFetchId>;

/// The number of a job that is a shared fetch.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct SharedFetchId(u64);

impl SharedFetchId {
    /// The number of the job.
    pub(crate) fn job(self) -> u64 {
        self.0
    }
}

/// What only a shared fetch has.
#[derive(Debug)]
pub(crate) struct SharedFetch {
    /// The caller whose headers the fetch carries; `None` if another edge requested it.
    initiator: Option<Token>,
    /// The fetch is made for other edges, as the home of that reach.
    pub home_reach: Option<Reach>,
    /// The whole response is requested, even if there is a copy to revalidate.
    pub unconditional: bool,
    /// Earlier copy requests that have not been answered yet.
    pub overdue: Vec<CopyRequest>,
}

impl SharedFetch {
    fn is_initiator(&self, waiting: &Waiting) -> bool {
        match &waiting.caller {
            Caller::Local(token, _) => self.initiator == Some(*token),
            Caller::Edge(..) => false,
        }
    }
}

impl Edge {
    /// The job as a shared fetch, if it exists and is one.
    pub(crate) fn shared_fetch(&self, id: u64) -> Option<SharedFetchId> {
        self.jobs.get(&id).is_some_and(|job| job.shared.is_some()).then_some(SharedFetchId(id))
    }

    /// Fetches the job's object for all its callers. What its request says of one caller alone is
    /// left out.
    pub(crate) fn start_shared_fetch(
        &mut self,
        now: Mono,
        mut job: Job,
        home_reach: Option<Reach>,
        out: &mut Vec<Out>,
    ) {
        let initiator = job.callers.first().and_then(|waiting| match waiting.caller {
            Caller::Local(token, _) => Some(token),
            Caller::Edge(..) => None,
        });
        job.req = CallerRequest { method: "GET".into(), heads: job.req.heads.for_shared_fetch(), ..job.req };
        job.shared = Some(SharedFetch { initiator, home_reach, unconditional: false, overdue: vec![] });
        let (id, object) = (SharedFetchId(self.number()), job.object());
        self.jobs.insert(id.job(), job);
        let source = self.first_source(now, &object, home_reach);
        self.ask_source(now, id, source, out);
    }

    /// Later callers wait for the first one's fetch. An edge that acts as a home of some reach does
    /// not wait for another one that does.
    pub(crate) fn join_shared_fetch(
        &mut self,
        object: &Object,
        callers: &[Waiting],
        home_reach: Option<Reach>,
    ) -> bool {
        let id = self.shared_fetches.get(object).copied();
        let asks_wider_home = |job: &Job| match (&job.stage, home_reach) {
            (Stage::Home(copy_request), Some(acting)) => {
                copy_request.source > crate::sources::Source::Home(acting)
            }
            _ => true,
        };
        let joinable = id
            .and_then(|id| self.jobs.get_mut(&id.job()))
            .filter(|job| !job.invalidated && asks_wider_home(job));
        joinable.map(|job| job.join(callers)).is_some()
    }

    /// The job has ended: no caller can join it any more.
    pub(crate) fn leave_shared_fetches(&mut self, id: u64, job: &Job) {
        let object = job.object();
        if self.shared_fetches.get(&object) == Some(&SharedFetchId(id)) {
            self.shared_fetches.remove(&object);
        }
    }

    /// The response must not be shared. Only the caller whose headers the fetch carried gets it;
    /// the requests of all others go to the origin one by one.
    pub(crate) fn split_callers(
        &mut self,
        now: Mono,
        id: SharedFetchId,
        answer: Option<Step>,
        out: &mut Vec<Out>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job()) else { return };
        let (callers, object) = (std::mem::take(&mut job.callers), job.object());
        let is_initiator = |waiting: &Waiting| {
            answer.is_some() && job.shared.as_ref().is_some_and(|fetch| fetch.is_initiator(waiting))
        };
        let (initiators, rest): (Vec<Waiting>, Vec<Waiting>) = callers.into_iter().partition(is_initiator);
        job.callers = initiators;
        self.count("not for sharing");
        self.unshared.insert(object, now + UNSHARED_TTL);
        let step = answer.unwrap_or(Step::OutcomeUnknown(Span::secs(1)));
        self.finish(now, id.job(), step, out);
        for waiting in rest {
            match waiting.caller {
                Caller::Edge(addr, ask) => {
                    out.push(self.copy_result(addr, ask, CopyReply::Uncacheable));
                }
                Caller::Local(token, req) => self.dispatch(now, token, req, out),
            }
        }
    }
}
