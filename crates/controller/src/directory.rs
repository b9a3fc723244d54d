//! Where the members are, for controllers that are not among them or lost touch with them.
//!
//! A process starts with any three seeds. None of them need be the leader, which alone gives
//! seats, nor a member at all.
//!
//! Invariant: whoever needs a seat comes to know every member of the latest membership that any
//! of its seeds knows, for every controller answers with the membership it knows.
use crate::controller::Controller;
use caesar::MemberId;
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::collections::BTreeSet;

/// How often a member that is out of contact asks for a later membership.
const SEARCH: Span = Span::ms(500);

/// A disk that counts has no seat for so long: somebody is to look into it, and again after that.
const SEATLESS: Span = Span::secs(10);

/// The latest membership that another controller told of.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    era: Era,
    members: Vec<Member>,
}

impl Directory {
    fn note(&mut self, era: Era, members: Vec<Member>) {
        if era > self.era {
            *self = Directory { era, members };
        }
    }
}

impl Controller {
    /// The latest membership known here: this disk's own, or one that was told.
    pub(crate) fn latest_membership(&self) -> (Era, &[Member]) {
        let (own, told) = (&self.base, &self.directory);
        if told.era > own.era {
            (told.era, &told.members)
        } else {
            (own.era, &own.members)
        }
    }

    pub(crate) fn on_membership(&mut self, era: Era, members: Vec<Member>) {
        self.directory.note(era, members);
    }

    /// A controller that looks for the members learns where they are.
    pub(crate) fn send_membership(&self, to: Addr, out: &mut Vec<Out>) {
        let (era, members) = self.latest_membership();
        if to != self.env.addr && !members.is_empty() {
            out.push(Out::Send(to, Msg::Membership(era, members.to_vec())));
        }
    }

    /// A follower that turns to one without a seat learns where the seats are.
    pub(crate) fn redirect_subscriber(&mut self, to: Addr, s: &Sub, out: &mut Vec<Out>) {
        let (era, members) = self.latest_membership();
        if members.is_empty() {
            return;
        }
        let (members, feed, got) = (members.to_vec(), s.feed, s.got);
        let (items, announced) = (vec![], vec![]);
        let n = Update { feed, from: got, to: got, full: false, items, announced, era, members, reply: None };
        out.push(Out::Send(to, Msg::Update(Box::new(n))));
    }

    /// Seeds, and the members it knows of.
    fn whom_to_ask(&self) -> BTreeSet<Addr> {
        let members = self.latest_membership().1.iter().chain(&self.base.members).map(|m| m.addr);
        self.env.seeds.iter().copied().chain(members).filter(|a| *a != self.env.addr).collect()
    }

    /// Without a seat: shows itself to the seeds, and to the members it knows of.
    pub(crate) fn announce_unjoined(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.consensus.is_none() && !self.is_relay_only() && !self.watch.stopping {
            let shown = Msg::Unjoined(self.member(MemberId(0)));
            out.extend(self.whom_to_ask().into_iter().map(|a| Out::Send(a, shown.clone())));
            self.confirm_snapshot(out);
            if now - self.started >= SEATLESS && self.due("seatless", SEATLESS, now) {
                out.push(Out::Alarm(
                    "this disk has had no seat for long: the loss of others may be one too many",
                ));
            }
        }
    }

    /// With a seat and out of contact: the members that this disk knows may all have been
    /// replaced while it was away.
    pub(crate) fn search_members(&mut self, now: Mono, out: &mut Vec<Out>) {
        let lost = self.consensus.is_some() && !self.may_decide(now);
        if lost && self.due("search", SEARCH, now) {
            let wish = Msg::WantSnapshot(self.base.era, self.birth);
            out.extend(self.whom_to_ask().into_iter().map(|a| Out::Send(a, wish.clone())));
        }
    }
}
