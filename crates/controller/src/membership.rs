//! Changes of membership in a deployment that nobody counted: watching members, bringing
//! newcomers up to date, and proposing what `membership_plan` says.
use crate::controller::Controller;
use crate::membership_plan::{MembershipView, Reason};
use caesar::MemberId;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Newcomers that are ready within this of one another join together.
const GATHER: Span = Span::ms(300);
/// How often the membership is looked at.
const LOOK: Span = Span::ms(50);
/// A newcomer that was not heard for so long is no longer counted on.
const NEWCOMER_HEARD: Span = Span::secs(1);
/// A member that has not repeated that it leaves for so long has ended, or is back.
const LEAVING_HEARD: Span = Span::secs(1);
/// How often a snapshot is sent to a newcomer that has not confirmed it.
const SNAPSHOT_RETRY: Span = Span::ms(500);
/// How often a change is proposed if nothing came of the last one.
const CHANGE_RETRY: Span = Span::secs(1);
/// A single step between two looks that counts as silence: a controller that was itself
/// frozen has not noticed anybody's silence.
const LONGEST_STEP: Span = Span::ms(100);

/// A newcomer and what it is known to hold.
#[derive(Clone, Debug)]
struct Learner {
    birth: Birth,
    /// The era whose snapshot it has synced, and since when it is ready.
    holds: Option<(Era, Mono)>,
    sent: Option<(Era, Mono)>,
}

/// What this controller knows about who comes and goes.
#[derive(Debug, Default)]
pub(crate) struct MembershipWatch {
    learners: BTreeMap<Addr, Learner>,
    /// By member: when it was last heard, and for how long it has been silent since, by
    /// this controller's own steps.
    silence: BTreeMap<MemberId, (Option<Mono>, Span)>,
    looked: Mono,
    /// Members that announced that they stop, and when they last did.
    leaving: BTreeMap<MemberId, Mono>,
    /// This controller itself was told to stop.
    pub(crate) stopping: bool,
}

impl MembershipWatch {
    pub(crate) fn leaves(&self, member_id: MemberId) -> bool {
        self.leaving.contains_key(&member_id)
    }

    pub(crate) fn note_leaving(&mut self, member_id: MemberId, now: Mono) {
        self.leaving.insert(member_id, now);
    }

    fn unheard_for(&self, least: Span) -> BTreeSet<MemberId> {
        self.silence.iter().filter(|(_, (_, span))| *span >= least).map(|(member_id, _)| *member_id).collect()
    }
}

impl Controller {
    /// Looks after the membership; whoever leads proposes the next change.
    pub(crate) fn maintain_membership(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.consensus.is_none() || !self.due("membership", LOOK, now) {
            return;
        }
        self.note_silence(now);
        // Held by the words of a quorum: who only takes itself for the first proposes nothing.
        if !self.leadership.is_held(now) {
            return;
        }
        self.teach_newcomers(now, out);
        let lately = self.era_end_proposed_at.is_some_and(|t| now - t < CHANGE_RETRY);
        if !lately {
            self.propose_membership(now, out);
        }
    }

    fn note_silence(&mut self, now: Mono) {
        let step = (now - self.watch.looked).min(LONGEST_STEP);
        self.watch.looked = now;
        let before = std::mem::take(&mut self.watch.silence);
        for member in self.base.members.iter().filter(|m| m.member_id != self.member_id) {
            let in_era = self.heard.contains(&member.member_id);
            let heard =
                self.consensus.as_ref().and_then(|m| m.last_heard_from(member.member_id)).filter(|_| in_era);
            let (last, span) = before.get(&member.member_id).copied().unwrap_or((None, Span(0)));
            let news = heard.is_some() && heard != last;
            let span = if news { Span(0) } else { span + step };
            self.watch.silence.insert(member.member_id, (heard, span));
        }
        let members: BTreeSet<MemberId> = self.base.members.iter().map(|m| m.member_id).collect();
        self.watch.leaving.retain(|member_id, t| members.contains(member_id) && now - *t < LEAVING_HEARD);
    }

    /// Newcomers are sent the snapshot that the era started from.
    fn teach_newcomers(&mut self, now: Mono, out: &mut Vec<Out>) {
        let heard = |(_, t): &&(Member, Mono)| now - *t < NEWCOMER_HEARD;
        let newcomers: BTreeMap<Addr, Birth> =
            self.unjoined.values().filter(heard).map(|(m, _)| (m.addr, m.birth)).collect();
        self.watch.learners.retain(|addr, l| newcomers.get(addr) == Some(&l.birth));
        let era = self.base.era;
        for (addr, birth) in newcomers {
            let seated = self.base.member_at(addr, birth).is_some();
            let fresh = Learner { birth, holds: None, sent: None };
            let learner = self.watch.learners.entry(addr).or_insert(fresh);
            let holds = learner.holds.is_some_and(|(held, _)| held == era);
            let lately = learner.sent.is_some_and(|(sent, t)| sent == era && now - t < SNAPSHOT_RETRY);
            if !seated && !holds && !lately {
                learner.sent = Some((era, now));
                self.offer_snapshot(now, addr, out);
            }
        }
    }

    /// Whether a snapshot is one to be kept without a seat: it gives this disk none.
    pub(crate) fn is_learner_snapshot(&self, snapshot: &ControlState) -> bool {
        let keeps = self.env.open.is_some_and(|o| o.keeps);
        let seated = snapshot.member_at(self.env.addr, self.birth).is_some();
        self.consensus.is_none() && keeps && !seated
    }

    /// Without a seat: keeps the snapshot, and says so from now on.
    pub(crate) fn save_learner_snapshot(&mut self, snapshot: ControlState, out: &mut Vec<Out>) {
        if snapshot.era <= self.base.era {
            return;
        }
        self.base = snapshot;
        self.state = self.base.clone();
        self.save_base(out);
        self.confirm_snapshot(out);
    }

    /// Tells the members which snapshot this disk has synced; repeated, for words get lost.
    pub(crate) fn confirm_snapshot(&self, out: &mut Vec<Out>) {
        let learned = Msg::SnapshotStored(self.base.era, self.birth);
        let members = self.base.members.iter();
        out.extend(members.map(|m| Out::Send(m.addr, learned.clone())));
    }

    pub(crate) fn on_snapshot_confirmed(&mut self, now: Mono, from: Addr, era: Era, birth: Birth) {
        let learner = self.watch.learners.get_mut(&from);
        if let Some(l) = learner.filter(|l| l.birth == birth) {
            let since = l.holds.map_or(now, |(_, since)| since);
            l.holds = Some((era, since));
        }
    }

    /// A controller without a seat shows itself.
    pub(crate) fn hears_newcomer(&self, now: Mono) -> bool {
        let seated = |a: &Addr| self.base.members.iter().any(|m| m.addr == *a);
        self.unjoined.iter().any(|(a, (_, t))| now - *t < NEWCOMER_HEARD && !seated(a))
    }

    fn membership_view(&self, losses: usize) -> MembershipView {
        let era = self.base.era;
        let holds = |m: &&Member| {
            let learner = self.watch.learners.get(&m.addr).filter(|l| l.birth == m.birth);
            learner.and_then(|l| l.holds).is_some_and(|(held, _)| held == era)
        };
        let seated = |m: &&Member| self.base.member_at(m.addr, m.birth).is_some();
        let newcomers = self.unjoined.values().map(|(m, _)| m);
        let suspect_after = self.env.pace.suspect_after;
        MembershipView {
            members: self.state.members.clone(),
            silent: self.watch.unheard_for(suspect_after.times(2)),
            suspected: self.watch.unheard_for(suspect_after),
            leaving: self.watch.leaving.keys().copied().collect(),
            ready: newcomers.filter(holds).filter(|m| !seated(m)).cloned().collect(),
            settled: self.earlier_memberships_retired() && self.heard_from_quorum(),
            next_member_id: self.state.next_member_id,
            losses,
        }
    }

    /// The first newcomer of a group was ready long enough ago for the others to join too.
    fn newcomers_gathered(&self, now: Mono) -> bool {
        let ready = self.watch.learners.values().filter_map(|l| l.holds);
        ready.map(|(_, since)| since).min().is_some_and(|first| now - first >= GATHER)
    }

    fn propose_membership(&mut self, now: Mono, out: &mut Vec<Out>) {
        let Some(open) = self.env.open else { return };
        let Some(change) = self.membership_view(open.losses).plan() else { return };
        if change.reason == Reason::MembersAdded && !self.newcomers_gathered(now) {
            return;
        }
        let (name, note) = match change.reason {
            Reason::DiskReplaced => ("disks replaced", "proposing a new disk in a lost one's seat"),
            Reason::MemberReplaced => ("seats taken", "proposing a newcomer in a member's seat"),
            Reason::MemberRemoved => ("seats given up", "proposing to do without a member"),
            Reason::MembersAdded => ("joins", "proposing seats for newcomers"),
        };
        self.count(name);
        out.push(Out::Note(note));
        self.propose_next_era(now, change.members, out);
    }
}
