//! A deployment as the planner's search models it: members and newcomers without identities.
use caesar::MemberId;
use control_state::Member;
use controller::membership_plan::*;
use primitives::{Addr, Birth};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

/// State of a member's machine.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    Up,
    Leaving,
    /// Down or disconnected, with its disk intact.
    Offline,
    /// An empty disk answers at its address.
    Wiped,
    /// Lost for good.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeploymentState {
    pub members: Vec<MemberState>,
    /// Newcomers that hold a snapshot.
    pub ready: usize,
    /// Machines that were removed from the membership and are still offline.
    pub removed: usize,
    /// Losses since the last full recovery.
    pub losses_since_recovery: usize,
}

const FIRST_NEWCOMER: u16 = 100;
/// First incarnation of disks that replaced one at the same address.
const REPLACED_DISK: u64 = 1000;
/// First incarnation of newcomers' disks.
const NEWCOMER_DISK: u64 = 2000;

fn member(member_id: u16, host: u8, birth: u64) -> Member {
    let addr = Addr(SocketAddr::from((Ipv4Addr::new(10, 0, 0, host), 1)));
    Member { member_id: MemberId(member_id), addr, http: addr, zone: "sicilia/a".into(), birth: Birth(birth) }
}

impl DeploymentState {
    pub fn reachable(&self) -> usize {
        self.members.iter().filter(|s| matches!(s, MemberState::Up | MemberState::Leaving)).count()
    }

    /// Machines that are present or will return.
    pub fn machines(&self) -> usize {
        self.members.iter().filter(|s| **s != MemberState::Gone).count() + self.ready + self.removed
    }

    /// The same deployment with one member's state changed.
    pub fn with_member(&self, index: usize, member: MemberState) -> DeploymentState {
        let mut next = self.clone();
        next.members[index] = member;
        next
    }

    /// The planner's input. `long_silence`: unreachable members have been silent long enough to be
    /// replaced.
    pub fn view(&self, losses: usize, long_silence: bool, settled: bool) -> MembershipView {
        let members: Vec<Member> =
            (0..self.members.len()).map(|i| member(i as u16, i as u8, i as u64)).collect();
        let member_ids = |f: fn(&MemberState) -> bool| -> BTreeSet<MemberId> {
            self.members.iter().zip(&members).filter(|(s, _)| f(s)).map(|(_, m)| m.member_id).collect()
        };
        let unreachable =
            member_ids(|s| matches!(s, MemberState::Offline | MemberState::Wiped | MemberState::Gone));
        let wiped = self.members.iter().enumerate().filter(|(_, s)| **s == MemberState::Wiped);
        let mut ready: Vec<Member> =
            wiped.map(|(i, _)| member(0, i as u8, REPLACED_DISK + i as u64)).collect();
        ready.extend((0..self.ready).map(|i| member(0, 100 + i as u8, NEWCOMER_DISK + i as u64)));
        MembershipView {
            members: members.clone(),
            silent: if long_silence { unreachable.clone() } else { BTreeSet::new() },
            suspected: unreachable,
            leaving: member_ids(|s| *s == MemberState::Leaving),
            ready,
            settled,
            next_member_id: FIRST_NEWCOMER,
            losses,
        }
    }

    /// The state after a planned change is agreed.
    pub fn after(&self, change: &MembershipChange) -> DeploymentState {
        let mut next = DeploymentState { members: vec![], ..self.clone() };
        for m in &change.members {
            if m.member_id.0 < FIRST_NEWCOMER {
                next.members.push(self.members[m.member_id.0 as usize]);
            } else {
                next.ready -= (m.birth.0 >= NEWCOMER_DISK) as usize;
                next.members.push(MemberState::Up);
            }
        }
        for (i, member) in self.members.iter().enumerate() {
            let retained = change.members.iter().any(|m| m.member_id.0 == i as u16);
            let replaced_in_place = change.members.iter().any(|m| m.birth.0 == REPLACED_DISK + i as u64);
            if !retained && !replaced_in_place {
                next.removed += (*member == MemberState::Offline) as usize;
                next.ready += (*member == MemberState::Wiped) as usize;
            }
        }
        next
    }

    /// Members sorted, so that equivalent states compare equal.
    pub fn normalized(mut self) -> DeploymentState {
        self.members.sort();
        self
    }
}
