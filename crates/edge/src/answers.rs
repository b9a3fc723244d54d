//! Matches answers from other processes to the requests they belong to. An answer that belongs to
//! no request is dropped and counted.
use crate::copies::Copy;
use crate::edge::Edge;
use crate::jobs::{Caller, Stage};
use crate::read::DELIVERY_MARGIN;
use crate::shared_fetch::SharedFetchId;
use crate::sources::{CopyRequest, Source, MIN_DISK_CACHE_TTL};
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::sync::Arc;

/// Counts answers to a request of another incarnation or another node.
const OTHER_INCARNATION: &str = "answers to another life";
/// Counts answers that are not expected: repeated, too late, or from a process that was not asked.
pub(crate) const UNEXPECTED_ANSWER: &str = "answers nobody waits for";

/// How long after the request an answer may be used if its sender knows a different set of purges.
/// A purge that the sender lacked was then not yet acknowledged, or only just.
const PURGE_MISMATCH_TTL: Span = Span::secs(1);

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
    fn find_copy_request(&self, id: u64, from: Addr) -> Option<(CopyRequest, bool)> {
        let job = self.jobs.get(&id)?;
        let current = match job.stage {
            Stage::Home(copy_request) if copy_request.to == from => Some((copy_request, true)),
            _ => None,
        };
        let is_waiting = matches!(job.stage, Stage::Home(_) | Stage::Queued);
        let overdue = job.overdue().iter().find(|request| request.to == from).filter(|_| is_waiting);
        current.or(overdue.map(|request| (*request, false)))
    }

    /// An answer to a copy request: serves the waiting callers or turns to another source.
    pub(crate) fn on_copy_result(
        &mut self,
        now: Mono,
        (from, ask): (Addr, RequestId),
        reply: CopyReply,
        purges: u64,
        out: &mut Vec<Out>,
    ) {
        let Some(id) = self.own_request(ask) else { return };
        let asked = self.shared_fetch(id).zip(self.find_copy_request(id, from));
        let Some((id, (copy_request, current))) = asked else {
            return self.count(UNEXPECTED_ANSWER);
        };
        self.note_answer_time(now, &copy_request);
        // The home is slow, not gone.
        self.unresponsive.remove(&from);
        let Some(job) = self.jobs.get(&id.job()) else { return };
        let (usable, object, route) =
            (!job.invalidated && self.leased(now), job.object(), job.req.lane.clone());
        let disk_cacheable = job.row.ttl >= MIN_DISK_CACHE_TTL;
        let from_ledger = copy_request.source == Source::Ledger;
        // A ledger has checked the purge mark of its copy itself.
        let same_purges = from_ledger || purges == self.current_purge_digest();
        let other_purges = (!same_purges).then_some(purges);
        // The remaining time-to-live counts from the time of the request.
        let is_fresh = |left: Span| usable && copy_request.asked + left > now;
        let expired_in_transit = match &reply {
            CopyReply::Got(c) => usable && !is_fresh(c.left),
            CopyReply::Same { left, .. } => usable && !is_fresh(*left),
            _ => false,
        };
        match reply {
            CopyReply::Got(c) if self.purged_tags.is_purged(&c.whole.heads, copy_request.asked) => {
                self.count("purged on their way");
                if current {
                    self.ask_source(now, id, copy_request.source, out);
                }
            }
            CopyReply::Got(c)
                if is_fresh(c.left) && (same_purges || now - copy_request.asked < PURGE_MISMATCH_TTL) =>
            {
                let (since, until) = (
                    copy_request.asked - c.current_age,
                    (copy_request.asked + c.left).min(self.leased_until()),
                );
                self.count(if from_ledger { "filled from ledgers" } else { "filled from homes" });
                // A sender that knew other purges may have sent a copy that one of them covers.
                let storable = same_purges && c.whole.status == 200;
                self.body_sizes.note(&route, c.whole.size());
                let non_home = !self.is_beyond_home_tier(copy_request.source);
                let copy = Copy { whole: Arc::new(c.whole), public: c.public, since, until, non_home };
                if storable {
                    self.keep(now, object, copy.clone());
                }
                self.serve_copy(now, id, copy, other_purges, out);
            }
            CopyReply::Same { left, current_age } if is_fresh(left) => {
                let is_the_one_asked_about = |c: &&Copy| c.etag_hash() == copy_request.held;
                match self.copies.peek(&object).filter(is_the_one_asked_about).cloned() {
                    Some(cached) => {
                        let (since, until) = (
                            copy_request.asked - current_age,
                            (copy_request.asked + left).min(self.leased_until()),
                        );
                        self.count("renewed from homes");
                        let copy = Copy { since, until, ..cached };
                        if same_purges {
                            self.copies.put(object, copy.clone());
                        }
                        self.serve_copy(now, id, copy, other_purges, out);
                    }
                    // The copy left or changed meanwhile: the whole response is needed after all.
                    None if current => self.ask_source(now, id, copy_request.source, out),
                    None => (),
                }
            }
            // The home's own copy has expired by now too; the home revalidates it when asked again.
            _ if expired_in_transit && disk_cacheable && current => {
                self.count("lapsed on their way");
                self.ask_source(now, id, copy_request.source, out);
            }
            CopyReply::Uncacheable => self.split_callers(now, id, None, out),
            CopyReply::Own(response) => {
                let step = Step::Serve(Arc::new(*response), AnswerSource::Own, Mono(u64::MAX));
                self.finish(now, id.job(), step, out);
            }
            CopyReply::TemporarilyUnavailable if current => self.ask_other_home(now, id, copy_request, out),
            CopyReply::AtCeiling if current => self.on_home_at_ceiling(now, id, copy_request, out),
            _ if current => self.ask_next(now, id, out),
            _ => (),
        }
    }

    /// The home's denial is final for callers that were waiting when it was asked. It is asked
    /// again for callers that came later and have more time.
    fn on_home_at_ceiling(
        &mut self,
        now: Mono,
        id: SharedFetchId,
        copy_request: CopyRequest,
        out: &mut Vec<Out>,
    ) {
        self.deny_callers(now, id.job(), |_, c| c.since <= copy_request.asked, out);
        if self.jobs.contains_key(&id.job()) {
            self.ask_source(now, id, copy_request.source, out);
        }
    }

    /// Whether only homes of some reach send requests to that source. An edge that is not a home
    /// keeps the copy as `non_home`.
    fn is_beyond_home_tier(&self, source: Source) -> bool {
        source > Source::Home(if self.env.policy.near { Reach::Zone } else { Reach::Deployment })
    }

    /// Serves a copy. `other_purges` is the digest of the purges that its source knows, if this edge
    /// knows others.
    fn serve_copy(
        &mut self,
        now: Mono,
        id: SharedFetchId,
        copy: Copy,
        other_purges: Option<u64>,
        out: &mut Vec<Out>,
    ) {
        if let Some(purges) = other_purges {
            self.relay_copy(now, id, &copy, purges, out);
        }
        let send_deadline = (copy.until + DELIVERY_MARGIN).min(self.leased_until());
        self.finish(
            now,
            id.job(),
            Step::Serve(copy.whole, AnswerSource::Copy(now - copy.since), send_deadline),
            out,
        );
    }

    /// Hands a copy to the edges that wait for it under its source's purges, not this edge's: this
    /// edge cannot tell whether a purge that only one of them knows covers the copy.
    fn relay_copy(&mut self, now: Mono, id: SharedFetchId, copy: &Copy, purges: u64, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get_mut(&id.job()) else { return };
        job.callers.retain(|waiting| {
            let Caller::Edge(to, ask) = waiting.caller else { return true };
            let transfer = TransferredCopy { public: false, ..copy.to_transfer(now, copy.until) };
            out.push(Out::Send(
                to,
                Msg::CopyResult { ask, said: CopyReply::Got(Box::new(transfer)), purges },
            ));
            false
        });
    }
}
