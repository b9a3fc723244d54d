//! Contact with the other members, proved by echoes.
//!
//! Every relay of beats carries its sender's clock and the receiver's clock as
//! the sender last heard it. Such an echo proves a round trip: whatever this
//! controller sent at the echoed moment has arrived, and the answer has come back. That a
//! member is *heard* proves one direction only, and of a message that waited out a freeze
//! not even when it was sent.
use crate::controller::Controller;
use caesar::{classic_quorum, MemberId};
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::collections::BTreeMap;

/// A beat is acknowledged by contact no older than this: an origin that goes on
/// reporting here is then known to a majority well before it counts as silent.
const BEAT_LEASE: Span = Span::ms(500);

/// For each member the latest moment of this controller's own clock that it has heard.
#[derive(Debug)]
pub(crate) struct Contact {
    started: Mono,
    echoes: BTreeMap<Addr, Mono>,
}

impl Contact {
    pub(crate) fn new(now: Mono) -> Contact {
        Contact { started: now, echoes: BTreeMap::new() }
    }

    /// A member has heard this controller's clock say `echo`. What an earlier process sent
    /// proves nothing of this one.
    pub(crate) fn note(&mut self, now: Mono, from: Addr, echo: Mono) {
        if echo < self.started || echo > now {
            return;
        }
        let latest = self.echoes.entry(from).or_insert(echo);
        *latest = echo.max(*latest);
    }

    fn reached(&self, member: &Addr) -> Option<Mono> {
        self.echoes.get(member).copied()
    }

    /// The latest moment as of which a majority of the members, `me` counted as of now, has
    /// heard this controller.
    fn majority(&self, now: Mono, me: Addr, members: &[Member]) -> Option<Mono> {
        let heard = |m: &Member| if m.addr == me { Some(now) } else { self.reached(&m.addr) };
        let mut moments: Vec<Mono> = members.iter().filter_map(heard).collect();
        moments.sort();
        moments.into_iter().rev().nth(classic_quorum(members.len()) - 1)
    }
}

impl Controller {
    /// In contact with enough members to decide anything, as of a moment ago.
    pub(crate) fn connected(&self, now: Mono) -> bool {
        self.in_contact(now, self.env.pace.suspect_after)
    }

    /// Whether it is worth trying to decide something: in contact, or seated so lately that
    /// contact could not be proved yet. Nothing is confirmed by it.
    pub(crate) fn may_decide(&self, now: Mono) -> bool {
        let seated_lately = now - self.seated < self.env.pace.suspect_after;
        self.connected(now) || (self.consensus.is_some() && seated_lately)
    }

    /// Whether a beat may be acknowledged.
    pub(crate) fn may_acknowledge_heartbeats(&self, now: Mono) -> bool {
        self.in_contact(now, BEAT_LEASE)
    }

    fn in_contact(&self, now: Mono, lease: Span) -> bool {
        if self.consensus.is_none() {
            return false;
        }
        if !self.env.contact_by_echo {
            return self.hears_majority(now);
        }
        let latest = self.contact.majority(now, self.env.addr, &self.base.members);
        latest.is_some_and(|t| now - t < lease)
    }

    /// A round trip to that member ended lately.
    pub(crate) fn reaches(&self, now: Mono, member_id: MemberId) -> bool {
        if !self.env.contact_by_echo {
            return self.hears(now, member_id);
        }
        let member = self.base.member(member_id);
        let latest = member.and_then(|m| self.contact.reached(&m.addr));
        latest.is_some_and(|t| now - t < self.env.pace.suspect_after)
    }

    /// Some message of that member in this era was taken in lately.
    pub(crate) fn hears(&self, now: Mono, member_id: MemberId) -> bool {
        let heard = self.consensus.as_ref().and_then(|m| m.last_heard_from(member_id));
        heard.is_some_and(|t| now - t < self.env.pace.suspect_after)
    }

    fn hears_majority(&self, now: Mono) -> bool {
        let members = &self.base.members;
        let heard = members.iter().filter(|m| m.member_id == self.member_id || self.hears(now, m.member_id));
        heard.count() >= classic_quorum(members.len())
    }

    /// Contact was lost: whoever waits is told at once that there is no clear answer. What
    /// was proposed may still be decided; what only waited in line is dropped.
    pub(crate) fn reject_waiting_callers(&mut self, now: Mono, out: &mut Vec<Out>) {
        const LOST: &str = "contact with the other controllers was lost";
        self.deny_all_readers(now, LOST, out);
        let queued = std::mem::take(&mut self.line);
        let (waiting, derived): (Vec<_>, Vec<_>) = queued.into_iter().partition(|a| !a.tokens.is_empty());
        self.line = derived;
        let mut tokens: Vec<_> = waiting.into_iter().flat_map(|a| a.tokens).collect();
        for asked in self.pending.values_mut().flat_map(|p| &mut p.asked) {
            tokens.append(&mut asked.tokens);
        }
        out.extend(tokens.into_iter().map(|t| Out::Tell(t, NodeReply::Unavailable(LOST))));
    }
}
