//! Lending single requests of the services' ceilings; the leader's work.
use crate::controller::Controller;
use control_state::*;
use primitives::{Mono, Span};
use std::collections::BTreeMap;

/// What may be saved up for later, as a time's worth: with what is lent out for `BORROWED_TOKEN_TTL` and the
/// edges' own bursts, five seconds stay within the ceiling's tenth.
const SAVED_UP: Span = Span::ms(250);
const MICROS_A_SECOND: f64 = 1e6;

/// What may still be lent of each service's ceiling.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lending {
    budgets: BTreeMap<Svc, Budget>,
    /// Worked out from the control state when first wanted. Invariant: forgotten with each
    /// change of it that may change them.
    shares: BTreeMap<Svc, Option<Share>>,
}

impl Lending {
    /// A new leader begins with nothing.
    pub(crate) fn clear(&mut self) {
        self.budgets.clear();
        self.shares.clear();
    }

    /// These items changed.
    pub(crate) fn changed(&mut self, keys: &[Key]) {
        if keys.iter().any(|key| !key.is_purge()) {
            self.shares.clear();
        }
    }

    fn share(&mut self, items: &BTreeMap<Key, Item>, service: &Svc) -> Option<Share> {
        let found = self.shares.entry(service.clone()).or_insert_with(|| share(items, service));
        found.filter(|share| !share.free())
    }
}

/// What may still be lent of one service's ceiling.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    requests: f64,
    at: Mono,
}

impl Budget {
    /// A new leader starts with nothing: the last one may have lent it all.
    fn empty(now: Mono) -> Budget {
        Budget { requests: 0.0, at: now }
    }

    /// Takes as many whole requests as were wanted and are there, at so many a second.
    fn take(&mut self, now: Mono, rate: f64, wanted: u32) -> u32 {
        let most = (rate * SAVED_UP.0 as f64 / MICROS_A_SECOND).max(1.0);
        let earned = rate * (now - self.at).0 as f64 / MICROS_A_SECOND;
        self.requests = (self.requests + earned).min(most);
        self.at = now;
        let taken = f64::from(wanted).min(self.requests.floor());
        self.requests -= taken;
        taken as u32
    }
}

impl Controller {
    /// Lends single requests of the ceilings, to be used within a short term.
    pub(crate) fn lend(&mut self, now: Mono, asked: &Sub) -> Vec<(Svc, u32)> {
        self.leadership.note_epoch(asked.epoch);
        // What is lent must be used or void before another leader can lend.
        let carried = self.leadership.granted_until() >= now + BORROWED_TOKEN_TTL;
        let current = self.leadership.candidate_epoch().is_some_and(|epoch| epoch >= asked.epoch);
        if !carried || !current {
            return vec![];
        }
        let mut lent = vec![];
        for (service, wanted) in &asked.wants {
            let Some(share) = self.lending.share(&self.state.items, service) else { continue };
            let budget = self.lending.budgets.entry(service.clone()).or_insert_with(|| Budget::empty(now));
            let taken = budget.take(now, share.lent, *wanted);
            if taken > 0 {
                lent.push((service.clone(), taken));
            }
        }
        lent
    }
}
