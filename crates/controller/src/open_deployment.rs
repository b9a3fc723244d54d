//! A deployment nobody counted: who founds it, who joins, who passes on.
//!
//! Invariant: only one controller ever founds. All processes of the first start hold
//! the same seeds; the first of them by address founds alone, on a disk that
//! began at the first start only; if it can keep nothing it names one blank controller, and
//! none other while that one may live. A roster then grows by cuts only.
use crate::controller::Controller;
use crate::membership_plan::min_members;
use caesar::MemberId;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};

/// How long a seat that keeps nothing listens before it names a founder.
const LISTEN: Span = Span::ms(800);
/// Nothing is taken from operators before there are enough controllers and ledgers, or
/// it is clear that no more will come.
const PATIENT: Span = Span::secs(6);

impl Controller {
    fn first_seed(&self) -> Option<Addr> {
        self.env.seeds.iter().min().copied()
    }

    /// Keeps nothing itself.
    pub(crate) fn is_relay_only(&self) -> bool {
        self.env.open.is_some_and(|o| !o.keeps)
    }

    fn may_found(&self) -> bool {
        self.env.open.is_some_and(|o| o.keeps) && self.base.era == Era(0) && self.consensus.is_none()
    }

    pub(crate) fn found_as_first_seed(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.may_found() && self.first && self.first_seed() == Some(self.env.addr) {
            self.found_now(now, out);
        }
    }

    fn found_now(&mut self, now: Mono, out: &mut Vec<Out>) {
        let p = ControlState::default().cut(&[self.member(MemberId(0))], Era(0), 0);
        out.push(Out::Note("founding the deployment"));
        self.enter(now, p, out);
    }

    pub(crate) fn on_found(&mut self, now: Mono, b: Birth, out: &mut Vec<Out>) {
        if self.may_found() && self.birth == b {
            self.found_now(now, out);
        }
    }

    /// Several times a second: names a founder, passes unjoined controllers on, lets them join,
    /// and tells the seeds who has a seat.
    pub(crate) fn maintain_open_deployment(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.env.open.is_none() {
            return;
        }
        if self.is_relay_only() {
            if self.due("pass", Span::ms(200), now) {
                self.pass_on_unjoined(now, out);
            }
            return;
        }
        if self.due("roster", Span::ms(500), now) && self.consensus.is_some() {
            let m = Msg::Membership(self.base.era, self.base.members.clone());
            let seat = |a: &&Addr| !self.base.members.iter().any(|m| m.addr == **a);
            out.extend(self.env.seeds.iter().filter(seat).map(|s| Out::Send(*s, m.clone())));
        }
        self.maintain_membership(now, out);
    }

    fn pass_on_unjoined(&mut self, now: Mono, out: &mut Vec<Out>) {
        self.unjoined.retain(|_, (_, t)| now - *t < Span::secs(1));
        let first = self.unjoined.values().map(|(m, _)| m.clone()).min_by_key(|m| m.addr);
        let members = self.latest_membership().1;
        if !members.is_empty() {
            let to_all = |shown: &Member| {
                let shown = shown.clone();
                members.iter().map(move |m| Out::Send(m.addr, Msg::Unjoined(shown.clone())))
            };
            out.extend(self.unjoined.values().map(|(shown, _)| shown).flat_map(to_all));
            return;
        }
        let mine = self.first_seed() == Some(self.env.addr) && self.env.open.is_some_and(|o| o.initial);
        let Some(m) = first.filter(|_| mine) else { return };
        let (birth, since) = *self.named.get_or_insert((m.birth, now));
        let at = self.unjoined.values().find(|(b, _)| b.birth == birth).map(|(b, _)| b.addr);
        match at {
            Some(a) if now - since >= LISTEN => out.push(Out::Send(a, Msg::Found(birth))),
            // Gone without a word, and blank when last heard: another may be named.
            None if now - since >= Span::secs(5) => self.named = None,
            _ => (),
        }
    }

    /// Whether an operator's edits may be taken: a deployment still gathering
    /// could lose them with fewer disks than it is to bear.
    pub(crate) fn gathered(&self, now: Mono, c: &Change) -> bool {
        let Some(o) = self.env.open.filter(|_| matches!(c.op, Op::Edit(_))) else { return true };
        let need = min_members(o.losses);
        let roll = Roll::of(&self.state.items);
        let members = self.base.members.len();
        let enough = members >= need && roll.sets.last().is_some_and(|s| s.len() >= need);
        enough || (members >= self.min_copies() && now - self.seated >= PATIENT)
    }

    /// Synced disks that an acknowledged change is on: one more than may be lost at once.
    pub(crate) fn min_copies(&self) -> usize {
        self.env.open.map_or(0, |o| o.losses + 1)
    }
}
