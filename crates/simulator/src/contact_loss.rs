//! Machines out of contact with all others, and what they must not confirm meanwhile.
use crate::fleet::addr;
use crate::open::{edit, service_entry};
use crate::requests::Exchange;
use crate::requests::Want;
use crate::world::World;
use control_state::*;
use primitives::{Addr, Mono, Span};

/// In which way a machine is out of contact with all others.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum ContactLoss {
    BothWays,
    /// It receives, but nothing that it sends arrives.
    Mute,
    /// What it sends arrives, but it receives nothing.
    Deaf,
    Frozen,
}

pub const CONTACT_LOSSES: [ContactLoss; 4] =
    [ContactLoss::BothWays, ContactLoss::Mute, ContactLoss::Deaf, ContactLoss::Frozen];

/// How long after the loss of contact an `OriginHeartbeat` may still be acknowledged: the duration
/// of the lease that permits it, and of messages in transit.
const HEARTBEAT_GRACE: Span = Span::ms(700);
/// The same for agreed changes. The others may decide a proposal sent just before, and a mute
/// controller learns that it is in force; after a second it has given up on its callers.
const AGREEMENT_GRACE: Span = Span::ms(1100);

/// The addresses of a machine's controller, edge and ledger.
pub fn machine(m: u8) -> [Addr; 3] {
    [addr(m, 1), addr(m, 2), addr(m, 3)]
}

/// An edit that sets the given version of a service that no route uses.
pub fn next_edit(version: u64) -> Vec<Edit> {
    let entry = ServiceEntry { said: version.to_string(), ..service_entry(None) };
    vec![edit(Section::Services, "spare", version, Some(Body::Service(entry)))]
}

impl World {
    /// Puts machine `m` out of contact with all others.
    pub fn lose_contact(&mut self, m: u8, trouble: ContactLoss) {
        let all: Vec<Addr> = self.procs.keys().copied().collect();
        for here in machine(m).into_iter().filter(|a| all.contains(a)) {
            if trouble == ContactLoss::Frozen {
                self.freeze(here);
                continue;
            }
            for there in all.iter().copied().filter(|a| !machine(m).contains(a)) {
                if trouble != ContactLoss::Mute {
                    self.cuts.insert((there, here));
                }
                if trouble != ContactLoss::Deaf {
                    self.cuts.insert((here, there));
                }
            }
        }
    }

    /// Ends what [`World::lose_contact`] began with the same arguments.
    pub fn regain_contact(&mut self, m: u8, trouble: ContactLoss) {
        if trouble == ContactLoss::Frozen {
            machine(m).into_iter().for_each(|a| self.thaw(a));
        }
        self.cuts.retain(|(a, b)| !machine(m).contains(a) && !machine(m).contains(b));
    }

    /// During `span`, treats every origin whose deregistration was acknowledged as gone, so that
    /// a request that still reaches it breaks a rule.
    pub fn hold_drains(&mut self, span: Span) {
        for i in 0..span.as_ms() / 20 {
            self.later(Span::ms(i * 20), |w| {
                let now = w.now;
                let acknowledged: Vec<Addr> = w.signed_off.iter().copied().collect();
                for origin in acknowledged {
                    w.origins.get_mut(&origin).into_iter().for_each(|b| b.left = b.left.or(Some(now)));
                }
            });
        }
    }

    /// During `span`, checks that all live, serving origins are in that controller's state.
    pub fn watch_origins(&mut self, controller: Addr, span: Span) {
        for i in 0..span.as_ms() / 100 {
            self.later(Span::ms(i * 100), move |w| {
                let Some(state) = w.controller(controller).map(|c| c.state().clone()) else { return };
                let missing: Vec<Addr> = w
                    .origins
                    .iter()
                    .filter(|(_, b)| b.up && b.mood == Mood::Serving)
                    .filter(|(a, b)| state.origin(a).is_none_or(|o| o.birth != b.birth))
                    .map(|(a, _)| *a)
                    .collect();
                for origin in missing {
                    w.rules.violated("a live origin was removed", origin.to_string());
                }
            });
        }
    }

    /// What the machine confirmed after it had lost contact and before it was back. Heartbeats
    /// that its controller acknowledged count up to now, since it works off its backlog then.
    pub fn confirmed_by(&self, m: u8, lost: Mono, back: Mono) -> Vec<String> {
        let here = |a: &Addr| machine(m).contains(a);
        let agreed = |t: Mono| t > lost + AGREEMENT_GRACE && t <= back;
        let of_control =
            |q: &Want| matches!(q, Want::Change(_) | Want::Table | Want::Read | Want::SignOff(_));
        let confirms = |s: &&Exchange| {
            let refused = matches!(s.receipt, NodeReply::Unavailable(_));
            here(&s.at) && agreed(s.answered) && of_control(&s.want) && !refused
        };
        let replies = self
            .exchanges
            .iter()
            .filter(confirms)
            .map(|s| format!("{} replied to {:?}: {:?}", s.at, s.want, s.receipt));
        let controller = addr(m, 1);
        let late_heartbeat = |t: Mono| t > lost + HEARTBEAT_GRACE;
        let counts = |a: &Addr, t: Mono| here(a) && late_heartbeat(t) && (t <= back || *a == controller);
        let acknowledging = self.heartbeats_acknowledged.iter().filter(|(a, t)| counts(a, **t));
        replies.chain(acknowledging.map(|(a, _)| format!("{a} acknowledged a beat"))).collect()
    }
}
