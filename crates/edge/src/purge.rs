//! Purges: copies are removed, and responses being fetched are not used.
use crate::copies::Copy;
use crate::edge::Edge;
use crate::jobs::{Job, Stage};
use crate::purged_tags::tags;
use control_state::*;
use primitives::Mono;

impl Edge {
    /// Purges all objects of the service whose path starts with the prefix.
    pub(crate) fn purge(&mut self, now: Mono, svc: &Svc, prefix: &str, out: &mut Vec<Out>) {
        self.copies.drop_where(|k, _| k.service == *svc && k.path.starts_with(prefix));
        self.invalidate(now, |o| o.service == *svc && o.path.starts_with(prefix), out);
    }

    /// Purges by page or by tag. The tags of a response being fetched are known only when it
    /// arrives.
    pub(crate) fn purge_by(&mut self, now: Mono, purge: &PurgeBy, out: &mut Vec<Out>) {
        let is_page = |o: &Object, host: &str, path: &str| {
            let without_query = |s: &str| s.split('?').next().unwrap_or(s).to_string();
            without_query(&o.path) == without_query(path) && o.site.0 == host.to_ascii_lowercase()
        };
        match purge {
            PurgeBy::Page(host, path) => {
                self.copies.drop_where(|k, _| is_page(k, host, path));
                self.invalidate(now, |o| is_page(o, host, path), out);
            }
            PurgeBy::Tag(purged) => {
                self.count("purges");
                self.purged_tags.note(now, purged);
                self.copies.drop_where(|_, c: &Copy| tags(&c.whole.heads).any(|tag| tag == purged));
            }
        }
    }

    /// Digest of all purges known here.
    pub(crate) fn current_purge_digest(&mut self) -> u64 {
        let items = &self.follow.items;
        *self.purge_digest.get_or_insert_with(|| purge_digest(items))
    }

    /// Marks the matching fetches, so that their responses are not used.
    fn invalidate(&mut self, now: Mono, matches: impl Fn(&Object) -> bool, out: &mut Vec<Out>) {
        self.count("purges");
        self.shared_fetches.retain(|o, _| !matches(o));
        let ids: Vec<u64> =
            self.jobs.iter().filter(|(_, job)| matches(&job.object())).map(|(i, _)| *i).collect();
        for id in ids {
            let job = self.jobs.get_mut(&id).expect("listed above");
            job.invalidated = job.kind == Kind::Read;
            let asks_home = job.invalidated && matches!(job.stage, Stage::Home(..));
            if let Some(id) = self.shared_fetch(id).filter(|_| asks_home) {
                self.restart_copy_request(now, id, out);
            }
        }
    }

    /// Forgets tags that were purged before the oldest request in progress was sent.
    pub(crate) fn forget_purged_tags(&mut self, now: Mono) {
        let oldest_request =
            |job: &Job| job.overdue().iter().map(|request| request.asked).fold(job.stage_since, Mono::min);
        let oldest = self.jobs.values().map(oldest_request).fold(now, Mono::min);
        self.purged_tags.forget_before(oldest);
    }
}
