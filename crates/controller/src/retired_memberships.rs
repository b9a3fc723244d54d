//! Earlier memberships under which an edge may still serve.
//!
//! Invariant: nothing of an era is in force or visible before every earlier membership is
//! *retired*: a classic quorum of its members has moved past it, and none of these has granted a
//! live lease to an edge that does not know the newer membership. An edge using the old membership
//! needs a renewal from each of its classic quorums, so from then on no such edge can serve.
use crate::controller::Controller;
use caesar::{classic_quorum, MemberId};
use control_state::*;
use primitives::{Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Intervals at which a controller repeats its reports, while some earlier membership is not retired
/// and once all are.
const REPORT_INTERVAL: Span = Span::ms(100);
const RETIRED_REPORT_INTERVAL: Span = Span::secs(1);

/// By the era that followed a membership: those of its members that are past it.
pub(crate) type Landed = BTreeMap<Era, BTreeSet<MemberId>>;

impl Controller {
    /// Whether a classic quorum of `members` is past the membership that `era` followed.
    fn is_retired(&self, era: Era, members: &[Member]) -> bool {
        let reported = self.landed.get(&era);
        let is_past = |m: &&Member| reported.is_some_and(|ids| ids.contains(&m.member_id));
        members.iter().filter(is_past).count() >= classic_quorum(members.len())
    }

    /// Whether every earlier membership is retired.
    pub(crate) fn earlier_memberships_retired(&self) -> bool {
        self.base.past.iter().all(|(era, members)| self.is_retired(*era, members))
    }

    /// The latest era such that no edge uses a membership of an earlier one any more.
    pub(crate) fn retired_up_to(&self) -> Era {
        let unretired = self.base.past.iter().find(|(era, members)| !self.is_retired(*era, members));
        unretired.map_or(self.base.era, |(era, _)| Era(era.0 - 1))
    }

    /// Whether this controller can report that the member of an earlier membership is past it. It
    /// can for itself. It also can for a member that it replaced and that is provably gone, once
    /// every lease granted by that member has expired. The member is provably gone if its address
    /// answers with this controller's disk, or if an operator says so: only operators replace
    /// members where controllers are listed. A member that was merely silent may still renew
    /// leases, so nobody reports for it.
    fn speaks_for(&self, now: Mono, index: usize, member: &Member) -> bool {
        let is_self = |m: &Member| m.addr == self.env.addr && m.birth == self.birth;
        let leases_expired = now - self.seated > self.env.lease.padded() + self.env.pace.suspect_after;
        let same_address = member.addr == self.env.addr && self.consensus.is_some();
        let by_operator = self.env.open.is_none() && self.base.members.get(index).is_some_and(is_self);
        is_self(member) || (leases_expired && (same_address || by_operator))
    }

    /// Whether another member was recently heard in this era and a round trip to it completed
    /// recently. Without that, this controller may have been replaced without knowing. Messages
    /// that waited during a pause count as heard, but prove nothing.
    pub(crate) fn recently_reached_peer(&self, now: Mono) -> bool {
        let reached = |id: &MemberId| *id != self.member_id && self.hears(now, *id) && self.reaches(now, *id);
        self.consensus.as_ref().is_some_and(|m| m.roster().len() == 1 || m.roster().iter().any(reached))
    }

    /// Reports what this controller knows first-hand, while earlier memberships remain.
    pub(crate) fn land(&mut self, now: Mono, out: &mut Vec<Out>) {
        let interval =
            if self.earlier_memberships_retired() { RETIRED_REPORT_INTERVAL } else { REPORT_INTERVAL };
        if self.base.past.is_empty() || !self.due("land", interval, now) {
            return;
        }
        let edges_know = |era: Era| self.subscribers.values().all(|s| s.lease_until <= now || s.era >= era);
        let retired_of = |(era, members): &(Era, Vec<Member>)| {
            let spoken_for =
                members.iter().enumerate().filter(|(i, m)| edges_know(*era) && self.speaks_for(now, *i, m));
            spoken_for.map(|(_, m)| (*era, m.member_id)).collect::<Vec<_>>()
        };
        let reports: Vec<(Era, MemberId)> = self.base.past.iter().flat_map(retired_of).collect();
        if !reports.is_empty() {
            let members = self.base.members.iter();
            out.extend(members.map(|m| Out::Send(m.addr, Msg::Landed(reports.clone()))));
        }
    }

    /// Records another member's reports, and proceeds once all earlier memberships are retired.
    pub(crate) fn on_membership_retired(
        &mut self,
        now: Mono,
        reports: Vec<(Era, MemberId)>,
        out: &mut Vec<Out>,
    ) {
        let were_retired = self.earlier_memberships_retired();
        for (era, member_id) in reports {
            self.landed.entry(era).or_default().insert(member_id);
        }
        if !were_retired && self.earlier_memberships_retired() {
            self.push(now, out);
        }
    }
}
