//! What updates from the controllers change in an edge.
use crate::edge::Edge;
use crate::table::Table;
use control_state::*;
use primitives::{Addr, Mono};
use std::sync::Arc;

impl Edge {
    pub(crate) fn subscribe(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.follow.due(now) {
            let wants = self.wants(now);
            self.follow.subscribe(now, &wants, self.admission.epoch, out);
        }
    }

    pub(crate) fn on_update(&mut self, now: Mono, from: Addr, n: Update, out: &mut Vec<Out>) {
        // A lapse is seen before this update may end it.
        self.check_lapse(now);
        let (sure, era) = (self.follow.sure, self.follow.era);
        let new = self.follow.on_update(now, from, &n, out);
        // One that served on for so long may have missed purges that nobody remembers.
        if !is_purge_mark_valid(sure, self.follow.sure) {
            self.forget();
        }
        // Purges that are forgotten count as well, and that goes by eras.
        if new.iter().any(Key::is_purge) || era != self.follow.era {
            self.purge_digest = None;
        }
        // The table has nothing of purges in it, and they are the most frequent of all changes.
        if new.iter().any(|key| !key.is_purge()) {
            self.table = Arc::new(Table::build(&self.follow.items));
        }
        for k in &new {
            match k {
                Key::Purge(svc, prefix) => self.purge(now, svc, prefix, out),
                Key::PurgeBy(p) => self.purge_by(now, p, out),
                _ => (),
            }
        }
        // Times of an earlier life's asking would make old beats and slices new.
        if let Some(r) = n.reply.as_ref().filter(|r| r.life == self.follow.env.life) {
            self.record_heartbeats(r);
            self.accept_borrowed_tokens(now, from, r, out);
        }
        self.check_lapse(now);
        if self.follow.own_node().is_some_and(|m| m.standing == Standing::Leaving) {
            self.leave(now);
        }
    }

    /// Copies do not outlast a lapse: purges may have been missed.
    pub(crate) fn check_lapse(&mut self, now: Mono) {
        let held = self.leased(now);
        if !held && !self.lapsed {
            self.count("lapses");
            self.lapsed = true;
        }
        if held && self.lapsed {
            self.lapsed = false;
            self.count("leases");
            self.forget();
        }
    }

    /// Says when too few controllers renew its lease, though it serves on, and when enough do again.
    pub(crate) fn report_lease_quorum(&mut self, now: Mono, out: &mut Vec<Out>) {
        let touch = self.in_touch(now);
        match (std::mem::replace(&mut self.had_lease_quorum, touch), touch) {
            (true, false) => out.push(Out::Alarm("out of touch: too few controllers renew the lease")),
            (false, true) => out.push(Out::Note("in touch: enough controllers renew the lease")),
            _ => (),
        }
    }

    fn forget(&mut self) {
        self.copies.clear();
        self.fills.clear();
        self.jobs.values_mut().for_each(|job| job.invalidated = true);
    }
}
