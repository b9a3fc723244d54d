//! Grants of borrowed tokens from the services' rate ceilings, by the leader.
use crate::controller::Controller;
use control_state::*;
use primitives::{Mono, Span};
use std::collections::BTreeMap;

/// Maximum unused budget, as the time in which it accrues. Together with the tokens outstanding for
/// `BORROWED_TOKEN_TTL` and the edges' own bursts, this keeps any five seconds within a tenth above
/// the ceiling.
const MAX_SAVED: Span = Span::ms(250);
const MICROS_PER_SECOND: f64 = 1e6;

/// Remaining token budgets of all services.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lending {
    budgets: BTreeMap<Svc, Budget>,
    /// Cached shares, computed from the control state on first use. Invariant: cleared by every
    /// change of the control state that may affect them.
    shares: BTreeMap<Svc, Option<Share>>,
}

impl Lending {
    /// Resets all budgets; called when this member starts a new epoch.
    pub(crate) fn clear(&mut self) {
        self.budgets.clear();
        self.shares.clear();
    }

    /// Drops cached shares that a change of these items may affect.
    pub(crate) fn changed(&mut self, keys: &[Key]) {
        if keys.iter().any(|key| !key.is_purge()) {
            self.shares.clear();
        }
    }

    /// The service's share; none if the service has no ceiling.
    fn share(&mut self, items: &BTreeMap<Key, Item>, service: &Svc) -> Option<Share> {
        let share = self.shares.entry(service.clone()).or_insert_with(|| share(items, service));
        share.filter(|share| !share.free())
    }
}

/// Remaining token budget of one service.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    tokens: f64,
    refilled: Mono,
}

impl Budget {
    /// A new leader starts with no tokens: its predecessor may have granted all of them.
    fn empty(now: Mono) -> Budget {
        Budget { tokens: 0.0, refilled: now }
    }

    /// Takes up to `wanted` whole tokens from a budget that accrues `rate` tokens per second.
    fn take(&mut self, now: Mono, rate: f64, wanted: u32) -> u32 {
        let capacity = (rate * MAX_SAVED.0 as f64 / MICROS_PER_SECOND).max(1.0);
        let earned = rate * (now - self.refilled).0 as f64 / MICROS_PER_SECOND;
        self.tokens = (self.tokens + earned).min(capacity);
        self.refilled = now;
        let granted = f64::from(wanted).min(self.tokens.floor());
        self.tokens -= granted;
        granted as u32
    }
}

impl Controller {
    /// Grants borrowed tokens to an edge, to be used within `BORROWED_TOKEN_TTL`.
    pub(crate) fn lend(&mut self, now: Mono, request: &Sub) -> Vec<(Svc, u32)> {
        self.leadership.note_epoch(request.epoch);
        // Tokens must be used or expired before another leader can grant any.
        let grant_outlasts_tokens = self.leadership.granted_until() >= now + BORROWED_TOKEN_TTL;
        let epoch_current = self.leadership.candidate_epoch().is_some_and(|epoch| epoch >= request.epoch);
        if !grant_outlasts_tokens || !epoch_current {
            return vec![];
        }
        let mut grants = vec![];
        for (service, wanted) in &request.wants {
            let Some(share) = self.lending.share(&self.state.items, service) else { continue };
            let budget = self.lending.budgets.entry(service.clone()).or_insert_with(|| Budget::empty(now));
            let granted = budget.take(now, share.lent, *wanted);
            if granted > 0 {
                grants.push((service.clone(), granted));
            }
        }
        grants
    }
}
