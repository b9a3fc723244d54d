//! Which controller a follower has items and heartbeats from; of the others it wants leases.
use crate::follower::FollowerEnv;
use crate::items::{Member, Zone};
use crate::message::Reply;
use primitives::{Addr, Mono, Span};
use std::collections::BTreeMap;

/// A controller that has not answered for so long is not relied on.
const SILENCE: Span = Span::ms(600);
/// Nor one that sends nothing for so long while items are lacking that others announced.
const STUCK: Span = Span::secs(1);

/// How far a controller is.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    Beyond,
}

impl Distance {
    fn between(one: &Zone, other: &Zone) -> Distance {
        match (one == other, one.region() == other.region()) {
            (true, _) => Distance::SameZone,
            (_, true) => Distance::SameRegion,
            _ => Distance::Beyond,
        }
    }
}

/// The controller chosen, and what is known of all. Until the first one answers, each is asked
/// for everything.
#[derive(Clone, Debug, Default)]
pub(crate) struct Source {
    chosen: Option<Addr>,
    /// When each answered last.
    answered: BTreeMap<Addr, Mono>,
    /// By which of its times each has told heartbeats.
    told: BTreeMap<Addr, Mono>,
    /// Since when items are lacking and none came.
    lacking: Option<Mono>,
}

impl Source {
    /// Whether it is to send everything.
    pub(crate) fn is(&self, controller: &Addr) -> bool {
        self.chosen.is_none_or(|chosen| chosen == *controller)
    }

    /// Heartbeats up to this time of its own were told by it.
    pub(crate) fn heard(&self, controller: &Addr) -> Mono {
        self.told.get(controller).copied().unwrap_or_default()
    }

    pub(crate) fn replied(&mut self, now: Mono, from: Addr, reply: &Reply) {
        self.answered.insert(from, now);
        if let Some(at) = reply.at {
            self.told.insert(from, at);
        }
    }

    /// Items came, or none are lacking; or some still are.
    pub(crate) fn note_missing_items(&mut self, now: Mono, lacking: bool, came: bool) {
        let since = self.lacking.filter(|_| !came).unwrap_or(now);
        self.lacking = lacking.then_some(since);
    }

    /// Takes the nearest one that answers, and of those an own one for each follower; not while
    /// the one chosen before is sending, unless that does not get on.
    pub(crate) fn choose(&mut self, now: Mono, env: &FollowerEnv, members: &[Member]) {
        let silent = |m: &Member| self.answered.get(&m.addr).is_none_or(|last| now - *last > SILENCE);
        let is_chosen = |m: &&Member| Some(m.addr) == self.chosen;
        let lasts = members.iter().find(is_chosen).is_some_and(|m| !silent(m));
        let stuck = self.lacking.is_some_and(|since| now - since > STUCK);
        if lasts && self.lacking.is_some() && !stuck {
            return;
        }
        let place =
            |m: &&Member| (Distance::between(&env.zone, &m.zone), primitives::hash(&(env.id, m.addr)));
        let passed_by = |m: &&Member| stuck && is_chosen(m);
        let good = members.iter().filter(|m| !silent(m) && !passed_by(m));
        if let Some(next) = good.min_by_key(place).filter(|m| !is_chosen(m)) {
            self.chosen = Some(next.addr);
            self.lacking = self.lacking.map(|_| now);
        }
    }
}
