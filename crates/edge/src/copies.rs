//! Shared copies of readable content, in memory.
use control_state::{BoundedCache, BoundedCacheEntry, Object, TransferredCopy, Whole};
use primitives::{Mono, Span};
use std::sync::Arc;

/// How long an expired copy with an `ETag` is kept, so that it can be revalidated with the origin.
const REVALIDATION_RETENTION: Span = Span::secs(60);

#[derive(Clone, Debug)]
pub(crate) struct Copy {
    pub whole: Arc<Whole>,
    /// For every caller, whatever credentials it sends.
    pub public: bool,
    /// The time from which its age counts.
    pub since: Mono,
    /// Invariant: not served after this. Set from the time when the fetch began.
    pub until: Mono,
    /// Other edges are the homes of this object: evicted before copies that this edge is a home of.
    pub non_home: bool,
}

impl BoundedCacheEntry for Copy {
    fn until(&self) -> Mono {
        self.until
    }
    fn kept(&self) -> Mono {
        let has_etag = self.whole.heads.has("etag");
        if has_etag {
            self.until + REVALIDATION_RETENTION
        } else {
            self.until
        }
    }
    fn size(&self) -> usize {
        self.whole.size()
    }
    fn stays(&self) -> bool {
        !self.non_home
    }
}

impl Copy {
    /// Hash of its `ETag`; `None` if it has none.
    pub fn etag_hash(&self) -> Option<u64> {
        self.whole.heads.get("etag").map(|etag| primitives::hash(&etag))
    }

    /// The copy as sent to another process, usable until `until`.
    pub fn to_transfer(&self, now: Mono, until: Mono) -> TransferredCopy {
        let (whole, current_age) = ((*self.whole).clone(), now - self.since);
        TransferredCopy { whole, left: until - now, current_age, public: self.public }
    }
}

pub(crate) type Copies = BoundedCache<Object, Copy>;
