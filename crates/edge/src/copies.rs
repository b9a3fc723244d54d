//! Shared copies of readable content, in memory.
use control_state::{BoundedCache, BoundedCacheEntry, Object, TransferredCopy, Whole};
use primitives::{Mono, Span};
use std::sync::Arc;

/// How long a copy that may not be served any more is kept to ask whether it still
/// is what the origin has.
const REVALIDATION_RETENTION: Span = Span::secs(60);

#[derive(Clone, Debug)]
pub(crate) struct Copy {
    pub whole: Arc<Whole>,
    /// For everybody, whatever credentials they send.
    pub public: bool,
    /// Its age counts from here.
    pub since: Mono,
    /// Invariant: not served after this; set when the fill began.
    pub until: Mono,
    /// Others are its homes: it makes room for what this edge is a home of.
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
    pub fn to_transfer(&self, now: Mono, until: Mono) -> TransferredCopy {
        let (whole, current_age) = ((*self.whole).clone(), now - self.since);
        TransferredCopy { whole, left: until - now, current_age, public: self.public }
    }
}

pub(crate) type Copies = BoundedCache<Object, Copy>;
