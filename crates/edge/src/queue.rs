//! The line for a service at its ceiling: who waits, in which order, and who is told at once
//! that it cannot be served in the time that it has.
//!
//! A burst that is over soon leaves all time to be served, late if need be; where more comes all
//! the time than the ceiling gives, those are served that can still be served in time.
use crate::edge::Edge;
use crate::jobs::*;
use control_state::*;
use primitives::{Mono, Span};
use std::collections::BTreeMap;

/// A request waits in line for at most this part of the time that it has, in hundredths: it is
/// told before half of its time is over.
const MAX_QUEUE_TIME_PERCENT: u64 = 45;
const MICROS_PER_SECOND: f64 = 1e6;

/// Where a request stands in line: the more urgent first, of them those that can still be served
/// in time, and of them who has waited longer.
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

    fn queue_position(&self, now: Mono) -> QueuePosition {
        QueuePosition { rank: self.row.rank, late: now >= self.target_deadline, since: self.stage_since }
    }

    /// Until when a caller of it waits in line. What was sent once may wait again.
    pub(crate) fn queue_deadline(&self, caller: &Waiting) -> Mono {
        if self.sent_attempts == 0 {
            caller.queue_deadline
        } else {
            queue_deadline_for(self.stage_since, caller.deadline)
        }
    }

    /// The same of its most patient caller.
    fn latest_queue_deadline(&self) -> Mono {
        self.callers.iter().map(|c| self.queue_deadline(c)).fold(self.stage_since, Mono::max)
    }

    /// How long its callers wait yet.
    pub(crate) fn remaining_patience(&self, now: Mono) -> Patience {
        Patience { in_line: self.latest_queue_deadline() - now, left: self.deadline - now }
    }
}

fn queue_deadline_for(since: Mono, deadline: Mono) -> Mono {
    since + Span((deadline - since).0 * MAX_QUEUE_TIME_PERCENT / 100)
}

impl Waiting {
    /// Of this edge's own.
    pub(crate) fn new(caller: Caller, since: Mono, deadline: Mono) -> Waiting {
        Waiting { caller, since, queue_deadline: queue_deadline_for(since, deadline), deadline }
    }

    /// Of another edge's, as it said.
    pub(crate) fn of_edge(caller: Caller, since: Mono, patience: Patience) -> Waiting {
        Waiting { caller, since, queue_deadline: since + patience.in_line, deadline: since + patience.left }
    }
}

impl Edge {
    /// Into the line for the service; out of it at once if there is leave.
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
            // Not even all that this edge may get could serve it in time: it is told so now.
            self.deny(now, id, Denied::Ceiling, out);
        }
    }

    /// Whether anybody here has had to wait for leave to ask that service.
    pub(crate) fn has_queued_jobs(&self, now: Mono, svc: &Svc) -> bool {
        self.jobs.values().any(|job| job.is_queued() && job.svc == *svc && job.stage_since < now)
    }

    /// Lets the lines move, each until somebody in it has to wait.
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

    /// Those who wait for each service, in order.
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

    /// How long it takes at least until so many of the line have gone.
    fn min_queue_time(&self, svc: &Svc, ahead: usize) -> Span {
        let Some(share) = self.table.shares.get(svc) else { return Span(0) };
        let max_rate = self.table.own_rate(self.follow.env.id, share) + share.lent;
        Span((ahead as f64 / max_rate * MICROS_PER_SECOND) as u64)
    }
}
