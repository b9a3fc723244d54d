//! Reads of content that may be cached: each object has a home edge that fetches it once for all.
use crate::cacheability::cacheability;
use crate::copies::Copy;
use crate::edge::Edge;
use crate::jobs::*;
use crate::sources::{Source, MIN_DISK_CACHE_TTL};
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::sync::Arc;

/// A copy that was valid when it was chosen may still be sent for this long. This is half of the
/// time by which a copy may exceed its time-to-live.
pub(crate) const DELIVERY_MARGIN: Span = Span::secs(1);

/// What another edge requests, apart from the object.
pub(crate) struct CopyRequestOptions {
    pub heads: Headers,
    pub reach: Reach,
    /// The `ETag` of the copy that it has.
    pub held: Option<String>,
    pub patience: Patience,
}

impl Edge {
    /// Serves the request from a copy, joins a fetch in progress, or starts one.
    pub(crate) fn read(&mut self, now: Mono, mut job: Job, out: &mut Vec<Out>) {
        let object = job.object();
        let personal = job.req.heads.personal();
        // A time-to-live that was shortened meanwhile also applies to existing copies.
        let within_route_ttl = |c: &&Copy| now - c.since < job.row.ttl;
        if let Some(c) =
            self.copies.get(now, &object).filter(|c| c.public || !personal).filter(within_route_ttl).cloned()
        {
            let until = (c.until + DELIVERY_MARGIN).min(self.leased_until());
            let step = Step::Serve(c.whole.clone(), AnswerSource::Copy(now - c.since), until);
            return job.callers.iter().for_each(|c| self.answer_caller(now, &c.caller, step.clone(), out));
        }
        // Content for this caller only is requested from the origin, for this caller alone.
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

    /// Fetches are coalesced: later callers wait for the first one's fetch. An edge that acts as a
    /// home of some reach does not wait for another one that does.
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

    /// The answer to a copy request.
    pub(crate) fn copy_result(&mut self, to: Addr, ask: RequestId, reply: CopyReply) -> Out {
        Out::Send(to, Msg::CopyResult { ask, said: reply, purges: self.current_purge_digest() })
    }

    /// Another edge requests a copy.
    pub(crate) fn on_copy_query(
        &mut self,
        now: Mono,
        (from, ask): (Addr, RequestId),
        object: Object,
        options: CopyRequestOptions,
        out: &mut Vec<Out>,
    ) {
        let caller = Caller::Edge(from, ask);
        // Purges may not have reached an edge that is out of touch, so other edges must not rely on
        // it.
        if !self.in_touch(now) {
            return out.push(self.copy_result(from, ask, CopyReply::TemporarilyUnavailable));
        }
        // The route that leads to the object now: the requesting edge may have an older or a newer
        // configuration.
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

    /// Stores a copy, unless it has expired or is larger than the cache.
    pub(crate) fn keep(&mut self, now: Mono, object: Object, copy: Copy) {
        if copy.until > now && copy.whole.size() <= self.env.copies {
            self.copies.put(object, copy);
        }
    }

    /// A complete response to a fetch: cached if permitted, then served.
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
        // A response requested for a single caller may be partial, or encoded for that caller.
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
                    out.push(Out::Send(ledger, Msg::DiskCacheOffer(self.request_id(id))));
                    self.disk_cache_offers.insert(id, object);
                }
            }
        }
        // A response that was just fetched may be served even if it may not be cached.
        let until = until.max(now + Span::ms(1500)).min(self.leased_until());
        let step = Step::Serve(Arc::new(response), AnswerSource::Origin, until);
        if unshared || shareable {
            self.finish(now, id, step, out);
        } else {
            self.split_unshared_callers(now, id, Some(step), out);
        }
    }
}
