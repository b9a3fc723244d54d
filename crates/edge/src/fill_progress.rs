//! Edges that wait here for a fill hear again and again that this one is at it: without that they
//! could not tell a home that died from one whose origin is slow.
use crate::edge::Edge;
use crate::jobs::{Caller, Waiting};
use control_state::*;
use primitives::{Mono, Span};

/// Who has waited for so long is told again.
const PROGRESS_INTERVAL: Span = Span::ms(400);

impl Edge {
    /// Tells edges that wait for a fill that it is being worked on.
    pub(crate) fn send_fill_progress(&self, now: Mono, out: &mut Vec<Out>) {
        let long = |w: &&Waiting| now - w.since >= PROGRESS_INTERVAL;
        let waiting = self.jobs.values().flat_map(|job| &job.callers).filter(long);
        out.extend(waiting.filter_map(|w| match w.caller {
            Caller::Edge(asker, ask) => Some(Out::Send(asker, Msg::CopyPending(ask))),
            Caller::Local(..) => None,
        }));
    }
}
