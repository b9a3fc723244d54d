//! Founding a deployment with listed controllers, and replacing a controller.
use crate::controller::Controller;
use caesar::MemberId;
use control_state::*;
use primitives::{Addr, Mono, Span};

/// How long an announcement of an unjoined controller is accepted for a replacement.
const ANNOUNCEMENT_VALIDITY: Span = Span::secs(5);
/// Minimum time between a proposed era end and a proposed replacement.
const REPLACEMENT_INTERVAL: Span = Span::secs(2);

impl Controller {
    /// Handles the announcement of an unjoined controller.
    pub(crate) fn on_unjoined(&mut self, now: Mono, newcomer: Member, out: &mut Vec<Out>) {
        let (addr, birth) = (newcomer.addr, newcomer.birth);
        self.unjoined.insert(addr, (newcomer.clone(), now));
        self.send_membership(addr, out);
        if self.consensus.is_none() {
            return self.found_once_all_present(now, out);
        }
        if self.base.member_at(addr, birth).is_some() {
            self.offer_snapshot(now, addr, out);
        } else if self.env.open.is_none() && self.base.members.iter().any(|m| m.addr == addr) {
            // Its disk was lost: replace it at the same address under a new id.
            self.propose_replacement(now, addr, newcomer, out);
        }
    }

    /// Starts the first era once every listed controller has announced the incarnation of its disk.
    /// None of them decides anything before that.
    fn found_once_all_present(&mut self, now: Mono, out: &mut Vec<Out>) {
        let all_present = self.env.seeds.iter().all(|s| self.unjoined.contains_key(s));
        if !(self.env.found && all_present && self.base.era == Era(0)) {
            return;
        }
        let mut members: Vec<Member> =
            self.env.seeds.iter().filter_map(|s| self.unjoined.get(s)).map(|(m, _)| m.clone()).collect();
        members.push(self.member(MemberId(0)));
        members.sort_by_key(|m| m.addr);
        members.dedup_by_key(|m| m.addr);
        members.iter_mut().enumerate().for_each(|(i, m)| m.member_id = MemberId(i as u16));
        let state = ControlState::default().cut(&members, Era(0), 0);
        self.enter(now, state, out);
        self.offer_founding_snapshot(now, out);
    }

    /// The other controllers may have missed an announcement, so they are offered the first state.
    fn offer_founding_snapshot(&mut self, now: Mono, out: &mut Vec<Out>) {
        let seeds = self.env.seeds.clone();
        seeds.into_iter().for_each(|s| self.offer_snapshot(now, s, out));
    }

    /// Proposes to replace a controller on an operator's request. Refused without a quorum, if
    /// `old` is no member's address, or if `new` has not announced itself recently.
    pub(crate) fn replace(&mut self, now: Mono, old: Addr, new: Addr, out: &mut Vec<Out>) -> NodeReply {
        let is_member = self.base.members.iter().any(|m| m.addr == old);
        let newcomer =
            self.unjoined.get(&new).filter(|(_, t)| now - *t < ANNOUNCEMENT_VALIDITY).map(|(m, _)| m.clone());
        match (is_member, newcomer) {
            _ if !self.connected(now) => NodeReply::Unavailable("no quorum of controllers in reach"),
            (false, _) => NodeReply::Unavailable("no member controller has the old address"),
            (_, None) => {
                NodeReply::Unavailable("no unjoined controller has announced itself from the new address")
            }
            (true, Some(newcomer)) => {
                self.propose_replacement(now, old, newcomer, out);
                NodeReply::Acknowledged
            }
        }
    }

    /// Proposes an era in which `new` replaces the member at `old`, unless an era end was proposed
    /// less than `REPLACEMENT_INTERVAL` ago.
    fn propose_replacement(&mut self, now: Mono, old: Addr, new: Member, out: &mut Vec<Out>) {
        if self.era_end_proposed_at.is_some_and(|t| now - t < REPLACEMENT_INTERVAL) {
            return;
        }
        self.count("swaps");
        out.push(Out::Note("proposing to replace a controller"));
        let member_id = MemberId(self.state.next_member_id);
        let replace =
            |m: &Member| if m.addr == old { Member { member_id, ..new.clone() } } else { m.clone() };
        let members: Vec<Member> = self.state.members.iter().map(replace).collect();
        self.propose_next_era(now, members, out);
    }
}
