//! Plans the next membership, as a pure function of what one controller knows.
//!
//! Invariants, where `f` is the number of simultaneous losses to tolerate (checked in
//! `tests/membership_plan.rs`):
//!
//! - A plan makes one kind of change: replaces disks at unchanged addresses, replaces one member
//!   with a newcomer, removes one member, or adds newcomers.
//! - A member that is reachable and not leaving stays a member.
//! - A member is removed only while at least `2f + 1` remain.
//! - If a majority of the old members is reachable, so is a majority of the new ones.
use caesar::{classic_quorum, MemberId};
use control_state::Member;
use std::collections::BTreeSet;

/// Input of the planner.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// The current members.
    pub members: Vec<Member>,
    /// Members unheard for so long that they may be replaced or removed.
    pub silent: BTreeSet<MemberId>,
    /// Members unheard for a shorter time, which may turn out to be silent.
    pub suspected: BTreeSet<MemberId>,
    /// Members that announced that they are about to stop.
    pub leaving: BTreeSet<MemberId>,
    /// Newcomers with a synced snapshot.
    pub ready: Vec<Member>,
    /// Whether no other change is in progress: earlier memberships are retired.
    pub settled: bool,
    /// The lowest member id that was never assigned.
    pub next_member_id: u16,
    /// Number of simultaneous losses to tolerate.
    pub losses: usize,
}

/// The kind of a membership change.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A member's address answers with another disk.
    DiskReplaced,
    /// A newcomer replaces a silent or leaving member.
    MemberReplaced,
    /// A silent or leaving member is removed without a replacement.
    MemberRemoved,
    /// Newcomers are added.
    MembersAdded,
}

/// A planned change of the membership.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipChange {
    /// The members after the change.
    pub members: Vec<Member>,
    /// The kind of change.
    pub reason: Reason,
}

/// The smallest membership in which every majority has `losses + 1` disks and which retains a
/// majority after `losses` losses.
pub fn min_members(losses: usize) -> usize {
    2 * losses + 1
}

/// How many more members can be lost before no majority is reachable; `None` if there is no
/// majority now.
pub fn spare_members(members: usize, reachable: usize) -> Option<usize> {
    reachable.checked_sub(classic_quorum(members))
}

impl MembershipView {
    /// Returns the next change, or `None` if the membership needs none.
    pub fn plan(&self) -> Option<MembershipChange> {
        let change = self.replace_disks();
        let when_settled = || self.settled.then_some(());
        let change = change.or_else(|| when_settled().and_then(|()| self.replace_member()));
        let change = change.or_else(|| when_settled().and_then(|()| self.remove_member()));
        change.or_else(|| when_settled().and_then(|()| self.add_members()))
    }

    /// Replaces disks that are provably lost: their address answers with another one.
    fn replace_disks(&self) -> Option<MembershipChange> {
        let mut new_ids = self.next_member_id..;
        let mut members = self.members.clone();
        for member in &mut members {
            let successor = self.ready.iter().find(|r| r.addr == member.addr && r.birth != member.birth);
            if let Some(successor) = successor {
                *member = Member { member_id: MemberId(new_ids.next()?), ..successor.clone() };
            }
        }
        (members != self.members).then_some(MembershipChange { members, reason: Reason::DiskReplaced })
    }

    /// Ready newcomers at addresses that are not in the membership.
    fn newcomers(&self) -> impl Iterator<Item = &Member> {
        let is_member = |r: &&Member| self.members.iter().any(|m| m.addr == r.addr);
        self.ready.iter().filter(move |r| !is_member(r))
    }

    /// The next member to replace or remove: silent members first, then leaving ones.
    fn departing(&self) -> Option<&Member> {
        let first = |set: &BTreeSet<MemberId>| self.members.iter().find(|m| set.contains(&m.member_id));
        first(&self.silent).or_else(|| first(&self.leaving))
    }

    /// Replaces a silent or leaving member with a newcomer.
    fn replace_member(&self) -> Option<MembershipChange> {
        let departing = self.departing()?.member_id;
        let newcomer =
            Member { member_id: MemberId(self.next_member_id), ..self.newcomers().next()?.clone() };
        let successor = |m: &Member| if m.member_id == departing { newcomer.clone() } else { m.clone() };
        let members = self.members.iter().map(successor).collect();
        Some(MembershipChange { members, reason: Reason::MemberReplaced })
    }

    /// Removes a silent or leaving member if enough members remain, and a majority of them is
    /// reachable.
    fn remove_member(&self) -> Option<MembershipChange> {
        let departing = self.departing()?.member_id;
        if self.members.len() <= min_members(self.losses) {
            return None;
        }
        let members: Vec<Member> =
            self.members.iter().filter(|m| m.member_id != departing).cloned().collect();
        let reachable =
            |m: &&Member| !self.silent.contains(&m.member_id) && !self.suspected.contains(&m.member_id);
        let reachable = members.iter().filter(reachable).count();
        spare_members(members.len(), reachable)?;
        Some(MembershipChange { members, reason: Reason::MemberRemoved })
    }

    /// Adds all ready newcomers.
    fn add_members(&self) -> Option<MembershipChange> {
        // The newcomer may be needed to replace one of the suspected members.
        if !self.suspected.is_empty() && self.members.len() >= min_members(self.losses) {
            return None;
        }
        let new_ids = self.next_member_id..;
        let added = self
            .newcomers()
            .zip(new_ids)
            .map(|(m, member_id)| Member { member_id: MemberId(member_id), ..m.clone() });
        let members: Vec<Member> = self.members.iter().cloned().chain(added).collect();
        (members != self.members).then_some(MembershipChange { members, reason: Reason::MembersAdded })
    }
}
