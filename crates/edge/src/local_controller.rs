//! The controller that runs in the same process as this edge.
//!
//! One without a disk is no member, and members address only the seeds of their own settings. New
//! machines and followers may have it as their only seed, so it must know who the members are; the
//! edge beside it follows them all the time and passes that on.
use crate::edge::Edge;
use control_state::*;
use primitives::{Mono, Span};

/// How often an unchanged membership is sent_at again: messages get lost.
const MEMBERSHIP_INTERVAL: Span = Span::secs(1);

/// What the neighbouring controller was sent_at last.
#[derive(Debug, Default)]
pub(crate) struct LocalControllerState {
    era: Era,
    sent_at: Mono,
}

impl Edge {
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
