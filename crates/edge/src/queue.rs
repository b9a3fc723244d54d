//! Queues for services at their rate ceiling: the order of the requests, and which requests are
//! denied at once because they cannot be served in time.
//!
//! In a short burst all requests are served, late if necessary. Under sustained overload those
//! requests are served that can still be answered in time.
use crate::edge::Edge;
use crate::jobs::*;
use control_state::*;
use primitives::{Mono, Span};
use std::collections::BTreeMap;

/// Share of its time, in percent, that a request may spend in the queue: it is denied before half
/// of its time has passed.
const MAX_QUEUE_TIME_PERCENT: u64 = 45;
const MICROS_PER_SECOND: f64 = 1e6;

/// Position of a request in the queue: by rank, then those that can still be served in time, then
/// by waiting time.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    rank: u8,
    late: bool,
    since: Mono,
}
impl Job {
    pub(crate) fn is_queued(&self) -> bool {
        matches!(self.stage, Stage::Queued)
    }

    /// The job's position in its queue.
    fn queue_position(&self, now: Mono) -> QueuePosition {
        QueuePosition { rank: self.row.rank, late: now >= self.target_deadline, since: self.stage_since }
    }

    /// Until when a caller of this job may be queued. A request that was sent once may be queued
    /// again.
    pub(crate) fn queue_deadline(&self, caller: &Waiting) -> Mono {
        if self.sent_attempts == 0 {
            caller.queue_deadline
        } else {
            queue_deadline_for(self.stage_since, caller.deadline)
        }
    }

    /// The same for the caller that may wait longest.
    fn latest_queue_deadline(&self) -> Mono {
        self.callers.iter().map(|c| self.queue_deadline(c)).fold(self.stage_since, Mono::max)
    }

    /// How long its callers will still wait.
    pub(crate) fn remaining_patience(&self, now: Mono) -> Patience {
        Patience { in_line: self.latest_queue_deadline() - now, left: self.deadline - now }
    }
}

/// Until when a request may be queued that has the time from `since` to `deadline`.
fn queue_deadline_for(since: Mono, deadline: Mono) -> Mono {
    since + Span((deadline - since).0 * MAX_QUEUE_TIME_PERCENT / 100)
}

impl Waiting {
    /// A caller of this edge.
    pub(crate) fn new(caller: Caller, since: Mono, deadline: Mono) -> Waiting {
        Waiting { caller, since, queue_deadline: queue_deadline_for(since, deadline), deadline }
    }

    /// Another edge, with the time limits that it stated.
    pub(crate) fn of_edge(caller: Caller, since: Mono, patience: Patience) -> Waiting {
        Waiting { caller, since, queue_deadline: since + patience.in_line, deadline: since + patience.left }
    }
}

impl Edge {
    /// Adds the job to the service's queue, and starts it at once if a token is available.
    pub(crate) fn enqueue_job(&mut self, now: Mono, id: u64, out: &mut Vec<Out>) {
        self.set_stage(now, id, Stage::Queued);
        let Some(job) = self.jobs.get(&id) else { return };
        let (svc, queue_position, first_attempt) =
            (job.svc.clone(), job.queue_position(now), job.sent_attempts == 0 && job.unsent_attempts == 0);
        let max_wait = job.latest_queue_deadline() - now;
        if first_attempt {
            self.note_first_attempt(now, &svc);
        }
        let is_ahead = |other: &Job| {
            other.is_queued() && other.svc == svc && other.queue_position(now) <= queue_position
        };
        let ahead = self.jobs.iter().filter(|(other, job)| **other != id && is_ahead(job)).count();
        if ahead == 0 {
            self.start_round(now, id, out);
        } else if self.min_queue_time(&svc, ahead) > max_wait {
            // Even at the highest rate this edge may get, it could not be served in time: it is
            // denied now.
            self.deny(now, id, Denied::Ceiling, out);
        }
    }

    /// Whether any request here has had to wait for a token of that service.
    pub(crate) fn has_queued_jobs(&self, now: Mono, svc: &Svc) -> bool {
        self.jobs.values().any(|job| job.is_queued() && job.svc == *svc && job.stage_since < now)
    }

    /// Starts queued jobs in order; each queue stops at the first job that has to wait.
    pub(crate) fn start_queued_jobs(&mut self, now: Mono, out: &mut Vec<Out>) {
        for queue in self.queues(now) {
            for id in queue {
                self.start_round(now, id, out);
                if self.jobs.get(&id).is_some_and(Job::is_queued) {
                    break;
                }
            }
        }
    }

    /// Queued jobs of each service, in order.
    fn queues(&self, now: Mono) -> Vec<Vec<u64>> {
        let mut queues: BTreeMap<&Svc, Vec<(QueuePosition, u64)>> = BTreeMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.is_queued()) {
            queues.entry(&job.svc).or_default().push((job.queue_position(now), *id));
        }
        let sorted_ids = |mut queue: Vec<(QueuePosition, u64)>| {
            queue.sort_unstable();
            queue.into_iter().map(|(_, id)| id).collect()
        };
        queues.into_values().map(sorted_ids).collect()
    }

    /// Minimum time until `ahead` requests of the queue have been started.
    fn min_queue_time(&self, svc: &Svc, ahead: usize) -> Span {
        let Some(share) = self.table.shares.get(svc) else { return Span(0) };
        let max_rate = self.table.own_rate(self.follow.env.id, share) + share.lent;
        Span((ahead as f64 / max_rate * MICROS_PER_SECOND) as u64)
    }
}
