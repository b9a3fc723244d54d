//! Open deployments, whose controllers are not listed in advance: founding, joining, and relaying
//! announcements.
//!
//! Invariant: only one controller ever founds the deployment. All processes of the first start have
//! the same seeds. The seed with the lowest address founds alone, and only on a disk that was
//! initialised at the first start. If it has no storage, it nominates one unjoined controller, and
//! no other while that one may be alive. Afterwards the membership grows only by ending eras.
use crate::controller::Controller;
use crate::membership_plan::min_members;
use caesar::MemberId;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};

/// How long a seed without storage collects announcements before it nominates a founder.
const NOMINATION_DELAY: Span = Span::ms(800);
/// Operators' changes are refused until there are enough controllers and ledgers, or until this
/// time has passed and no more can be expected.
const FORMATION_TIMEOUT: Span = Span::secs(6);

/// A nominee that has not been heard may be replaced this long after its nomination.
const NOMINEE_TIMEOUT: Span = Span::secs(5);
/// An announcement of an unjoined controller is relayed for this long.
const ANNOUNCEMENT_TIMEOUT: Span = Span::secs(1);
/// Interval at which a relay-only controller relays announcements.
const RELAY_INTERVAL: Span = Span::ms(200);
/// Interval at which members tell the seeds the membership.
const MEMBERSHIP_INTERVAL: Span = Span::ms(500);

impl Controller {
    /// The seed with the lowest address.
    fn first_seed(&self) -> Option<Addr> {
        self.env.seeds.iter().min().copied()
    }

    /// Whether this controller has no storage and only relays.
    pub(crate) fn is_relay_only(&self) -> bool {
        self.env.open.is_some_and(|o| !o.keeps)
    }

    /// Whether this controller has storage and has not been part of any era.
    fn may_found(&self) -> bool {
        self.env.open.is_some_and(|o| o.keeps) && self.base.era == Era(0) && self.consensus.is_none()
    }

    /// Founds the deployment if this is the first seed, on a disk initialised at the first start.
    pub(crate) fn found_as_first_seed(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.may_found() && self.first && self.first_seed() == Some(self.env.addr) {
            self.found_deployment(now, out);
        }
    }

    /// Starts the first era with this controller as its only member.
    fn found_deployment(&mut self, now: Mono, out: &mut Vec<Out>) {
        let state = ControlState::default().cut(&[self.member(MemberId(0))], Era(0), 0);
        out.push(Out::Note("founding the deployment"));
        self.enter(now, state, out);
    }

    /// Founds the deployment on a nomination, if it is addressed to this incarnation.
    pub(crate) fn on_found(&mut self, now: Mono, birth: Birth, out: &mut Vec<Out>) {
        if self.may_found() && self.birth == birth {
            self.found_deployment(now, out);
        }
    }

    /// Periodic work: nominates a founder, relays announcements of unjoined controllers, lets them
    /// join, and tells the seeds the membership.
    pub(crate) fn maintain_open_deployment(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.env.open.is_none() {
            return;
        }
        if self.is_relay_only() {
            if self.due("pass", RELAY_INTERVAL, now) {
                self.relay_unjoined(now, out);
            }
            return;
        }
        if self.due("roster", MEMBERSHIP_INTERVAL, now) && self.consensus.is_some() {
            let membership = Msg::Membership(self.base.era, self.base.members.clone());
            let not_member = |a: &&Addr| !self.base.members.iter().any(|m| m.addr == **a);
            out.extend(self.env.seeds.iter().filter(not_member).map(|s| Out::Send(*s, membership.clone())));
        }
        self.maintain_membership(now, out);
    }

    /// Relays announcements to the members; if there are none yet, nominates a founder.
    fn relay_unjoined(&mut self, now: Mono, out: &mut Vec<Out>) {
        self.unjoined.retain(|_, (_, t)| now - *t < ANNOUNCEMENT_TIMEOUT);
        let first = self.unjoined.values().map(|(m, _)| m.clone()).min_by_key(|m| m.addr);
        let members = self.latest_membership().1;
        if !members.is_empty() {
            let to_members = |newcomer: &Member| {
                let newcomer = newcomer.clone();
                members.iter().map(move |m| Out::Send(m.addr, Msg::Unjoined(newcomer.clone())))
            };
            out.extend(self.unjoined.values().map(|(newcomer, _)| newcomer).flat_map(to_members));
            return;
        }
        let may_nominate =
            self.first_seed() == Some(self.env.addr) && self.env.open.is_some_and(|o| o.initial);
        let Some(nominee) = first.filter(|_| may_nominate) else { return };
        let (birth, since) = *self.named.get_or_insert((nominee.birth, now));
        let addr = self.unjoined.values().find(|(m, _)| m.birth == birth).map(|(m, _)| m.addr);
        match addr {
            Some(addr) if now - since >= NOMINATION_DELAY => out.push(Out::Send(addr, Msg::Found(birth))),
            // The nominee has disappeared, and was unjoined when last heard: another one may be
            // nominated.
            None if now - since >= NOMINEE_TIMEOUT => self.named = None,
            _ => (),
        }
    }

    /// Whether an operator's edit may be accepted. While the deployment is still forming, fewer
    /// losses than it is to tolerate could destroy every copy of the edit.
    pub(crate) fn gathered(&self, now: Mono, change: &Change) -> bool {
        let Some(open) = self.env.open.filter(|_| matches!(change.op, Op::Edit(_))) else { return true };
        let required = min_members(open.losses);
        let ledger_sets = Roll::of(&self.state.items);
        let members = self.base.members.len();
        let enough = members >= required && ledger_sets.sets.last().is_some_and(|s| s.len() >= required);
        enough || (members >= self.min_copies() && now - self.seated >= FORMATION_TIMEOUT)
    }

    /// Number of synced disks that must hold an acknowledged change: one more than the losses to
    /// tolerate.
    pub(crate) fn min_copies(&self) -> usize {
        self.env.open.map_or(0, |o| o.losses + 1)
    }
}
