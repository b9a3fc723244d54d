//! The controller that runs in the same process as this edge.
//!
//! A controller without a disk is not a member, and members send messages only to the seeds of
//! their own settings. New machines and followers may have this controller as their only seed, so
//! it must know the members. The edge in the same process follows the membership and passes it on.
use crate::edge::Edge;
use control_state::*;
use primitives::{Mono, Span};

/// How often an unchanged membership is sent again, because messages may be lost.
const MEMBERSHIP_INTERVAL: Span = Span::secs(1);

/// The membership that was last sent to the local controller.
#[derive(Debug, Default)]
pub(crate) struct LocalControllerState {
    era: Era,
    sent_at: Mono,
}

impl Edge {
    /// Sends the membership if it changed, or if it was last sent some time ago.
    pub(crate) fn send_members_to_local_controller(&mut self, now: Mono, out: &mut Vec<Out>) {
        let Some(controller) = self.env.controller else { return };
        let era = self.follow.era;
        let is_due =
            era != self.local_controller.era || now - self.local_controller.sent_at >= MEMBERSHIP_INTERVAL;
        if is_due && !self.follow.members.is_empty() {
            self.local_controller = LocalControllerState { era, sent_at: now };
            out.push(Out::Send(controller, Msg::Membership(era, self.follow.members.clone())));
        }
    }
}
