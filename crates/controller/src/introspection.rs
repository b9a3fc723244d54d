//! Read access to a controller's state, for the process that runs it and for tests.
use crate::controller::Controller;
use caesar::MemberId;
use control_state::{ControlState, Member};

impl Controller {
    /// The record of this controller as a member with the given id.
    pub(crate) fn member(&self, member_id: MemberId) -> Member {
        Member {
            member_id,
            addr: self.env.addr,
            http: self.env.http,
            zone: self.env.zone.clone(),
            birth: self.birth,
        }
    }

    /// The control state as applied by this controller.
    pub fn state(&self) -> &ControlState {
        &self.state
    }
    /// Number of commands of the current era that this controller knows; 0 if it is not a member.
    pub fn known(&self) -> usize {
        self.consensus.as_ref().map_or(0, |m| m.size())
    }
    /// Counters of the agreement, over this membership and earlier ones; zeros if it is not a member.
    pub fn tally(&self) -> caesar::Tally {
        self.consensus.as_ref().map(|m| m.tally).unwrap_or_default()
    }
    /// Its member id, or `None` if it is not a member.
    pub fn member_id(&self) -> Option<MemberId> {
        self.consensus.as_ref().map(|_| self.member_id)
    }
    /// Whether it holds all that a classic quorum of the era held as stable at some moment after its
    /// return, so that it may lead and renew leases.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up()
    }
    /// Whether it holds the leadership at `now`.
    pub fn leads(&self, now: primitives::Mono) -> bool {
        self.leadership.is_held(now)
    }
}
