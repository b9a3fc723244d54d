//! Reads of content that may be cached: each object has a home edge that fetches it once for all.
use crate::cacheability::{cacheability, Cacheability};
use crate::copies::Copy;
use crate::edge::Edge;
use crate::jobs::*;
use crate::revalidation::IF_NONE_MATCH;
use crate::shared_fetch::SharedFetchId;
use crate::sources::MIN_DISK_CACHE_TTL;
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::sync::Arc;

/// A copy that was valid when it was chosen may still be sent for this long. This is half of the
/// time by which a copy may exceed its time-to-live.
pub(crate) const DELIVERY_MARGIN: Span = Span::secs(1);
/// A response that may not be cached may be sent for this long.
const UNCACHED_DELIVERY_TIME: Span = Span::ms(1500);

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
    pub(crate) fn read(&mut self, now: Mono, job: Job, out: &mut Vec<Out>) {
        let object = job.object();
        let personal = job.req.heads.personal();
        // Only the origin can judge these conditions, or answer a request that has content.
        let conditional = ["if-match", "if-unmodified-since"].iter().any(|n| job.req.heads.has(n));
        let bypasses_cache = conditional || !job.req.body.is_empty();
        // A time-to-live that was shortened meanwhile also applies to existing copies.
        let is_usable = |c: &&Copy| !bypasses_cache && (c.public || !personal) && now - c.since < job.row.ttl;
        if let Some(c) = self.copies.get(now, &object).filter(is_usable).cloned() {
            let until = (c.until + DELIVERY_MARGIN).min(self.leased_until());
            let step = Step::Serve(c.whole.clone(), AnswerSource::Copy(now - c.since), until);
            return job.callers.iter().for_each(|c| self.answer_caller(now, &c.caller, step.clone(), out));
        }
        // Content for this caller only is requested from the origin, for this caller alone.
        if personal || bypasses_cache || self.unshared.get(&object).is_some_and(|t| *t > now) {
            self.enqueue_new_job(now, job, out);
        } else if !self.join_shared_fetch(&object, &job.callers, None) {
            self.start_shared_fetch(now, job, None, out);
        }
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
        let callers = std::slice::from_ref(&waiting);
        if self.leased(now) && self.join_shared_fetch(&object, callers, Some(options.reach)) {
            return;
        }
        let req = CallerRequest {
            method: "GET".into(),
            lane: route,
            path: object.path.clone(),
            key: None,
            heads: options.heads,
            body: Arc::new(vec![]),
            left: Some(options.patience.left),
            ..CallerRequest::default()
        };
        match self.admit(now, req).ok().filter(|job| job.object() == object && job.kind == Kind::Read) {
            Some(mut job) => {
                job.join(&[waiting]);
                self.start_shared_fetch(now, job, Some(options.reach), out);
            }
            None => self.answer_caller(now, &waiting.caller, Step::Deny(Denied::NoOrigin, Span(0)), out),
        }
    }

    /// Stores a copy, unless it has expired or is larger than the cache.
    pub(crate) fn keep(&mut self, now: Mono, object: Object, copy: Copy) {
        if copy.until > now && copy.whole.size() <= self.env.copies && self.may_keep_copies() {
            self.copies.put(object, copy);
        }
    }

    /// A response to a read: cached if permitted, then served to those for whom it was made.
    pub(crate) fn on_read_response(
        &mut self,
        now: Mono,
        id: u64,
        (round, sent): (&Round, Mono),
        response: Whole,
        out: &mut Vec<Out>,
    ) {
        let fetch = self.shared_fetch(id);
        if let Some(fetch) = fetch.filter(|_| response.status == 304 && round.req.heads.has(IF_NONE_MATCH)) {
            return self.finish_revalidation(now, fetch, sent, round, out);
        }
        self.body_sizes.note(&round.req.lane, response.size());
        match fetch {
            Some(fetch) => self.finish_shared_fetch(now, fetch, sent, response, out),
            None => self.finish_single_read(now, id, sent, response, out),
        }
    }

    fn finish_shared_fetch(
        &mut self,
        now: Mono,
        id: SharedFetchId,
        sent: Mono,
        response: Whole,
        out: &mut Vec<Out>,
    ) {
        let Some(job) = self.jobs.get(&id.job()) else { return };
        let verdict = cacheability(&job.req, &response, job.row.ttl);
        let shareable = verdict.is_shareable(response.status);
        self.keep_response(now, id.job(), sent, &verdict, &response, out);
        let step = self.serve_response(now, sent, &verdict, response);
        if shareable {
            self.finish(now, id.job(), step, out);
        } else {
            self.split_callers(now, id, Some(step), out);
        }
    }

    /// The response to the request of one caller. It may permit a copy for every caller, but may
    /// also be partial, encoded for this caller, or depend on the body of the request.
    fn finish_single_read(&mut self, now: Mono, id: u64, sent: Mono, response: Whole, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let verdict = cacheability(&job.req, &response, job.row.ttl);
        let is_plain_get = job.req.method == "GET" && job.req.body.is_empty();
        if is_plain_get && !response.heads.has("content-encoding") {
            self.keep_response(now, id, sent, &verdict, &response, out);
        }
        let step = self.serve_response(now, sent, &verdict, response);
        self.finish(now, id, step, out);
    }

    /// The origin's failure, after the last attempt. It too may be meant for one caller alone.
    pub(crate) fn finish_server_error(&mut self, now: Mono, id: u64, response: Whole, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let shareable = cacheability(&job.req, &response, job.row.ttl).is_shareable(response.status);
        let step = Step::Serve(Arc::new(response), AnswerSource::Origin, Mono(u64::MAX));
        match self.shared_fetch(id).filter(|_| !shareable) {
            Some(fetch) => self.split_callers(now, fetch, Some(step), out),
            None => self.finish(now, id, step, out),
        }
    }

    /// Keeps a copy for every caller as far as the response permits, and offers it to a ledger.
    fn keep_response(
        &mut self,
        now: Mono,
        id: u64,
        sent: Mono,
        verdict: &Cacheability,
        response: &Whole,
        out: &mut Vec<Out>,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (object, until) = (job.object(), sent + verdict.ttl);
        if verdict.ttl == Span(0) || !self.leased(now) {
            return;
        }
        let (whole, since) = (Arc::new(response.kept()), sent - verdict.current_age);
        let copy = Copy { whole, public: verdict.public, since, until, non_home: false };
        self.keep(now, object.clone(), copy);
        if until - now >= MIN_DISK_CACHE_TTL {
            if let Some(ledger) = self.disk_cache_ledger(now, &object) {
                out.push(Out::Send(ledger, Msg::DiskCacheOffer(self.request_id(id))));
                self.disk_cache_offers.insert(id, object);
            }
        }
    }

    /// A response that was just fetched may be served even if it may not be cached.
    fn serve_response(&self, now: Mono, sent: Mono, verdict: &Cacheability, response: Whole) -> Step {
        let until = (sent + verdict.ttl).max(now + UNCACHED_DELIVERY_TIME).min(self.leased_until());
        Step::Serve(Arc::new(response), AnswerSource::Origin, until)
    }
}
