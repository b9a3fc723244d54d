//! Cached copies on disk. They outlive edges and, within one boot of the machine, the ledger's
//! own process, so that origins are spared the load peak after a restart.
use crate::ledger::Ledger;
use crate::records::Kept;
use control_state::*;
use primitives::{Addr, Mono, Span};
use serde::{Deserialize, Serialize};

/// A cached copy of an object, as it is stored on disk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredCopy {
    pub object: Object,
    pub whole: Whole,
    /// The origin declared the response public: it may serve every caller, with credentials or
    /// without.
    pub public: bool,
    /// Time from which the copy's age counts.
    pub since: Mono,
    /// Invariant: the copy is not served after this; counted from the time of this ledger's own
    /// request for it.
    pub until: Mono,
    /// The boot that `since` and `until` belong to: the clock of another boot is not comparable.
    pub boot: u64,
    /// The purges that the copy is known to be younger than, see `control_state::mark`.
    pub mark: u64,
    /// An era before which all purges were known when `mark` was made, see `is_purge_mark_valid`.
    pub complete_through_era: Era,
}

impl BoundedCacheEntry for StoredCopy {
    fn until(&self) -> Mono {
        self.until
    }
    fn size(&self) -> usize {
        self.whole.size()
    }
}

/// Interval at which expired copies are dropped.
const CACHE_SWEEP: Span = Span::secs(1);

pub(crate) type DiskCache = BoundedCache<Object, StoredCopy>;

impl Ledger {
    /// An edge offers a cached copy. The request carries this ledger's own time, from which the
    /// copy's time-to-live will count: a message read late shortens it and never extends it.
    pub(crate) fn on_disk_cache_offer(&self, now: Mono, from: Addr, ask: RequestId, out: &mut Vec<Out>) {
        if self.env.room > 0 && self.follow.leased(now) {
            out.push(Out::Send(from, Msg::DiskCacheWant { ask, at: now }));
        }
    }

    /// Stores a copy that this ledger requested at the time `requested_at`.
    pub(crate) fn on_disk_cache_put(
        &mut self,
        now: Mono,
        requested_at: Mono,
        put: DiskCachePut,
        out: &mut Vec<Out>,
    ) {
        let (until, since) = (requested_at + put.shown.left, requested_at - put.shown.current_age);
        let fits = self.env.room > 0 && put.shown.whole.size() <= self.env.room / 4;
        if until > now && fits && requested_at <= now {
            self.count("stocked");
            let TransferredCopy { whole, public, .. } = put.shown;
            let boot = self.env.boot;
            let copy = StoredCopy {
                object: put.object,
                whole,
                public,
                since,
                until,
                boot,
                mark: put.mark,
                complete_through_era: put.sure,
            };
            self.save(now, Kept::Copy(copy), out);
        }
    }

    /// Answers an edge's query. A copy is served only under the lease, and only if no purge has come since it was made.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn on_copy_query(
        &mut self,
        now: Mono,
        from: Addr,
        ask: RequestId,
        object: Object,
        out: &mut Vec<Out>,
    ) {
        let stored = self.disk_cache.get(now, &object).filter(|copy| copy.boot == self.env.boot);
        let is_unpurged = |copy: &&StoredCopy| {
            is_purge_mark_valid(copy.complete_through_era, self.follow.era)
                && copy.mark == mark(&self.follow.items, &object)
        };
        let valid = stored.filter(|copy| self.follow.leased(now) && is_unpurged(copy));
        let transferred = valid.map(|copy| TransferredCopy {
            whole: copy.whole.clone(),
            left: copy.until - now,
            current_age: now - copy.since,
            public: copy.public,
        });
        let said = transferred.map_or(CopyReply::None, |copy| CopyReply::Got(Box::new(copy)));
        self.count(if said != CopyReply::None { "copies given" } else { "copies lacking" });
        out.push(Out::Send(from, Msg::CopyResult { ask, said, purges: 0 }));
    }

    pub(crate) fn sweep_disk_cache(&mut self, now: Mono) {
        if now - self.last_cache_sweep >= CACHE_SWEEP {
            self.last_cache_sweep = now;
            self.disk_cache.drop_old(now);
        }
    }
}
