//! Matches answers from other processes to the requests they belong to. An answer that belongs to
//! no request is dropped and counted.
use crate::edge::Edge;
use crate::jobs::Stage;
use crate::sources::CopyRequest;
use control_state::*;
use primitives::{Addr, Mono};

/// Counts answers to a request of another incarnation or another node.
const OTHER_INCARNATION: &str = "answers to another life";
/// Counts answers that are not expected: repeated, too late, or from a process that was not asked.
pub(crate) const UNEXPECTED_ANSWER: &str = "answers nobody waits for";

impl Edge {
    /// The identifier under which a request of this incarnation is sent.
    pub(crate) fn request_id(&self, n: u64) -> RequestId {
        RequestId { birth: self.follow.env.birth, n }
    }

    /// The number of the request, if this incarnation sent it.
    pub(crate) fn own_request(&mut self, ask: RequestId) -> Option<u64> {
        if ask.birth != self.follow.env.birth {
            self.count(OTHER_INCARNATION);
            return None;
        }
        Some(ask.n)
    }

    /// The job of an attempt, if this incarnation of this node started it.
    pub(crate) fn own_round(&mut self, round: RoundId) -> Option<u64> {
        if round.node != self.follow.env.id {
            self.count(OTHER_INCARNATION);
            return None;
        }
        self.own_request(RequestId { birth: round.birth, n: round.n })
    }

    /// A ledger accepts an offered copy: sends it with its remaining time-to-live.
    pub(crate) fn on_disk_cache_want(
        &mut self,
        now: Mono,
        from: Addr,
        ask: RequestId,
        at: Mono,
        out: &mut Vec<Out>,
    ) {
        let Some(id) = self.own_request(ask) else { return };
        let Some(object) = self.disk_cache_offers.remove(&id) else { return self.count(UNEXPECTED_ANSWER) };
        let copy = self.copies.get(now, &object).filter(|_| self.leased(now));
        if let Some(copy) = copy {
            let mark = mark(&self.follow.items, &object);
            let shown = copy.to_transfer(now, copy.until);
            out.push(Out::Send(
                from,
                Msg::DiskCachePut(at, Box::new(DiskCachePut { object, shown, mark, sure: self.follow.sure })),
            ));
        }
    }

    /// The home is working on the request: extends its time-out.
    pub(crate) fn on_copy_pending(&mut self, now: Mono, from: Addr, ask: RequestId) {
        let Some(id) = self.own_request(ask) else { return };
        let Some((copy_request, _)) = self.find_copy_request(id, from) else {
            return self.count(UNEXPECTED_ANSWER);
        };
        self.note_answer_time(now, &copy_request);
        self.unresponsive.remove(&from);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let overdue =
            job.shared.iter_mut().flat_map(|fetch| &mut fetch.overdue).find(|request| request.to == from);
        let current = if let Stage::Home(copy_request) = &mut job.stage { Some(copy_request) } else { None };
        let matching = current.filter(|request| request.to == from).or(overdue);
        matching.into_iter().for_each(|request| request.last_progress_at = Some(now));
    }

    /// The request of a job that this answers, if the job still waits for it, and whether it is the
    /// current one rather than an earlier, overdue one.
    pub(crate) fn find_copy_request(&self, id: u64, from: Addr) -> Option<(CopyRequest, bool)> {
        let job = self.jobs.get(&id)?;
        let current = match job.stage {
            Stage::Home(copy_request) if copy_request.to == from => Some((copy_request, true)),
            _ => None,
        };
        let is_waiting = matches!(job.stage, Stage::Home(_) | Stage::Queued);
        let overdue = job.overdue().iter().find(|request| request.to == from).filter(|_| is_waiting);
        current.or(overdue.map(|request| (*request, false)))
    }
}
