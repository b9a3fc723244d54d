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
        let obj = job.object();
        let own = job.req.heads.personal();
        // A lifetime that was shortened since holds for what is kept already.
        let young = |c: &&Copy| now - c.since < job.row.ttl;
        if let Some(c) = self.copies.get(now, &obj).filter(|c| c.public || !own).filter(young).cloned() {
            let until = (c.until + DELIVERY_MARGIN).min(self.leased_until());
            let s = Step::Serve(c.whole.clone(), AnswerSource::Copy(now - c.since), until);
            return job.callers.iter().for_each(|c| self.answer_caller(now, &c.caller, s.clone(), out));
        }
        // What is this caller's own is asked of the origin, for this caller alone.
        let asks = ["if-match", "if-unmodified-since"].iter().any(|n| job.req.heads.has(n));
        let asks = asks || !job.req.body.is_empty();
        if own || asks || self.unshared.get(&obj).is_some_and(|t| *t > now) {
            job.unshared = true;
            self.enqueue_new_job(now, job, out);
            return;
        }
        job.req = CallerRequest { method: "GET".into(), heads: job.req.heads.for_shared_fetch(), ..job.req };
        if self.join_fill(&obj, &job.callers, None) {
            return;
        }
        let id = self.number();
        self.jobs.insert(id, job);
        let source = self.first_source(now, &obj, None);
        self.ask_source(now, id, source, out);
    }

    /// Fills are coalesced: later callers wait for the first one's. Who acts for a reach
    /// does not wait for another who does.
    fn join_fill(&mut self, obj: &Object, callers: &[Waiting], home_reach: Option<Reach>) -> bool {
        let id = self.fills.get(obj).copied();
        let beyond = |job: &Job| match (&job.stage, home_reach) {
            (Stage::Home(copy_request), Some(acts)) => copy_request.source > Source::Home(acts),
            _ => true,
        };
        let open = id.and_then(|id| self.jobs.get_mut(&id)).filter(|job| !job.invalidated && beyond(job));
        open.map(|job| job.join(callers)).is_some()
    }

    /// An answer to a question for a copy.
    pub(crate) fn copy_result(&mut self, to: Addr, ask: RequestId, said: CopyReply) -> Out {
        Out::Send(to, Msg::CopyResult { ask, said, purges: self.current_purge_digest() })
    }

    pub(crate) fn on_copy_query(
        &mut self,
        now: Mono,
        (from, ask): (Addr, RequestId),
        obj: Object,
        options: CopyRequestOptions,
        out: &mut Vec<Out>,
    ) {
        let caller = Caller::Edge(from, ask);
        // Purges may not have reached an edge out of touch: others do not rely on it.
        if !self.in_touch(now) {
            return out.push(self.copy_result(from, ask, CopyReply::TemporarilyUnavailable));
        }
        // By the lane that leads to it now: the asker may go by an older configuration, or a newer.
        let lane = self.table.route_of(&obj.site, &obj.path).unwrap_or_default();
        let rows = self.table.routes.get(&lane).cloned().unwrap_or_default();
        let ttl = rows.iter().find(|(s, _)| *s == obj.service).map_or(Span(0), |(_, r)| r.ttl);
        let held = self.copies.get(now, &obj).filter(|c| now - c.since < ttl).cloned();
        if let Some(c) = held {
            let until = c.until.min(self.leased_until());
            let same = options.held.is_some() && options.held.as_deref() == c.whole.heads.get("etag");
            let said = if same {
                CopyReply::Same { left: until - now, current_age: now - c.since }
            } else {
                CopyReply::Got(Box::new(c.to_transfer(now, until)))
            };
            return out.push(self.copy_result(from, ask, said));
        }
        if self.unshared.get(&obj).is_some_and(|t| *t > now) {
            return out.push(self.copy_result(from, ask, CopyReply::Uncacheable));
        }
        out.push(Out::Send(from, Msg::CopyPending(ask)));
        let waiting = Waiting::of_edge(caller, now, options.patience);
        if self.leased(now) && self.join_fill(&obj, std::slice::from_ref(&waiting), Some(options.reach)) {
            return;
        }
        let (method, body) = ("GET".into(), Arc::new(vec![]));
        let req = CallerRequest {
            method,
            lane,
            path: obj.path.clone(),
            key: None,
            heads: options.heads.for_shared_fetch(),
            body,
            left: Some(options.patience.left),
            ..CallerRequest::default()
        };
        match self.admit(now, req).ok().filter(|job| job.object() == obj && job.kind == Kind::Read) {
            Some(mut job) => {
                job.join(&[waiting]);
                job.home_reach = Some(options.reach);
                let id = self.number();
                self.jobs.insert(id, job);
                let source = self.first_source(now, &obj, Some(options.reach));
                self.ask_source(now, id, source, out);
            }
            None => self.answer_caller(now, &waiting.caller, Step::Deny(Denied::NoOrigin, Span(0)), out),
        }
    }

    pub(crate) fn keep(&mut self, now: Mono, obj: Object, c: Copy) {
        if c.until > now && c.whole.size() <= self.env.copies {
            self.copies.put(obj, c);
        }
    }

    /// A whole answer for a fill: kept if it may be, then served.
    pub(crate) fn finish_fill(&mut self, now: Mono, id: u64, sent: Mono, w: Whole, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let says = cacheability(&job.req, &w, job.row.ttl);
        let (obj, until, alone) = (job.object(), sent + says.life, job.unshared);
        self.body_sizes.note(&job.req.lane, w.size());
        let common = !says.personal && (w.status != 200 || says.life > Span(0));
        // What one caller asked for alone may be less than the whole, or encoded for it.
        let plain = !alone || (job.req.method == "GET" && !w.heads.has("content-encoding"));
        if plain && says.life > Span(0) && self.leased(now) {
            let since = sent - says.current_age;
            let whole = Arc::new(w.kept());
            self.keep(now, obj.clone(), Copy { whole, public: says.public, since, until, non_home: false });
            if until - now >= MIN_DISK_CACHE_TTL {
                if let Some(a) = self.disk_cache_ledger(now, &obj) {
                    out.push(Out::Send(a, Msg::DiskCacheOffer(self.ask_id(id))));
                    self.offers.insert(id, obj);
                }
            }
        }
        // An answer just fetched may be served even if it may not be kept.
        let until = until.max(now + Span::ms(1500)).min(self.leased_until());
        let s = Step::Serve(Arc::new(w), AnswerSource::Origin, until);
        if alone || common {
            self.finish(now, id, s, out);
        } else {
            self.split_unshared_callers(now, id, Some(s), out);
        }
    }
}
