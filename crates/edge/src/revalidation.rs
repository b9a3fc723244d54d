//! Revalidation: an origin that still has the content of a copy confirms that in a few bytes.
use crate::cacheability::cacheability;
use crate::copies::Copy;
use crate::edge::Edge;
use crate::job::Job;
use crate::shared_fetch::SharedFetchId;
use control_state::*;
use primitives::{Mono, Span};

pub(crate) const IF_NONE_MATCH: &str = "if-none-match";
/// The same as for any copy, see `read`.
const DELIVERY_MARGIN: Span = Span::secs(1);

impl Edge {
    /// Makes the fetch conditional if there is a copy with an `ETag`.
    pub(crate) fn add_revalidation_header(&self, id: u64, req: CallerRequest) -> CallerRequest {
        let is_conditional = |job: &&Job| job.shared.as_ref().is_some_and(|fetch| !fetch.unconditional);
        let job = self.jobs.get(&id).filter(is_conditional);
        let cached = job.and_then(|job| self.copies.peek(&job.object()));
        let etag = cached.and_then(|c| c.whole.heads.get("etag")).map(str::to_string);
        etag.into_iter()
            .fold(req, |req, etag| CallerRequest { heads: req.heads.with(IF_NONE_MATCH, etag), ..req })
    }

    /// The origin has nothing newer: the copy is valid again, counted from when the request was
    /// sent. Invariant: a copy that was purged meanwhile does not exist and cannot be revalidated.
    pub(crate) fn finish_revalidation(
        &mut self,
        now: Mono,
        id: SharedFetchId,
        sent: Mono,
        round: &Round,
        out: &mut Vec<Out>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job()) else { return };
        let (object, row_ttl) = (job.object(), job.row.ttl);
        let same_etag = |c: &&Copy| c.whole.heads.get("etag") == round.req.heads.get(IF_NONE_MATCH);
        let Some(cached) = self.copies.peek(&object).filter(same_etag).cloned() else {
            // The copy was evicted meanwhile: the whole response is needed after all.
            job.shared.iter_mut().for_each(|fetch| fetch.unconditional = true);
            return self.retry_or(now, id.job(), true, Step::OutcomeUnknown(Span::secs(1)), out);
        };
        let ttl = cacheability(&round.req, &cached.whole, row_ttl).ttl;
        let (since, until) = (sent, sent + ttl);
        self.count("renewed");
        self.copies.put(object, Copy { since, until, ..cached.clone() });
        let send_deadline = (until.max(now) + DELIVERY_MARGIN).min(self.leased_until());
        self.finish(
            now,
            id.job(),
            Step::Serve(cached.whole, AnswerSource::Copy(now - since), send_deadline),
            out,
        );
    }
}
