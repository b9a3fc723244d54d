//! Graceful shutdown: a controller that is told to stop accepts no new requests, holds no leadership,
//! asks the others to replace it, and leaves nothing that only it knows.
//!
//! Invariant: it is finished only once every change that it applied is known to be applied by a
//! classic quorum, and its own proposals are concluded.
use crate::controller::Controller;
use crate::membership_plan::min_members;
use control_state::*;
use primitives::{Mono, Span};

/// How often a leaving controller tells the other members.
const ANNOUNCE_INTERVAL: Span = Span::ms(100);

impl Controller {
    /// Starts the shutdown and reports its state. Called again until `in_hand` is zero.
    pub(crate) fn drain(&mut self, now: Mono, out: &mut Vec<Out>) -> Health {
        if !self.watch.stopping {
            self.watch.stopping = true;
            out.push(Out::Note("leaving"));
        }
        self.announce_leaving(now, out);
        let awaits_replacement = self.can_be_replaced(now) as usize;
        let in_hand = (self.pending.len() + self.unconfirmed.len() + awaits_replacement) as u64;
        Health { in_hand, ..self.health(now) }
    }

    /// Tells the other members at intervals that this member is leaving.
    pub(crate) fn announce_leaving(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.watch.stopping && self.consensus.is_some() && self.due("leaving", ANNOUNCE_INTERVAL, now) {
            let member_id = self.member_id;
            self.watch.note_leaving(member_id, now);
            let others = self.base.members.iter().filter(|m| m.member_id != member_id);
            out.extend(others.map(|m| Out::Send(m.addr, Msg::Leaving(member_id))));
        }
    }

    /// Whether to wait until this member is removed or replaced: the others suffice without it, or a
    /// newcomer can take its place, and at least one member that stays can do it. Otherwise it remains
    /// a member while it is down, as it may be back within seconds.
    fn can_be_replaced(&self, now: Mono) -> bool {
        let Some(open) = self.env.open.filter(|_| self.consensus.is_some()) else { return false };
        let dispensable = self.base.members.len() > min_members(open.losses);
        let one_stays = self.base.members.iter().any(|m| !self.watch.leaves(m.member_id));
        self.connected(now) && one_stays && (dispensable || self.hears_newcomer(now))
    }

    /// A member announces that it is leaving.
    pub(crate) fn on_leaving(&mut self, now: Mono, member_id: caesar::MemberId) {
        if self.base.member(member_id).is_some() {
            self.watch.note_leaving(member_id, now);
        }
    }
}
