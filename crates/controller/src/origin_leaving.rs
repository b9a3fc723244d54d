//! Draining and deregistration of origins: answered once no serving edge sends the origin requests.
//!
//! Invariant: an answer rests on a command that was decided after the call and is in force, or on one
//! that this controller knows to be in force. That the origin is leaving in this controller's state,
//! or is missing from it, proves neither.
use crate::controller::Controller;
use crate::heartbeats::ReceivedHeartbeat;
use crate::pending::PendingChange;
use control_state::*;
use primitives::{Addr, Birth, Mono, Token};

impl Controller {
    /// Drains an origin: this incarnation at this address gets no new requests.
    pub(crate) fn drain_origin(
        &mut self,
        now: Mono,
        token: Token,
        origin_heartbeat: OriginHeartbeat,
        out: &mut Vec<Out>,
    ) {
        let (addr, birth) = (origin_heartbeat.addr, origin_heartbeat.birth);
        if self.drain_in_force(addr, birth) {
            return out.push(Out::Tell(token, NodeReply::Acknowledged));
        }
        if self.state.origin(&addr).is_some() || !self.is_latest_incarnation(addr, birth) {
            return self.submit_unless_pending(now, token, Op::Drain(addr, birth), out);
        }
        self.register_leaving(now, token, origin_heartbeat, out);
    }

    /// Drains an origin that is not in this controller's state. A registration may be pending elsewhere,
    /// so one command registers it as leaving and, in case it is registered already, drains it.
    fn register_leaving(
        &mut self,
        now: Mono,
        token: Token,
        origin_heartbeat: OriginHeartbeat,
        out: &mut Vec<Out>,
    ) {
        let drain = Op::Drain(origin_heartbeat.addr, origin_heartbeat.birth);
        if self.join_pending(token, &drain) {
            return;
        }
        let addr = origin_heartbeat.addr;
        let origin = Origin { standing: Standing::Leaving, ..Origin::of(origin_heartbeat) };
        let change = |op, token| PendingChange::new(Change { id: None, op }, token);
        let both = vec![change(Op::Register(addr, origin), None), change(drain, Some(token))];
        self.propose(now, both, out);
    }

    /// Whether this incarnation is drained and that is known to be in force.
    fn drain_in_force(&self, addr: Addr, birth: Birth) -> bool {
        let leaving = |o: &Origin| o.birth == birth && o.standing == Standing::Leaving;
        self.drained.get(&addr) == Some(&birth) && self.state.origin(&addr).is_some_and(leaving)
    }

    /// Records a drain that a quorum reported as in force, and forgets those of outdated incarnations.
    pub(crate) fn note_drained(&mut self, change: &Change) {
        if let Op::Drain(addr, birth) = change.op {
            let state = &self.state;
            self.drained.retain(|a, b| state.origin(a).is_some_and(|o| o.birth == *b));
            self.drained.insert(addr, birth);
        }
    }

    /// Deregisters the origin incarnation with this tag. If the tag is unknown here, a command by tag
    /// finds out at its place in the agreed order whether any origin has it.
    pub(crate) fn deregister_origin(&mut self, now: Mono, token: Token, tag: &str, out: &mut Vec<Out>) {
        let registered = self.state.origin_by_tag(tag);
        let heard = self
            .beats
            .values()
            .map(ReceivedHeartbeat::beat)
            .find(|b| b.tag == tag)
            .map(|b| (b.addr, b.birth));
        let op = match registered.or(heard) {
            Some((addr, birth)) => Op::SignOff(addr, birth),
            None => Op::SignOffName(tag.to_string()),
        };
        self.submit_unless_pending(now, token, op, out);
    }
}
