//! Leaving in order: a controller that is told to stop takes nothing new, holds no
//! leadership, asks for its seat to be given away, and has nothing left that only it knows.
//!
//! Invariant: it is done only once every change it applied is known to be applied by a
//! classic quorum, and its own proposals are concluded.
use crate::controller::Controller;
use crate::membership_plan::min_members;
use control_state::*;
use primitives::{Mono, Span};

/// How often the word of leaving is repeated.
const REPEAT: Span = Span::ms(100);

impl Controller {
    /// Told to stop; asked again until nothing is in hand.
    pub(crate) fn drain(&mut self, now: Mono, out: &mut Vec<Out>) -> Health {
        if !self.watch.stopping {
            self.watch.stopping = true;
            out.push(Out::Note("leaving"));
        }
        self.announce_leaving(now, out);
        let waits = self.may_be_let_go(now) as usize;
        let in_hand = (self.pending.len() + self.unconfirmed.len() + waits) as u64;
        Health { in_hand, ..self.health(now) }
    }

    pub(crate) fn announce_leaving(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.watch.stopping && self.consensus.is_some() && self.due("leaving", REPEAT, now) {
            let member_id = self.member_id;
            self.watch.note_leaving(member_id, now);
            let others = self.base.members.iter().filter(|m| m.member_id != member_id);
            out.extend(others.map(|m| Out::Send(m.addr, Msg::Leaving(member_id))));
        }
    }

    /// The others can do without this member, or have a newcomer for its seat, and one of
    /// them stays to see to it. Otherwise it keeps the seat: it may be back within seconds.
    fn may_be_let_go(&self, now: Mono) -> bool {
        let Some(open) = self.env.open.filter(|_| self.consensus.is_some()) else { return false };
        let needless = self.base.members.len() > min_members(open.losses);
        let one_stays = self.base.members.iter().any(|m| !self.watch.leaves(m.member_id));
        self.connected(now) && one_stays && (needless || self.hears_newcomer(now))
    }

    pub(crate) fn on_leaving(&mut self, now: Mono, member_id: caesar::MemberId) {
        if self.base.member(member_id).is_some() {
            self.watch.note_leaving(member_id, now);
        }
    }
}
