//! What a controller shows of itself to whoever runs it.
use crate::controller::Controller;
use caesar::Kid;
use control_state::{Member, Picture};

impl Controller {
    /// This controller as a member with that id.
    pub(crate) fn member(&self, kid: Kid) -> Member {
        Member {
            kid,
            addr: self.env.addr,
            http: self.env.http,
            zone: self.env.zone.clone(),
            birth: self.birth,
        }
    }

    pub fn picture(&self) -> &Picture {
        &self.pic
    }
    /// Commands of this era known here.
    pub fn known(&self) -> usize {
        self.mach.as_ref().map_or(0, |m| m.size())
    }
    pub fn tally(&self) -> caesar::Tally {
        self.mach.as_ref().map(|m| m.tally).unwrap_or_default()
    }
    pub fn kid(&self) -> Option<Kid> {
        self.mach.as_ref().map(|_| self.kid)
    }
    /// See `caught_up`.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up()
    }
    /// Under which epoch it leads, if it does.
    pub fn leads(&self, now: primitives::Mono) -> bool {
        self.leadership.is_held(now)
    }
}
