//! Origins: lookup by the name that an incarnation gives itself, draining and deregistration.
use crate::items::*;
use crate::state::ControlState;
use crate::verdict::{Verdict, Void};
use primitives::{Addr, Birth};

impl Origin {
    /// The origin that an `OriginHeartbeat` describes, as serving.
    pub fn of(origin_heartbeat: OriginHeartbeat) -> Origin {
        Origin {
            svc: origin_heartbeat.svc,
            birth: origin_heartbeat.birth,
            zone: origin_heartbeat.zone,
            cap: origin_heartbeat.cap,
            tag: origin_heartbeat.tag,
            standing: Standing::Serving,
        }
    }
}

impl ControlState {
    /// Address and incarnation of the origin that gives itself this name.
    pub fn origin_by_tag(&self, name: &str) -> Option<(Addr, Birth)> {
        self.items.iter().find_map(|(key, item)| match (key, &item.body) {
            (Key::Origin(addr), Some(Body::Origin(origin))) if origin.tag == name => {
                Some((*addr, origin.birth))
            }
            _ => None,
        })
    }

    pub(crate) fn drain(&mut self, addr: Addr, birth: Birth) -> Verdict {
        match self.origin(&addr).filter(|origin| origin.birth == birth).cloned() {
            None => Verdict::Void(Void::OtherLife),
            Some(origin) if origin.standing == Standing::Leaving => Verdict::Void(Void::NothingNew),
            Some(origin) => {
                let drained = Origin { standing: Standing::Leaving, ..origin };
                self.put(Key::Origin(addr), Some(Body::Origin(drained)))
            }
        }
    }

    /// A repeated deregistration changes nothing: each change is sent to every edge, and delays the
    /// changes that wait to be in force.
    pub(crate) fn end_registration(&mut self, addr: Addr, birth: Birth) -> Verdict {
        self.gone.insert(addr, birth);
        match self.origin(&addr) {
            None => Verdict::Void(Void::NothingNew),
            Some(origin) if origin.birth != birth => Verdict::Void(Void::OtherLife),
            Some(_) => self.put(Key::Origin(addr), None),
        }
    }

    /// Ends the registration of the origin that has this name at this point in the order of changes.
    pub(crate) fn deregister_by_name(&mut self, name: &str) -> Verdict {
        match self.origin_by_tag(name) {
            Some((addr, birth)) => self.end_registration(addr, birth),
            None => Verdict::Void(Void::Absent),
        }
    }
}
