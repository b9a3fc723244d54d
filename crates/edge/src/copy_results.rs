//! Answers of other processes to requests for a copy: the waiting callers are served, or another
//! source is asked.
use crate::answers::UNEXPECTED_ANSWER;
use crate::copies::Copy;
use crate::edge::Edge;
use crate::jobs::Caller;
use crate::read::DELIVERY_MARGIN;
use crate::shared_fetch::SharedFetchId;
use crate::sources::{CopyRequest, Source, MIN_DISK_CACHE_TTL};
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::sync::Arc;

/// How long after the request an answer may be used if its sender knows a different set of purges.
/// A purge that the sender lacked was then not yet acknowledged, or only just.
const PURGE_MISMATCH_TTL: Span = Span::secs(1);

/// A request that was answered, as far as the use of the answer depends on it.
struct AnsweredRequest {
    id: SharedFetchId,
    request: CopyRequest,
    /// It is the current request of its job rather than an earlier, overdue one.
    current: bool,
    /// A copy may be used: this edge has a lease, and the object was not purged meanwhile.
    usable: bool,
    object: Object,
    disk_cacheable: bool,
    /// The digest of the purges that the sender knows, if this edge knows others.
    other_purges: Option<u64>,
}

impl AnsweredRequest {
    /// Whether a copy with this time-to-live may be used. It counts from the time of the request.
    fn is_fresh(&self, now: Mono, left: Span) -> bool {
        self.usable && self.request.asked + left > now
    }

    /// Whether a copy of its sender may be used, given the purges that both know.
    fn is_current_enough(&self, now: Mono) -> bool {
        self.other_purges.is_none() || now - self.request.asked < PURGE_MISMATCH_TTL
    }

    /// Whether the copy in this reply expired on its way.
    fn expired_in_transit(&self, now: Mono, reply: &CopyReply) -> bool {
        let left = match reply {
            CopyReply::Got(copy) => copy.left,
            CopyReply::Same { left, .. } => *left,
            _ => return false,
        };
        self.usable && !self.is_fresh(now, left)
    }
}

impl Edge {
    /// An answer to a copy request: serves the waiting callers or turns to another source.
    pub(crate) fn on_copy_result(
        &mut self,
        now: Mono,
        (from, ask): (Addr, RequestId),
        reply: CopyReply,
        purges: u64,
        out: &mut Vec<Out>,
    ) {
        let Some(answered) = self.answered_request(now, from, ask, purges) else { return };
        let AnsweredRequest { id, request, current, .. } = answered;
        let expired_in_transit = answered.expired_in_transit(now, &reply);
        match reply {
            CopyReply::Got(copy) if self.purged_tags.is_purged(&copy.whole.heads, request.asked) => {
                self.count("purged on their way");
                if current {
                    self.ask_source(now, id, request.source, out);
                }
            }
            CopyReply::Got(copy) if answered.is_fresh(now, copy.left) && answered.is_current_enough(now) => {
                self.serve_received(now, answered, *copy, out);
            }
            CopyReply::Same { left, current_age } if answered.is_fresh(now, left) => {
                self.serve_renewed(now, answered, (left, current_age), out);
            }
            // The home's own copy has expired by now too; the home revalidates it when asked again.
            _ if expired_in_transit && answered.disk_cacheable && current => {
                self.count("lapsed on their way");
                self.ask_source(now, id, request.source, out);
            }
            CopyReply::Uncacheable => self.split_callers(now, id, None, out),
            CopyReply::Own(response) => {
                let step = Step::Serve(Arc::new(*response), AnswerSource::Own, Mono(u64::MAX));
                self.finish(now, id.job(), step, out);
            }
            CopyReply::TemporarilyUnavailable if current => self.ask_other_home(now, id, request, out),
            CopyReply::AtCeiling if current => self.on_home_at_ceiling(now, id, request, out),
            _ if current => self.ask_next(now, id, out),
            _ => (),
        }
    }

    /// The request that this answers; `None` if no job waits for it. The home answered, so it is slow at
    /// worst, not gone.
    fn answered_request(
        &mut self,
        now: Mono,
        from: Addr,
        ask: RequestId,
        purges: u64,
    ) -> Option<AnsweredRequest> {
        let id = self.own_request(ask)?;
        let asked = self.shared_fetch(id).zip(self.find_copy_request(id, from));
        let Some((id, (request, current))) = asked else {
            self.count(UNEXPECTED_ANSWER);
            return None;
        };
        self.note_answer_time(now, &request);
        self.unresponsive.remove(&from);
        // A ledger has checked the purge mark of its copy itself.
        let same_purges = request.source == Source::Ledger || purges == self.current_purge_digest();
        let job = self.jobs.get(&id.job())?;
        Some(AnsweredRequest {
            id,
            request,
            current,
            usable: !job.invalidated && self.leased(now),
            object: job.object(),
            disk_cacheable: job.row.ttl >= MIN_DISK_CACHE_TTL,
            other_purges: (!same_purges).then_some(purges),
        })
    }

    /// Serves a copy that another process sent, and keeps it if both know the same purges: a sender that
    /// knew others may have sent a copy that one of them covers.
    fn serve_received(
        &mut self,
        now: Mono,
        answered: AnsweredRequest,
        received: TransferredCopy,
        out: &mut Vec<Out>,
    ) {
        let AnsweredRequest { id, request, object, other_purges, .. } = answered;
        let from_ledger = request.source == Source::Ledger;
        self.count(if from_ledger { "filled from ledgers" } else { "filled from homes" });
        if let Some(route) = self.jobs.get(&id.job()).map(|job| job.req.lane.clone()) {
            self.body_sizes.note(&route, received.whole.size());
        }
        let storable = other_purges.is_none() && received.whole.status == 200;
        let copy = Copy {
            since: request.asked - received.current_age,
            until: (request.asked + received.left).min(self.leased_until()),
            public: received.public,
            non_home: !self.is_beyond_home_tier(request.source),
            whole: Arc::new(received.whole),
        };
        if storable {
            self.keep(now, object, copy.clone());
        }
        self.serve_copy(now, id, copy, other_purges, out);
    }

    /// Serves the copy that the sender confirmed, with the sender's time-to-live and age.
    fn serve_renewed(
        &mut self,
        now: Mono,
        answered: AnsweredRequest,
        (left, current_age): (Span, Span),
        out: &mut Vec<Out>,
    ) {
        let AnsweredRequest { id, request, current, object, other_purges, .. } = answered;
        let is_the_one_asked_about = |copy: &&Copy| copy.etag_hash() == request.held;
        let Some(cached) = self.copies.peek(&object).filter(is_the_one_asked_about).cloned() else {
            // The copy left or changed meanwhile: the whole response is needed after all.
            if current {
                self.ask_source(now, id, request.source, out);
            }
            return;
        };
        self.count("renewed from homes");
        let since = request.asked - current_age;
        let until = (request.asked + left).min(self.leased_until());
        let copy = Copy { since, until, ..cached };
        if other_purges.is_none() {
            self.copies.put(object, copy.clone());
        }
        self.serve_copy(now, id, copy, other_purges, out);
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
