//! Plans the next membership: a pure function of what one controller knows.
//!
//! Invariants, for `f` losses to be borne at once (checked in `tests/membership_plan.rs`):
//!
//! - A plan changes one thing: disks replaced in place, one seat given to a newcomer, one
//!   seat given up, or newcomers added.
//! - Whoever can be reached before and does not leave keeps its seat.
//! - A seat is given up only while `2f + 1` members remain.
//! - If a majority of the old members can be reached, so can a majority of the new ones.
use caesar::{classic_quorum, MemberId};
use control_state::Member;
use std::collections::BTreeSet;

/// What the planner knows.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// Who has a seat now.
    pub members: Vec<Member>,
    /// Members unheard for so long that their seats may be given away.
    pub silent: BTreeSet<MemberId>,
    /// Members unheard for a while, which may still prove silent.
    pub suspected: BTreeSet<MemberId>,
    /// Members that announced that they are about to stop.
    pub leaving: BTreeSet<MemberId>,
    /// Newcomers that hold a synced snapshot.
    pub ready: Vec<Member>,
    /// Nothing else is under way: the last change has landed.
    pub settled: bool,
    /// The least id that was never given out.
    pub next_member_id: u16,
    /// Losses borne at once.
    pub losses: usize,
}

/// Why the membership changes.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A member's address answers with another disk.
    DiskReplaced,
    /// A newcomer takes the seat of a silent or leaving member.
    MemberReplaced,
    /// A silent or leaving member is not needed.
    MemberRemoved,
    /// Newcomers are added.
    MembersAdded,
}

/// The next membership.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipChange {
    /// Who will have a seat.
    pub members: Vec<Member>,
    /// Why it changes.
    pub reason: Reason,
}

/// The smallest membership in which every majority has `f + 1` disks and which keeps a
/// majority when `f` are lost.
pub fn min_members(losses: usize) -> usize {
    2 * losses + 1
}

/// How many more members can be lost before no majority is left; none if there is none now.
pub fn losses_borne(members: usize, reachable: usize) -> Option<usize> {
    reachable.checked_sub(classic_quorum(members))
}

impl MembershipView {
    /// The next change, or none if the membership is as it should be.
    pub fn plan(&self) -> Option<MembershipChange> {
        let change = self.replace_disks();
        let settled = || self.settled.then_some(());
        let change = change.or_else(|| settled().and_then(|()| self.give_seat()));
        let change = change.or_else(|| settled().and_then(|()| self.give_up_seat()));
        change.or_else(|| settled().and_then(|()| self.widen()))
    }

    /// The old disk is provably gone: its address answers with another one.
    fn replace_disks(&self) -> Option<MembershipChange> {
        let mut member_ids = self.next_member_id..;
        let mut members = self.members.clone();
        for seat in &mut members {
            let successor = self.ready.iter().find(|r| r.addr == seat.addr && r.birth != seat.birth);
            if let Some(successor) = successor {
                *seat = Member { member_id: MemberId(member_ids.next()?), ..successor.clone() };
            }
        }
        (members != self.members).then_some(MembershipChange { members, reason: Reason::DiskReplaced })
    }

    fn newcomers(&self) -> impl Iterator<Item = &Member> {
        let seated = |r: &&Member| self.members.iter().any(|m| m.addr == r.addr);
        self.ready.iter().filter(move |r| !seated(r))
    }

    /// Who gives up its seat first: whoever is silent, then whoever leaves.
    fn departing(&self) -> Option<&Member> {
        let first = |set: &BTreeSet<MemberId>| self.members.iter().find(|m| set.contains(&m.member_id));
        first(&self.silent).or_else(|| first(&self.leaving))
    }

    fn give_seat(&self) -> Option<MembershipChange> {
        let departing = self.departing()?.member_id;
        let newcomer =
            Member { member_id: MemberId(self.next_member_id), ..self.newcomers().next()?.clone() };
        let successor = |m: &Member| if m.member_id == departing { newcomer.clone() } else { m.clone() };
        let members = self.members.iter().map(successor).collect();
        Some(MembershipChange { members, reason: Reason::MemberReplaced })
    }

    fn give_up_seat(&self) -> Option<MembershipChange> {
        let departing = self.departing()?.member_id;
        if self.members.len() <= min_members(self.losses) {
            return None;
        }
        let members: Vec<Member> =
            self.members.iter().filter(|m| m.member_id != departing).cloned().collect();
        let heard =
            |m: &&Member| !self.silent.contains(&m.member_id) && !self.suspected.contains(&m.member_id);
        let reachable = members.iter().filter(heard).count();
        losses_borne(members.len(), reachable)?;
        Some(MembershipChange { members, reason: Reason::MemberRemoved })
    }

    fn widen(&self) -> Option<MembershipChange> {
        // A newcomer may be needed in the place of one of these.
        if !self.suspected.is_empty() && self.members.len() >= min_members(self.losses) {
            return None;
        }
        let member_ids = self.next_member_id..;
        let added = self
            .newcomers()
            .zip(member_ids)
            .map(|(m, member_id)| Member { member_id: MemberId(member_id), ..m.clone() });
        let members: Vec<Member> = self.members.iter().cloned().chain(added).collect();
        (members != self.members).then_some(MembershipChange { members, reason: Reason::MembersAdded })
    }
}
