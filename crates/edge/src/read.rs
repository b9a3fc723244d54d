//! Readable content: each object has a home edge that fills it once for all.
use crate::cacheability::cacheability;
use crate::copies::Copy;
use crate::edge::Edge;
use crate::jobs::*;
use crate::sources::{Source, MIN_DISK_CACHE_TTL};
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::sync::Arc;

/// A copy good when it was decided on may still leave for so long, half of what a
/// copy may outlive its life by.
pub(crate) const DELIVERY_MARGIN: Span = Span::secs(1);

/// What another edge asks for, beside the object.
pub(crate) struct CopyRequestOptions {
    pub heads: Headers,
    pub reach: Reach,
    /// The `ETag` of what it holds.
    pub held: Option<String>,
    pub patience: Patience,
}

impl Edge {
    pub(crate) fn read(&mut self, now: Mono, mut job: Job, out: &mut Vec<Out>) {
        let object = job.object();
        let personal = job.req.heads.personal();
        // A lifetime that was shortened since holds for what is kept already.
        let within_route_ttl = |c: &&Copy| now - c.since < job.row.ttl;
        if let Some(c) =
            self.copies.get(now, &object).filter(|c| c.public || !personal).filter(within_route_ttl).cloned()
        {
            let until = (c.until + DELIVERY_MARGIN).min(self.leased_until());
            let step = Step::Serve(c.whole.clone(), AnswerSource::Copy(now - c.since), until);
            return job.callers.iter().for_each(|c| self.answer_caller(now, &c.caller, step.clone(), out));
        }
        // What is this caller's own is asked of the origin, for this caller alone.
        let conditional = ["if-match", "if-unmodified-since"].iter().any(|n| job.req.heads.has(n));
        let bypasses_cache = conditional || !job.req.body.is_empty();
        if personal || bypasses_cache || self.unshared.get(&object).is_some_and(|t| *t > now) {
            job.unshared = true;
            self.enqueue_new_job(now, job, out);
            return;
        }
        job.req = CallerRequest { method: "GET".into(), heads: job.req.heads.for_shared_fetch(), ..job.req };
        if self.join_fill(&object, &job.callers, None) {
            return;
        }
        let id = self.number();
        self.jobs.insert(id, job);
        let source = self.first_source(now, &object, None);
        self.ask_source(now, id, source, out);
    }

    /// Fills are coalesced: later callers wait for the first one's. Who acts for a reach
    /// does not wait for another who does.
    fn join_fill(&mut self, object: &Object, callers: &[Waiting], home_reach: Option<Reach>) -> bool {
        let id = self.fills.get(object).copied();
        let asks_wider_home = |job: &Job| match (&job.stage, home_reach) {
            (Stage::Home(copy_request), Some(acting)) => copy_request.source > Source::Home(acting),
            _ => true,
        };
        let joinable =
            id.and_then(|id| self.jobs.get_mut(&id)).filter(|job| !job.invalidated && asks_wider_home(job));
        joinable.map(|job| job.join(callers)).is_some()
    }

    /// An answer to a question for a copy.
    pub(crate) fn copy_result(&mut self, to: Addr, ask: RequestId, reply: CopyReply) -> Out {
        Out::Send(to, Msg::CopyResult { ask, said: reply, purges: self.current_purge_digest() })
    }

    pub(crate) fn on_copy_query(
        &mut self,
        now: Mono,
        (from, ask): (Addr, RequestId),
        object: Object,
        options: CopyRequestOptions,
        out: &mut Vec<Out>,
    ) {
        let caller = Caller::Edge(from, ask);
        // Purges may not have reached an edge out of touch: others do not rely on it.
        if !self.in_touch(now) {
            return out.push(self.copy_result(from, ask, CopyReply::TemporarilyUnavailable));
        }
        // By the lane that leads to it now: the asker may go by an older configuration, or a newer.
        let route = self.table.route_of(&object.site, &object.path).unwrap_or_default();
        let rows = self.table.routes.get(&route).cloned().unwrap_or_default();
        let ttl = rows.iter().find(|(s, _)| *s == object.service).map_or(Span(0), |(_, r)| r.ttl);
        let cached = self.copies.get(now, &object).filter(|c| now - c.since < ttl).cloned();
        if let Some(cached) = cached {
            let until = cached.until.min(self.leased_until());
            let unchanged =
                options.held.is_some() && options.held.as_deref() == cached.whole.heads.get("etag");
            let reply = if unchanged {
                CopyReply::Same { left: until - now, current_age: now - cached.since }
            } else {
                CopyReply::Got(Box::new(cached.to_transfer(now, until)))
            };
            return out.push(self.copy_result(from, ask, reply));
        }
        if self.unshared.get(&object).is_some_and(|t| *t > now) {
            return out.push(self.copy_result(from, ask, CopyReply::Uncacheable));
        }
        out.push(Out::Send(from, Msg::CopyPending(ask)));
        let waiting = Waiting::of_edge(caller, now, options.patience);
        if self.leased(now) && self.join_fill(&object, std::slice::from_ref(&waiting), Some(options.reach)) {
            return;
        }
        let (method, body) = ("GET".into(), Arc::new(vec![]));
        let req = CallerRequest {
            method,
            lane: route,
            path: object.path.clone(),
            key: None,
            heads: options.heads.for_shared_fetch(),
            body,
            left: Some(options.patience.left),
            ..CallerRequest::default()
        };
        match self.admit(now, req).ok().filter(|job| job.object() == object && job.kind == Kind::Read) {
            Some(mut job) => {
                job.join(&[waiting]);
                job.home_reach = Some(options.reach);
                let id = self.number();
                self.jobs.insert(id, job);
                let source = self.first_source(now, &object, Some(options.reach));
                self.ask_source(now, id, source, out);
            }
            None => self.answer_caller(now, &waiting.caller, Step::Deny(Denied::NoOrigin, Span(0)), out),
        }
    }

    pub(crate) fn keep(&mut self, now: Mono, object: Object, copy: Copy) {
        if copy.until > now && copy.whole.size() <= self.env.copies {
            self.copies.put(object, copy);
        }
    }

    /// A whole answer for a fill: kept if it may be, then served.
    pub(crate) fn finish_fill(
        &mut self,
        now: Mono,
        id: u64,
        sent: Mono,
        response: Whole,
        out: &mut Vec<Out>,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        let verdict = cacheability(&job.req, &response, job.row.ttl);
        let (object, until, unshared) = (job.object(), sent + verdict.ttl, job.unshared);
        self.body_sizes.note(&job.req.lane, response.size());
        let shareable = !verdict.personal && (response.status != 200 || verdict.ttl > Span(0));
        // What one caller asked for alone may be less than the whole, or encoded for it.
        let complete = !unshared || (job.req.method == "GET" && !response.heads.has("content-encoding"));
        if complete && verdict.ttl > Span(0) && self.leased(now) {
            let since = sent - verdict.current_age;
            let whole = Arc::new(response.kept());
            self.keep(
                now,
                object.clone(),
                Copy { whole, public: verdict.public, since, until, non_home: false },
            );
            if until - now >= MIN_DISK_CACHE_TTL {
                if let Some(ledger) = self.disk_cache_ledger(now, &object) {
                    out.push(Out::Send(ledger, Msg::DiskCacheOffer(self.ask_id(id))));
                    self.disk_cache_offers.insert(id, object);
                }
            }
        }
        // An answer just fetched may be served even if it may not be kept.
        let until = until.max(now + Span::ms(1500)).min(self.leased_until());
        let step = Step::Serve(Arc::new(response), AnswerSource::Origin, until);
        if unshared || shareable {
            self.finish(now, id, step, out);
        } else {
            self.split_unshared_callers(now, id, Some(step), out);
        }
    }
}
