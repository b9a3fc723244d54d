//! Membership changes in open deployments: monitors members, brings newcomers up to date, and
//! proposes what `membership_plan` returns.
use crate::controller::Controller;
use crate::membership_plan::{MembershipView, Reason};
use caesar::MemberId;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Newcomers that become ready within this time of each other join in one change.
const JOIN_BATCH_WINDOW: Span = Span::ms(300);
/// Interval between membership checks.
const CHECK_INTERVAL: Span = Span::ms(50);
/// A newcomer that has not announced itself for this long is ignored.
const NEWCOMER_TIMEOUT: Span = Span::secs(1);
/// A member that has not repeated its leaving announcement for this long has stopped or returned.
const LEAVING_TIMEOUT: Span = Span::secs(1);
/// Interval between snapshot offers to a newcomer that has not confirmed one.
const SNAPSHOT_RETRY_INTERVAL: Span = Span::ms(500);
/// Time after which a proposed change without effect is proposed again.
const CHANGE_RETRY_INTERVAL: Span = Span::secs(1);
/// Upper bound on the silence counted between two checks: a controller that was itself paused has
/// no evidence of other members' silence.
const MAX_COUNTED_STEP: Span = Span::ms(100);

/// A newcomer and the snapshots it was offered and has stored.
#[derive(Clone, Debug)]
struct Learner {
    birth: Birth,
    /// The era of the snapshot synced to its disk, and when it first confirmed one.
    stored: Option<(Era, Mono)>,
    offered: Option<(Era, Mono)>,
}

/// Evidence about joining, silent and leaving members.
#[derive(Debug, Default)]
pub(crate) struct MembershipWatch {
    learners: BTreeMap<Addr, Learner>,
    /// Per member: when it was last heard, and how long it has been silent since, measured in this
    /// controller's own checks.
    silence: BTreeMap<MemberId, (Option<Mono>, Span)>,
    last_check: Mono,
    /// Members that announced that they are stopping, and the time of their last announcement.
    leaving: BTreeMap<MemberId, Mono>,
    /// Whether this controller itself was told to stop.
    pub(crate) stopping: bool,
}

impl MembershipWatch {
    /// Whether the member announced that it is stopping.
    pub(crate) fn leaves(&self, member_id: MemberId) -> bool {
        self.leaving.contains_key(&member_id)
    }

    /// Records a leaving announcement.
    pub(crate) fn note_leaving(&mut self, member_id: MemberId, now: Mono) {
        self.leaving.insert(member_id, now);
    }

    /// Members that have been silent for at least `duration`.
    fn silent_for(&self, duration: Span) -> BTreeSet<MemberId> {
        self.silence
            .iter()
            .filter(|(_, (_, span))| *span >= duration)
            .map(|(member_id, _)| *member_id)
            .collect()
    }
}

impl Controller {
    /// Monitors the membership; the leader also proposes the next change.
    pub(crate) fn maintain_membership(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.consensus.is_none() || !self.due("membership", CHECK_INTERVAL, now) {
            return;
        }
        self.track_silence(now);
        // The leadership is held by votes of a quorum: a member that merely considers itself first
        // proposes nothing.
        if !self.leadership.is_held(now) {
            return;
        }
        self.send_snapshots_to_newcomers(now, out);
        let recently = self.era_end_proposed_at.is_some_and(|t| now - t < CHANGE_RETRY_INTERVAL);
        if !recently {
            self.propose_membership(now, out);
        }
    }

    /// Updates how long each member has been silent, and drops outdated leaving announcements.
    fn track_silence(&mut self, now: Mono) {
        let step = (now - self.watch.last_check).min(MAX_COUNTED_STEP);
        self.watch.last_check = now;
        let before = std::mem::take(&mut self.watch.silence);
        for member in self.base.members.iter().filter(|m| m.member_id != self.member_id) {
            let in_era = self.heard.contains(&member.member_id);
            let heard =
                self.consensus.as_ref().and_then(|m| m.last_heard_from(member.member_id)).filter(|_| in_era);
            let (last, span) = before.get(&member.member_id).copied().unwrap_or((None, Span(0)));
            let heard_again = heard.is_some() && heard != last;
            let span = if heard_again { Span(0) } else { span + step };
            self.watch.silence.insert(member.member_id, (heard, span));
        }
        let members: BTreeSet<MemberId> = self.base.members.iter().map(|m| m.member_id).collect();
        self.watch.leaving.retain(|member_id, t| members.contains(member_id) && now - *t < LEAVING_TIMEOUT);
    }

    /// Offers newcomers the snapshot from which the current era started.
    fn send_snapshots_to_newcomers(&mut self, now: Mono, out: &mut Vec<Out>) {
        let heard = |(_, t): &&(Member, Mono)| now - *t < NEWCOMER_TIMEOUT;
        let newcomers: BTreeMap<Addr, Birth> =
            self.unjoined.values().filter(heard).map(|(m, _)| (m.addr, m.birth)).collect();
        self.watch.learners.retain(|addr, l| newcomers.get(addr) == Some(&l.birth));
        let era = self.base.era;
        for (addr, birth) in newcomers {
            let is_member = self.base.member_at(addr, birth).is_some();
            let new_learner = Learner { birth, stored: None, offered: None };
            let learner = self.watch.learners.entry(addr).or_insert(new_learner);
            let stored = learner.stored.is_some_and(|(stored_era, _)| stored_era == era);
            let recently = learner
                .offered
                .is_some_and(|(offered_era, t)| offered_era == era && now - t < SNAPSHOT_RETRY_INTERVAL);
            if !is_member && !stored && !recently {
                learner.offered = Some((era, now));
                self.offer_snapshot(now, addr, out);
            }
        }
    }

    /// Whether to store this snapshot without being a member: it does not contain this disk.
    pub(crate) fn is_learner_snapshot(&self, snapshot: &ControlState) -> bool {
        let has_storage = self.env.open.is_some_and(|o| o.keeps);
        let is_member = snapshot.member_at(self.env.addr, self.birth).is_some();
        self.consensus.is_none() && has_storage && !is_member
    }

    /// Stores a snapshot while not a member, and confirms it from now on.
    pub(crate) fn save_learner_snapshot(&mut self, snapshot: ControlState, out: &mut Vec<Out>) {
        if snapshot.era <= self.base.era {
            return;
        }
        self.base = snapshot;
        self.state = self.base.clone();
        self.save_base(out);
        self.confirm_snapshot(out);
    }

    /// Tells the members which snapshot is synced to this disk. Repeated, as messages can be lost.
    pub(crate) fn confirm_snapshot(&self, out: &mut Vec<Out>) {
        let confirmation = Msg::SnapshotStored(self.base.era, self.birth);
        let members = self.base.members.iter();
        out.extend(members.map(|m| Out::Send(m.addr, confirmation.clone())));
    }

    /// Records that a newcomer has stored the snapshot of `era`.
    pub(crate) fn on_snapshot_confirmed(&mut self, now: Mono, from: Addr, era: Era, birth: Birth) {
        let learner = self.watch.learners.get_mut(&from);
        if let Some(l) = learner.filter(|l| l.birth == birth) {
            let since = l.stored.map_or(now, |(_, since)| since);
            l.stored = Some((era, since));
        }
    }

    /// Whether a controller that is not a member has recently announced itself.
    pub(crate) fn hears_newcomer(&self, now: Mono) -> bool {
        let is_member = |a: &Addr| self.base.members.iter().any(|m| m.addr == *a);
        self.unjoined.iter().any(|(a, (_, t))| now - *t < NEWCOMER_TIMEOUT && !is_member(a))
    }

    /// What the planner needs to know; `losses` is the number of simultaneous losses to tolerate.
    fn membership_view(&self, losses: usize) -> MembershipView {
        let era = self.base.era;
        let stored = |m: &&Member| {
            let learner = self.watch.learners.get(&m.addr).filter(|l| l.birth == m.birth);
            learner.and_then(|l| l.stored).is_some_and(|(stored_era, _)| stored_era == era)
        };
        let is_member = |m: &&Member| self.base.member_at(m.addr, m.birth).is_some();
        let newcomers = self.unjoined.values().map(|(m, _)| m);
        let suspect_after = self.env.pace.suspect_after;
        MembershipView {
            members: self.state.members.clone(),
            silent: self.watch.silent_for(suspect_after.times(2)),
            suspected: self.watch.silent_for(suspect_after),
            leaving: self.watch.leaving.keys().copied().collect(),
            ready: newcomers.filter(stored).filter(|m| !is_member(m)).cloned().collect(),
            settled: self.earlier_memberships_retired() && self.heard_from_quorum(),
            next_member_id: self.state.next_member_id,
            losses,
        }
    }

    /// Whether the first newcomer of a batch has been ready long enough for others to join with it.
    fn join_batch_complete(&self, now: Mono) -> bool {
        let stored = self.watch.learners.values().filter_map(|l| l.stored);
        stored.map(|(_, since)| since).min().is_some_and(|first| now - first >= JOIN_BATCH_WINDOW)
    }

    /// Proposes the planned change, if any. Additions wait until their batch is complete.
    fn propose_membership(&mut self, now: Mono, out: &mut Vec<Out>) {
        let Some(open) = self.env.open else { return };
        let Some(change) = self.membership_view(open.losses).plan() else { return };
        if change.reason == Reason::MembersAdded && !self.join_batch_complete(now) {
            return;
        }
        let (counter, note) = match change.reason {
            Reason::DiskReplaced => {
                ("disks replaced", "proposing to replace a lost disk at the same address")
            }
            Reason::MemberReplaced => ("seats taken", "proposing to replace a member with a newcomer"),
            Reason::MemberRemoved => ("seats given up", "proposing to remove a member"),
            Reason::MembersAdded => ("joins", "proposing to add newcomers to the membership"),
        };
        self.count(counter);
        out.push(Out::Note(note));
        self.propose_next_era(now, change.members, out);
    }
}
