//! Copies on disk: they outlast edges and, within one boot of the machine, the
//! ledger's own process, so that origins are spared the rush after a restart.
use crate::grants::Kept;
use crate::ledger::Ledger;
use control_state::*;
use primitives::{Addr, Mono, Span};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredCopy {
    pub object: Object,
    pub whole: Whole,
    pub public: bool,
    /// Its age counts from here, and
    pub since: Mono,
    /// invariant: it is not given out after this; counted from this ledger's own asking.
    pub until: Mono,
    /// Which boot `until` belongs to: the clock means nothing in another one.
    pub boot: u64,
    /// The purges that the copy is known to be younger than, see `control_state::mark`.
    pub mark: u64,
    pub sure: Era,
}

impl BoundedCacheEntry for StoredCopy {
    fn until(&self) -> Mono {
        self.until
    }
    fn size(&self) -> usize {
        self.whole.size()
    }
}

pub(crate) type DiskCache = BoundedCache<Object, StoredCopy>;

impl Ledger {
    /// An edge has a copy to leave here. The asking's time is this ledger's, so a
    /// word read late makes the copy's life shorter, never longer.
    pub(crate) fn on_stock_offer(&self, now: Mono, from: Addr, ask: RequestId, out: &mut Vec<Out>) {
        if self.env.room > 0 && self.follow.leased(now) {
            out.push(Out::Send(from, Msg::DiskCacheWant { ask, at: now }));
        }
    }

    pub(crate) fn on_stock_put(&mut self, now: Mono, at: Mono, p: DiskCachePut, out: &mut Vec<Out>) {
        let (until, since) = (at + p.shown.left, at - p.shown.current_age);
        let fits = self.env.room > 0 && p.shown.whole.size() <= self.env.room / 4;
        if until > now && fits && at <= now {
            self.count("stocked");
            let TransferredCopy { whole, public, .. } = p.shown;
            let boot = self.env.boot;
            let s = StoredCopy {
                object: p.object,
                whole,
                public,
                since,
                until,
                boot,
                mark: p.mark,
                sure: p.sure,
            };
            self.save(now, Kept::Copy(s), out);
        }
    }

    /// Given out only under the lease, and only if no purge came since.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn on_copy_ask(
        &mut self,
        now: Mono,
        from: Addr,
        ask: RequestId,
        object: Object,
        out: &mut Vec<Out>,
    ) {
        let held = self.disk_cache.get(now, &object).filter(|s| s.boot == self.env.boot);
        let same = |s: &&StoredCopy| {
            is_purge_mark_valid(s.sure, self.follow.era) && s.mark == mark(&self.follow.items, &object)
        };
        let held = held.filter(|s| self.follow.leased(now) && same(s));
        let shown = held.map(|s| TransferredCopy {
            whole: s.whole.clone(),
            left: s.until - now,
            current_age: now - s.since,
            public: s.public,
        });
        let said = shown.map_or(CopyReply::None, |s| CopyReply::Got(Box::new(s)));
        self.count(if said != CopyReply::None { "copies given" } else { "copies lacking" });
        out.push(Out::Send(from, Msg::CopyResult { ask, said, purges: 0 }));
    }

    pub(crate) fn sweep_disk_cache(&mut self, now: Mono) {
        if now - self.swept >= Span::secs(1) {
            self.swept = now;
            self.disk_cache.drop_old(now);
        }
    }
}
