//! Selects the controller that sends a follower complete items and heartbeats. From the others it
//! needs only lease renewals.
use crate::follower::FollowerEnv;
use crate::items::{Member, Zone};
use crate::subscription::Reply;
use primitives::{Addr, Mono, Span};
use std::collections::BTreeMap;

/// A controller that has not answered for this long is not selected.
const MAX_SILENCE: Span = Span::ms(600);
/// Nor is one that has sent nothing for this long while items are missing that others announced.
const MAX_STALL: Span = Span::secs(1);

/// Distance of a controller, the nearest first.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    Beyond,
}

impl Distance {
    fn between(a: &Zone, b: &Zone) -> Distance {
        match (a == b, a.region() == b.region()) {
            (true, _) => Distance::SameZone,
            (_, true) => Distance::SameRegion,
            _ => Distance::Beyond,
        }
    }
}

/// The selected controller, and what is known of all. Until the first one answers, each controller is
/// asked for complete items.
#[derive(Clone, Debug, Default)]
pub(crate) struct Source {
    chosen: Option<Addr>,
    /// When each controller answered last, by our clock.
    answered: BTreeMap<Addr, Mono>,
    /// `at` of the last reply of each controller that contained heartbeats, by its clock.
    heartbeats_until: BTreeMap<Addr, Mono>,
    /// Since when items have been missing and none have arrived.
    missing_since: Option<Mono>,
}

impl Source {
    /// Whether this controller is to send complete items.
    pub(crate) fn is_source(&self, controller: &Addr) -> bool {
        self.chosen.is_none_or(|chosen| chosen == *controller)
    }

    /// The time, by the controller's clock, up to which it has sent heartbeats.
    pub(crate) fn heartbeats_until(&self, controller: &Addr) -> Mono {
        self.heartbeats_until.get(controller).copied().unwrap_or_default()
    }

    /// Records a reply.
    pub(crate) fn on_reply(&mut self, now: Mono, from: Addr, reply: &Reply) {
        self.answered.insert(from, now);
        if let Some(at) = reply.at {
            self.heartbeats_until.insert(from, at);
        }
    }

    /// Records whether items are missing, and whether any have arrived just now.
    pub(crate) fn note_missing_items(&mut self, now: Mono, missing: bool, arrived: bool) {
        let since = self.missing_since.filter(|_| !arrived).unwrap_or(now);
        self.missing_since = missing.then_some(since);
    }

    /// Selects the nearest controller that answers; among equally near ones, followers are spread by
    /// hash. The selection stays while the selected controller is sending missing items, unless it
    /// makes no progress.
    pub(crate) fn choose(&mut self, now: Mono, env: &FollowerEnv, members: &[Member]) {
        let silent =
            |member: &Member| self.answered.get(&member.addr).is_none_or(|at| now - *at > MAX_SILENCE);
        let is_chosen = |member: &&Member| Some(member.addr) == self.chosen;
        let is_available = members.iter().find(is_chosen).is_some_and(|member| !silent(member));
        let stalled = self.missing_since.is_some_and(|since| now - since > MAX_STALL);
        if is_available && self.missing_since.is_some() && !stalled {
            return;
        }
        let preference = |member: &&Member| {
            (Distance::between(&env.zone, &member.zone), primitives::hash(&(env.id, member.addr)))
        };
        let is_excluded = |member: &&Member| stalled && is_chosen(member);
        let candidates = members.iter().filter(|member| !silent(member) && !is_excluded(member));
        if let Some(next) = candidates.min_by_key(preference).filter(|member| !is_chosen(member)) {
            self.chosen = Some(next.addr);
            self.missing_since = self.missing_since.map(|_| now);
        }
    }
}
