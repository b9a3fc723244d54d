//! The readiness report of an edge.
use crate::edge::Edge;
use control_state::*;
use primitives::Mono;

impl Edge {
    /// Whether the edge is ready to serve, why it is not, and its counters.
    pub(crate) fn health(&self, now: Mono) -> Health {
        let (leaving, drained) = (self.leaving_since.is_some(), self.drained(now));
        // An edge that serves while out of touch does so only for callers that cannot go elsewhere.
        let has_quorum = self.in_touch(now);
        let why = match (drained, leaving, has_quorum) {
            (true, ..) => "draining",
            (_, true, _) => "leaving: still accepts requests for a short time",
            (.., false) => "no configuration lease",
            _ => "",
        };
        let mut counts: Vec<_> = self.counters.iter().map(|(k, v)| (*k, *v)).collect();
        counts.extend([
            ("copies", self.copies.len() as u64),
            ("copies bytes", self.copies.bytes() as u64),
            ("items", self.follow.items.len() as u64),
            ("outcomes on their way", self.outcome_deliveries.len() as u64),
            ("forwarded calls", self.forwarded_calls.open() as u64),
        ]);
        let in_hand = (self.jobs.len() + self.outcome_deliveries.len()) as u64;
        Health { ready: why.is_empty(), why, in_hand, accepting_requests: leaving && !drained, counts }
    }
}
