//! What a controller shows of itself to whoever runs it.
use crate::controller::Controller;
use caesar::MemberId;
use control_state::{ControlState, Member};

impl Controller {
    /// This controller as a member with that id.
    pub(crate) fn member(&self, member_id: MemberId) -> Member {
        Member {
            member_id,
            addr: self.env.addr,
            http: self.env.http,
            zone: self.env.zone.clone(),
            birth: self.birth,
        }
    }

    /// The control state as it is here.
    pub fn state(&self) -> &ControlState {
        &self.state
    }
    /// Commands of this era known here.
    pub fn known(&self) -> usize {
        self.consensus.as_ref().map_or(0, |m| m.size())
    }
    /// Counters of the agreement, in this membership and those before it.
    pub fn tally(&self) -> caesar::Tally {
        self.consensus.as_ref().map(|m| m.tally).unwrap_or_default()
    }
    /// Its id among the members, if it is one.
    pub fn member_id(&self) -> Option<MemberId> {
        self.consensus.as_ref().map(|_| self.member_id)
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
