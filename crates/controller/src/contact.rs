//! Contact with the other members, proved by echoes.
//!
//! Every relay of heartbeats carries its sender's clock and the receiver's clock as the sender last
//! received it. Such an echo proves a round trip: what this controller sent at the echoed time has
//! arrived, and the answer has come back. A received message alone proves one direction only and, if
//! it was queued while a process was frozen, not even when it was sent.
use crate::controller::Controller;
use caesar::{classic_quorum, MemberId};
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::collections::BTreeMap;

/// Heartbeats are acknowledged only with contact to a majority more recent than this. An origin that
/// reports here is then known to a majority well before it counts as silent.
const MAX_CONTACT_AGE_FOR_HEARTBEATS: Span = Span::ms(500);

/// For each member, the latest time of this controller's clock that it has echoed.
#[derive(Debug)]
pub(crate) struct Contact {
    started: Mono,
    echoes: BTreeMap<Addr, Mono>,
}

impl Contact {
    pub(crate) fn new(now: Mono) -> Contact {
        Contact { started: now, echoes: BTreeMap::new() }
    }

    /// Records that a member has echoed the time `echo` of this controller's clock. Echoes of an earlier
    /// process (before its start, or in the future) prove nothing and are ignored.
    pub(crate) fn note(&mut self, now: Mono, from: Addr, echo: Mono) {
        if echo < self.started || echo > now {
            return;
        }
        let latest = self.echoes.entry(from).or_insert(echo);
        *latest = echo.max(*latest);
    }

    /// The latest time at which a message sent to this member is known to have arrived.
    fn last_echo(&self, member: &Addr) -> Option<Mono> {
        self.echoes.get(member).copied()
    }

    /// The latest time at which a message to a majority of the members is known to have arrived. `me`
    /// is the address of this controller, which counts as reached now.
    fn majority_contact(&self, now: Mono, me: Addr, members: &[Member]) -> Option<Mono> {
        let reached = |m: &Member| if m.addr == me { Some(now) } else { self.last_echo(&m.addr) };
        let mut times: Vec<Mono> = members.iter().filter_map(reached).collect();
        times.sort();
        times.into_iter().rev().nth(classic_quorum(members.len()) - 1)
    }
}

impl Controller {
    /// Whether it was recently in contact with enough members to decide anything.
    pub(crate) fn connected(&self, now: Mono) -> bool {
        self.in_contact(now, self.env.pace.suspect_after)
    }

    /// Whether it makes sense to propose something: in contact, or a member so recently that contact
    /// could not be proved yet. Nothing may be confirmed on this alone.
    pub(crate) fn may_decide(&self, now: Mono) -> bool {
        let joined_recently = now - self.seated < self.env.pace.suspect_after;
        self.connected(now) || (self.consensus.is_some() && joined_recently)
    }

    /// Whether heartbeats of origins may be acknowledged.
    pub(crate) fn may_acknowledge_heartbeats(&self, now: Mono) -> bool {
        self.in_contact(now, MAX_CONTACT_AGE_FOR_HEARTBEATS)
    }

    /// Whether contact with a majority is more recent than `max_age`.
    fn in_contact(&self, now: Mono, max_age: Span) -> bool {
        if self.consensus.is_none() {
            return false;
        }
        if !self.env.contact_by_echo {
            return self.hears_majority(now);
        }
        let latest = self.contact.majority_contact(now, self.env.addr, &self.base.members);
        latest.is_some_and(|t| now - t < max_age)
    }

    /// Whether a recent message to that member is known to have arrived.
    pub(crate) fn reaches(&self, now: Mono, member_id: MemberId) -> bool {
        if !self.env.contact_by_echo {
            return self.hears(now, member_id);
        }
        let member = self.base.member(member_id);
        let latest = member.and_then(|m| self.contact.last_echo(&m.addr));
        latest.is_some_and(|t| now - t < self.env.pace.suspect_after)
    }

    /// Whether a message of that member in this era was processed recently.
    pub(crate) fn hears(&self, now: Mono, member_id: MemberId) -> bool {
        let heard = self.consensus.as_ref().and_then(|m| m.last_heard_from(member_id));
        heard.is_some_and(|t| now - t < self.env.pace.suspect_after)
    }

    fn hears_majority(&self, now: Mono) -> bool {
        let members = &self.base.members;
        let heard = members.iter().filter(|m| m.member_id == self.member_id || self.hears(now, m.member_id));
        heard.count() >= classic_quorum(members.len())
    }

    /// Called when contact is lost: all waiting callers are told at once that the result is unknown. What
    /// was proposed may still be decided; changes of callers that were only queued are dropped.
    pub(crate) fn reject_waiting_callers(&mut self, now: Mono, out: &mut Vec<Out>) {
        const LOST: &str = "contact with a majority of the controllers was lost";
        self.reject_all_reads(now, LOST, out);
        let queued = std::mem::take(&mut self.queued_changes);
        let (with_callers, without): (Vec<_>, Vec<_>) = queued.into_iter().partition(|a| a.has_callers());
        self.queued_changes = without;
        let mut tokens: Vec<_> = with_callers.into_iter().flat_map(|mut a| a.take_callers()).collect();
        for request in self.pending.values_mut().flat_map(|p| &mut p.asked) {
            tokens.extend(request.take_callers());
        }
        out.extend(tokens.into_iter().map(|t| Out::Tell(t, NodeReply::Unavailable(LOST))));
    }
}
