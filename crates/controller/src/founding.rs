//! Founding a deployment, and letting a replaced controller in.
use crate::controller::Controller;
use caesar::MemberId;
use control_state::*;
use primitives::{Addr, Mono, Span};

impl Controller {
    pub(crate) fn on_unjoined(&mut self, now: Mono, m: Member, out: &mut Vec<Out>) {
        let (addr, birth) = (m.addr, m.birth);
        self.unjoined.insert(addr, (m.clone(), now));
        self.send_membership(addr, out);
        if self.consensus.is_none() {
            return self.maybe_found(now, out);
        }
        if self.base.member_at(addr, birth).is_some() {
            self.offer_snapshot(now, addr, out);
        } else if self.env.open.is_none() && self.base.members.iter().any(|x| x.addr == addr) {
            // Its disk was lost: it gets a new id in its old place.
            self.swap_in(now, addr, m, out);
        }
    }

    /// The first controllers of all: every one of them must be there, each with the
    /// life its disk was given, before any of them decides anything.
    fn maybe_found(&mut self, now: Mono, out: &mut Vec<Out>) {
        let all = self.env.seeds.iter().all(|s| self.unjoined.contains_key(s));
        if !(self.env.found && all && self.base.era == Era(0)) {
            return;
        }
        let mut ms: Vec<Member> =
            self.env.seeds.iter().filter_map(|s| self.unjoined.get(s)).map(|(m, _)| m.clone()).collect();
        ms.push(self.member(MemberId(0)));
        ms.sort_by_key(|m| m.addr);
        ms.dedup_by_key(|m| m.addr);
        ms.iter_mut().enumerate().for_each(|(i, m)| m.member_id = MemberId(i as u16));
        let p = ControlState::default().cut(&ms, Era(0), 0);
        self.enter(now, p, out);
        self.show_founded(now, out);
    }

    /// The others may have missed an unjoined controller.
    fn show_founded(&mut self, now: Mono, out: &mut Vec<Out>) {
        let seeds = self.env.seeds.clone();
        seeds.into_iter().for_each(|s| self.offer_snapshot(now, s, out));
    }

    pub(crate) fn replace(&mut self, now: Mono, old: Addr, new: Addr, out: &mut Vec<Out>) -> NodeReply {
        let there = self.base.members.iter().any(|m| m.addr == old);
        let heard = self.unjoined.get(&new).filter(|(_, t)| now - *t < Span::secs(5)).map(|(m, _)| m.clone());
        match (there, heard) {
            _ if !self.connected(now) => NodeReply::Unavailable("no quorum of controllers in reach"),
            (false, _) => NodeReply::Unavailable("no controller of the roster is at the old address"),
            (_, None) => NodeReply::Unavailable("no blank controller was heard from the new address"),
            (true, Some(m)) => {
                self.swap_in(now, old, m, out);
                NodeReply::Acknowledged
            }
        }
    }

    fn swap_in(&mut self, now: Mono, old: Addr, new: Member, out: &mut Vec<Out>) {
        if self.era_end_proposed_at.is_some_and(|t| now - t < Span::secs(2)) {
            return;
        }
        self.count("swaps");
        out.push(Out::Note("proposing a new controller in an old one's seat"));
        let member_id = MemberId(self.state.next_member_id);
        let swap = |m: &Member| if m.addr == old { Member { member_id, ..new.clone() } } else { m.clone() };
        let members: Vec<Member> = self.state.members.iter().map(swap).collect();
        self.propose_next_era(now, members, out);
    }
}
