//! Effects of updates from the controllers on an edge.
use crate::edge::Edge;
use crate::table::Table;
use control_state::*;
use primitives::{Addr, Mono};
use std::sync::Arc;

impl Edge {
    /// Renews the subscription at a controller when that is due.
    pub(crate) fn subscribe(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.follow.due(now) {
            let wants = self.wants(now);
            self.follow.subscribe(now, &wants, self.admission.epoch, out);
        }
    }

    /// Applies an update and everything that follows from the changed items.
    pub(crate) fn on_update(&mut self, now: Mono, from: Addr, update: Update, out: &mut Vec<Out>) {
        // An expired lease must be noticed before this update may renew it.
        self.check_lapse(now);
        let (sure_before, era_before) = (self.follow.sure, self.follow.era);
        let changed = self.follow.on_update(now, from, &update, out);
        // An edge that has served without a lease for so long may have missed purges that no
        // controller remembers any more.
        if !is_purge_mark_valid(sure_before, self.follow.sure) {
            self.discard_copies();
        }
        // The digest covers forgotten purges too, and those depend on the era.
        if changed.iter().any(Key::is_purge) || era_before != self.follow.era {
            self.purge_digest = None;
        }
        // The table contains nothing of purges, which are the most frequent changes.
        if changed.iter().any(|key| !key.is_purge()) {
            self.table = Arc::new(Table::build(&self.follow.items));
        }
        for key in &changed {
            match key {
                Key::Purge(svc, prefix) => self.purge(now, svc, prefix, out),
                Key::PurgeBy(purge) => self.purge_by(now, purge, out),
                _ => (),
            }
        }
        // Request times of an earlier incarnation would make old heartbeats and grants look fresh.
        if let Some(reply) = update.reply.as_ref().filter(|r| r.life == self.follow.env.life) {
            self.record_heartbeats(reply);
            self.accept_borrowed_tokens(now, from, reply, out);
        }
        self.check_lapse(now);
        if self.follow.own_node().is_some_and(|m| m.standing == Standing::Leaving) {
            self.leave(now);
        }
    }

    /// Copies are discarded once a lease that had expired is renewed, since purges may have been
    /// missed.
    pub(crate) fn check_lapse(&mut self, now: Mono) {
        let leased = self.leased(now);
        if !leased && !self.lapsed {
            self.count("lapses");
            self.lapsed = true;
        }
        if leased && self.lapsed {
            self.lapsed = false;
            self.count("leases");
            self.discard_copies();
        }
    }

    /// Reports when too few controllers renew the lease, even if the edge continues to serve, and
    /// when enough do again.
    pub(crate) fn report_lease_quorum(&mut self, now: Mono, out: &mut Vec<Out>) {
        let has_quorum = self.in_touch(now);
        match (std::mem::replace(&mut self.had_lease_quorum, has_quorum), has_quorum) {
            (true, false) => out.push(Out::Alarm("out of touch: too few controllers renew the lease")),
            (false, true) => out.push(Out::Note("in touch: enough controllers renew the lease")),
            _ => (),
        }
    }

    /// Discards all copies and the responses being fetched.
    fn discard_copies(&mut self) {
        self.copies.clear();
        self.shared_fetches.clear();
        self.jobs.values_mut().for_each(|job| job.invalidated = true);
    }
}
