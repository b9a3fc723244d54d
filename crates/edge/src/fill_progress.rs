//! Progress messages to edges that wait here for a fetch. Without them, a waiting edge could not
//! tell a home that died from one whose origin is slow.
use crate::edge::Edge;
use crate::jobs::{Caller, Waiting};
use control_state::*;
use primitives::{Mono, Span};

/// Callers that have waited at least this long receive progress messages.
const PROGRESS_INTERVAL: Span = Span::ms(400);

impl Edge {
    /// Tells waiting edges that the fetch is still in progress.
    pub(crate) fn send_fill_progress(&self, now: Mono, out: &mut Vec<Out>) {
        let long = |w: &&Waiting| now - w.since >= PROGRESS_INTERVAL;
        let waiting = self.jobs.values().flat_map(|job| &job.callers).filter(long);
        out.extend(waiting.filter_map(|w| match w.caller {
            Caller::Edge(asker, ask) => Some(Out::Send(asker, Msg::CopyPending(ask))),
            Caller::Local(..) => None,
        }));
    }
}
