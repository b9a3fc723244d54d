//! Addresses of the members, for controllers that are not members or lost contact with them.
//!
//! A process starts with any three seeds. None of them has to be the leader, which alone adds members,
//! or a member at all.
//!
//! Invariant: a controller that wants to join learns every member of the latest membership that any
//! of its seeds knows, because every controller answers with the membership that it knows.
use crate::controller::Controller;
use caesar::MemberId;
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::collections::BTreeSet;

/// How often a member without contact asks for a later membership.
const SEARCH_INTERVAL: Span = Span::ms(500);

/// A controller with storage that has not been a member for this long raises an alarm, and again each time
/// this has passed.
const NOT_MEMBER_ALARM_AFTER: Span = Span::secs(10);

/// The latest membership that another controller reported.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    era: Era,
    members: Vec<Member>,
}

impl Directory {
    /// Keeps the later one of this membership and the one known so far.
    fn note(&mut self, era: Era, members: Vec<Member>) {
        if era > self.era {
            *self = Directory { era, members };
        }
    }
}

impl Controller {
    /// The latest membership known here: its own, or one that another controller reported.
    pub(crate) fn latest_membership(&self) -> (Era, &[Member]) {
        let (own, reported) = (&self.base, &self.directory);
        if reported.era > own.era {
            (reported.era, &reported.members)
        } else {
            (own.era, &own.members)
        }
    }

    /// Another controller reports the membership that it knows.
    pub(crate) fn on_membership(&mut self, era: Era, members: Vec<Member>) {
        self.directory.note(era, members);
    }

    /// Sends the latest known membership to a controller that looks for the members.
    pub(crate) fn send_membership(&self, to: Addr, out: &mut Vec<Out>) {
        let (era, members) = self.latest_membership();
        if to != self.env.addr && !members.is_empty() {
            out.push(Out::Send(to, Msg::Membership(era, members.to_vec())));
        }
    }

    /// Sends the latest known membership to a subscriber, as this controller is not a member itself.
    pub(crate) fn redirect_subscriber(&mut self, to: Addr, request: &Sub, out: &mut Vec<Out>) {
        let (era, members) = self.latest_membership();
        if members.is_empty() {
            return;
        }
        let (members, feed, got) = (members.to_vec(), request.feed, request.got);
        let (items, announced) = (vec![], vec![]);
        let update =
            Update { feed, from: got, to: got, full: false, items, announced, era, members, reply: None };
        out.push(Out::Send(to, Msg::Update(Box::new(update))));
    }

    /// Addresses of the seeds and of all members known here, without its own.
    fn search_targets(&self) -> BTreeSet<Addr> {
        let members = self.latest_membership().1.iter().chain(&self.base.members).map(|m| m.addr);
        self.env.seeds.iter().copied().chain(members).filter(|a| *a != self.env.addr).collect()
    }

    /// While it is not a member: announces itself to the seeds and the known members.
    pub(crate) fn announce_unjoined(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.consensus.is_none() && !self.is_relay_only() && !self.watch.stopping {
            let announcement = Msg::Unjoined(self.member(MemberId(0)));
            out.extend(self.search_targets().into_iter().map(|a| Out::Send(a, announcement.clone())));
            self.confirm_snapshot(out);
            if now - self.started >= NOT_MEMBER_ALARM_AFTER
                && self.due("seatless", NOT_MEMBER_ALARM_AFTER, now)
            {
                out.push(Out::Alarm(
                    "not a member for 10 s or more: the deployment may survive fewer losses than configured",
                ));
            }
        }
    }

    /// While it is a member without contact: asks for a later membership, since all members that it
    /// knows may have been replaced while it was away.
    pub(crate) fn search_members(&mut self, now: Mono, out: &mut Vec<Out>) {
        let out_of_contact = self.consensus.is_some() && !self.may_decide(now);
        if out_of_contact && self.due("search", SEARCH_INTERVAL, now) {
            let query = Msg::WantSnapshot(self.base.era, self.birth);
            out.extend(self.search_targets().into_iter().map(|a| Out::Send(a, query.clone())));
        }
    }
}
