//! Origins that say they leave: answered once no edge that serves asks them any more.
//!
//! Invariant: an answer rests on a command decided after the call and in force, or on one
//! that this controller itself knows to be in force. That the state *here* shows an origin
//! leaving, or does not know it, proves neither.
use crate::controller::Controller;
use crate::heartbeats::ReceivedHeartbeat;
use crate::pending::Asked;
use control_state::*;
use primitives::{Addr, Birth, Mono, Token};

impl Controller {
    /// An origin drains: this life at this address is asked nothing new.
    pub(crate) fn drain_origin(
        &mut self,
        now: Mono,
        token: Token,
        beat: OriginHeartbeat,
        out: &mut Vec<Out>,
    ) {
        let (addr, birth) = (beat.addr, beat.birth);
        if self.drain_in_force(addr, birth) {
            return out.push(Out::Tell(token, NodeReply::Acknowledged));
        }
        if self.state.origin(&addr).is_some() || !self.is_latest_incarnation(addr, birth) {
            return self.submit_unless_pending(now, token, Op::Drain(addr, birth), out);
        }
        self.register_leaving(now, token, beat, out);
    }

    /// Unknown here, it may be on its way into the state: it is entered as leaving, and
    /// drained if somebody was faster, by one command.
    fn register_leaving(&mut self, now: Mono, token: Token, beat: OriginHeartbeat, out: &mut Vec<Out>) {
        let drain = Op::Drain(beat.addr, beat.birth);
        if self.join_pending(token, &drain) {
            return;
        }
        let addr = beat.addr;
        let origin = Origin { standing: Standing::Leaving, ..Origin::of(beat) };
        let asked = |op, token| Asked::new(Change { id: None, op }, token);
        let both = vec![asked(Op::Register(addr, origin), None), asked(drain, Some(token))];
        self.propose(now, both, out);
    }

    fn drain_in_force(&self, addr: Addr, birth: Birth) -> bool {
        let leaving = |o: &Origin| o.birth == birth && o.standing == Standing::Leaving;
        self.drained.get(&addr) == Some(&birth) && self.state.origin(&addr).is_some_and(leaving)
    }

    /// A change of which a quorum reports that it is in force.
    pub(crate) fn note_drained(&mut self, change: &Change) {
        if let Op::Drain(addr, birth) = change.op {
            let state = &self.state;
            self.drained.retain(|a, b| state.origin(a).is_some_and(|o| o.birth == *b));
            self.drained.insert(addr, birth);
        }
    }

    /// An origin's last word, by the name of its life. Where the name is not known, the
    /// agreed order decides whether anybody has it.
    pub(crate) fn sign_off(&mut self, now: Mono, token: Token, tag: &str, out: &mut Vec<Out>) {
        let known = self.state.origin_by_tag(tag);
        let heard = self
            .beats
            .values()
            .map(ReceivedHeartbeat::beat)
            .find(|b| b.tag == tag)
            .map(|b| (b.addr, b.birth));
        let op = match known.or(heard) {
            Some((addr, birth)) => Op::SignOff(addr, birth),
            None => Op::SignOffName(tag.to_string()),
        };
        self.submit_unless_pending(now, token, op, out);
    }
}
