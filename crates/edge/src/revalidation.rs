//! Renewing copies: an origin that still has what a copy shows says so in a few bytes.
use crate::cacheability::cacheability;
use crate::copies::Copy;
use crate::edge::Edge;
use control_state::*;
use primitives::{Mono, Span};

pub(crate) const IF_NONE_MATCH: &str = "if-none-match";
/// As for any copy, see `read`.
const DELIVERY_MARGIN: Span = Span::secs(1);

impl Edge {
    /// A fill of something that was had before asks only for what is newer.
    pub(crate) fn add_revalidation_header(&self, id: u64, req: CallerRequest) -> CallerRequest {
        let job =
            self.jobs.get(&id).filter(|job| job.kind == Kind::Read && !job.unshared && !job.unconditional);
        let cached = job.and_then(|job| self.copies.peek(&job.object()));
        let etag = cached.and_then(|c| c.whole.heads.get("etag")).map(str::to_string);
        etag.into_iter()
            .fold(req, |req, etag| CallerRequest { heads: req.heads.with(IF_NONE_MATCH, etag), ..req })
    }

    /// The origin has nothing newer: the copy lives on, from when it was asked about.
    /// Invariant: a copy that a purge took meanwhile is not there to be renewed.
    pub(crate) fn finish_revalidation(
        &mut self,
        now: Mono,
        id: u64,
        sent: Mono,
        round: &Round,
        out: &mut Vec<Out>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (object, row_ttl) = (job.object(), job.row.ttl);
        let same_etag = |c: &&Copy| c.whole.heads.get("etag") == round.req.heads.get(IF_NONE_MATCH);
        let Some(cached) = self.copies.peek(&object).filter(same_etag).cloned() else {
            // It left the shelf for room: the whole is wanted after all.
            job.unconditional = true;
            return self.retry_or(now, id, true, Step::OutcomeUnknown(Span::secs(1)), out);
        };
        let ttl = cacheability(&round.req, &cached.whole, row_ttl).ttl;
        let (since, until) = (sent, sent + ttl);
        self.count("renewed");
        self.copies.put(object, Copy { since, until, ..cached.clone() });
        let send_deadline = (until.max(now) + DELIVERY_MARGIN).min(self.leased_until());
        self.finish(now, id, Step::Serve(cached.whole, AnswerSource::Copy(now - since), send_deadline), out);
    }
}
