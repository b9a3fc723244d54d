//! Origins by the names of their lives, and what becomes of them when they leave.
use crate::items::*;
use crate::state::{ControlState, Verdict, Void};
use primitives::{Addr, Birth};

impl Origin {
    /// As a beat describes it, serving.
    pub fn of(beat: OriginHeartbeat) -> Origin {
        Origin {
            svc: beat.svc,
            birth: beat.birth,
            zone: beat.zone,
            cap: beat.cap,
            tag: beat.tag,
            standing: Standing::Serving,
        }
    }
}

impl ControlState {
    /// Where the life of that name is, and which one it is.
    pub fn origin_by_tag(&self, name: &str) -> Option<(Addr, Birth)> {
        self.items.iter().find_map(|(key, item)| match (key, &item.body) {
            (Key::Origin(addr), Some(Body::Origin(o))) if o.tag == name => Some((*addr, o.birth)),
            _ => None,
        })
    }

    pub(crate) fn drain(&mut self, addr: Addr, birth: Birth) -> Verdict {
        match self.origin(&addr).filter(|o| o.birth == birth).cloned() {
            None => Verdict::Void(Void::OtherLife),
            Some(o) if o.standing == Standing::Leaving => Verdict::Void(Void::NothingNew),
            Some(o) => {
                let leaving = Origin { standing: Standing::Leaving, ..o };
                self.put(Key::Origin(addr), Some(Body::Origin(leaving)))
            }
        }
    }

    /// A word that is repeated changes nothing: a change goes to every edge, and holds up what
    /// waits to be in force.
    pub(crate) fn sign_off(&mut self, addr: Addr, birth: Birth) -> Verdict {
        self.gone.insert(addr, birth);
        match self.origin(&addr) {
            None => Verdict::Void(Void::NothingNew),
            Some(o) if o.birth != birth => Verdict::Void(Void::OtherLife),
            Some(_) => self.put(Key::Origin(addr), None),
        }
    }

    /// Signs off whoever has that name at this place of the order.
    pub(crate) fn sign_off_name(&mut self, name: &str) -> Verdict {
        match self.origin_by_tag(name) {
            Some((addr, birth)) => self.sign_off(addr, birth),
            None => Verdict::Void(Void::Absent),
        }
    }
}
