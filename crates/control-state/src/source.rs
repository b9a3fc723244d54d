//! Which controller a follower has items and heartbeats from; of the others it wants leases.
use crate::follow::FollowEnv;
use crate::items::{Member, Zone};
use crate::msg::Reply;
use primitives::{Addr, Mono, Span};
use std::collections::BTreeMap;

/// A controller that has not answered what it was asked so long ago is not relied on.
const SILENCE: Span = Span::ms(500);

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

/// The controller chosen, and what is known of all. Until one is known to answer, each is asked
/// for everything.
#[derive(Clone, Debug, Default)]
pub(crate) struct Source {
    chosen: Option<Addr>,
    /// When each was asked what it answered last.
    answered: BTreeMap<Addr, Mono>,
    /// By which of its times each has told heartbeats.
    told: BTreeMap<Addr, Mono>,
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

    pub(crate) fn replied(&mut self, from: Addr, reply: &Reply) {
        self.answered.insert(from, reply.ask);
        if let Some(at) = reply.at {
            self.told.insert(from, at);
        }
    }

    fn answers(&self, now: Mono, controller: &Addr) -> bool {
        self.answered.get(controller).is_some_and(|asked| now - *asked <= SILENCE)
    }

    /// Stays with the one chosen for as long as it answers; else takes the nearest that does, and
    /// of those an own one for each follower.
    pub(crate) fn choose(&mut self, now: Mono, env: &FollowEnv, members: &[Member]) {
        let good = |m: &&Member| self.answers(now, &m.addr);
        let stays = members.iter().filter(good).any(|m| Some(m.addr) == self.chosen);
        if !stays {
            let place =
                |m: &&Member| (Distance::between(&env.zone, &m.zone), primitives::hash(&(env.id, m.addr)));
            self.chosen = members.iter().filter(good).min_by_key(place).map(|m| m.addr);
        }
    }
}
