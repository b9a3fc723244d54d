//! Machines out of contact with all others, and what they must not do meanwhile.
use crate::open::{edit, service_entry};
use crate::people::Seen;
use crate::people::Want;
use crate::stage::addr;
use crate::world::World;
use control_state::*;
use primitives::{Addr, Mono, Span};

/// How a machine is out of contact with all others.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Trouble {
    BothWays,
    /// It hears, and nobody hears it.
    Mute,
    /// It is heard, and hears nobody.
    Deaf,
    Frozen,
}

pub const TROUBLES: [Trouble; 4] = [Trouble::BothWays, Trouble::Mute, Trouble::Deaf, Trouble::Frozen];

/// By how much a beat's acknowledgement may follow the loss of contact: the lease that
/// stands for it, and what was on its way.
const BEAT_GRACE: Span = Span::ms(700);
/// The same for what is agreed. What was proposed just before may be decided by the others, and
/// a mute controller hears that it is in force; after a second it has let its callers go.
const ORDER_GRACE: Span = Span::ms(1100);

/// The addresses of a machine's controller, edge and ledger.
pub fn machine(m: u8) -> [Addr; 3] {
    [addr(m, 1), addr(m, 2), addr(m, 3)]
}

/// The next version of a service that no lane uses.
pub fn next_edit(version: u64) -> Vec<Edit> {
    let entry = ServiceEntry { said: version.to_string(), ..service_entry(None) };
    vec![edit(Section::Services, "spare", version, Some(Body::Service(entry)))]
}

impl World {
    pub fn lose_contact(&mut self, m: u8, trouble: Trouble) {
        let all: Vec<Addr> = self.procs.keys().copied().collect();
        for here in machine(m).into_iter().filter(|a| all.contains(a)) {
            if trouble == Trouble::Frozen {
                self.freeze(here);
                continue;
            }
            for there in all.iter().copied().filter(|a| !machine(m).contains(a)) {
                if trouble != Trouble::Mute {
                    self.cuts.insert((there, here));
                }
                if trouble != Trouble::Deaf {
                    self.cuts.insert((here, there));
                }
            }
        }
    }

    pub fn regain_contact(&mut self, m: u8, trouble: Trouble) {
        if trouble == Trouble::Frozen {
            machine(m).into_iter().for_each(|a| self.thaw(a));
        }
        self.cuts.retain(|(a, b)| !machine(m).contains(a) && !machine(m).contains(b));
    }

    /// From now on every acknowledged drain is held against whoever still asks its origin.
    pub fn hold_drains(&mut self, span: Span) {
        for i in 0..span.as_ms() / 20 {
            self.later(Span::ms(i * 20), |w| {
                let now = w.now;
                let acknowledged: Vec<Addr> = w.signed_off.iter().copied().collect();
                for origin in acknowledged {
                    w.blooms.get_mut(&origin).into_iter().for_each(|b| b.left = b.left.or(Some(now)));
                }
            });
        }
    }

    /// Live origins that serve must stand in the state of that controller at all times.
    pub fn watch_origins(&mut self, controller: Addr, span: Span) {
        for i in 0..span.as_ms() / 100 {
            self.later(Span::ms(i * 100), move |w| {
                let Some(state) = w.controller(controller).map(|c| c.state().clone()) else { return };
                let missing: Vec<Addr> = w
                    .blooms
                    .iter()
                    .filter(|(_, b)| b.up && b.mood == Mood::Serving)
                    .filter(|(a, b)| state.origin(a).is_none_or(|o| o.birth != b.birth))
                    .map(|(a, _)| *a)
                    .collect();
                for origin in missing {
                    w.rules.broke("a live origin was swept out", origin.to_string());
                }
            });
        }
    }

    /// What that machine confirmed after it had lost contact and before it was back; its
    /// controller, which takes in its backlog then, also up to now.
    pub fn confirmed_by(&self, m: u8, lost: Mono, back: Mono) -> Vec<String> {
        let here = |a: &Addr| machine(m).contains(a);
        let agreed = |t: Mono| t > lost + ORDER_GRACE && t <= back;
        let of_control =
            |q: &Want| matches!(q, Want::Change(_) | Want::Table | Want::Read | Want::SignOff(_));
        let confirms = |s: &&Seen| {
            let refused = matches!(s.receipt, NodeReply::Unavailable(_));
            here(&s.at) && agreed(s.told) && of_control(&s.want) && !refused
        };
        let told =
            self.seen.iter().filter(confirms).map(|s| format!("{} told {:?}: {:?}", s.at, s.want, s.receipt));
        let controller = addr(m, 1);
        let acknowledged = |t: Mono| t > lost + BEAT_GRACE;
        let counts = |a: &Addr, t: Mono| here(a) && acknowledged(t) && (t <= back || *a == controller);
        let taken = self.beats_taken.iter().filter(|(a, t)| counts(a, **t));
        told.chain(taken.map(|(a, _)| format!("{a} acknowledged a beat"))).collect()
    }
}
