//! Rosters that some edge may still go by.
//!
//! Invariant: nothing of an era is in force, nor shown, before every earlier roster
//! has *landed*: a classic quorum of its members is past it and has no live lease out
//! to an edge that does not know the newer one. An edge that goes by the old roster
//! needs a renewal from each of its classic quorums, so there is then none that serves.
use crate::controller::Controller;
use caesar::{classic_quorum, MemberId};
use control_state::*;
use primitives::{Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// By the era that a roster was followed by: which of its members are past it.
pub(crate) type Landed = BTreeMap<Era, BTreeSet<MemberId>>;

impl Controller {
    fn down(&self, at: Era, roster: &[Member]) -> bool {
        let by = self.landed.get(&at);
        let past = |m: &&Member| by.is_some_and(|b| b.contains(&m.member_id));
        roster.iter().filter(past).count() >= classic_quorum(roster.len())
    }

    pub(crate) fn earlier_memberships_retired(&self) -> bool {
        self.base.past.iter().all(|(e, r)| self.down(*e, r))
    }

    /// Up to which era nobody goes by an earlier roster any more.
    pub(crate) fn retired_up_to(&self) -> Era {
        let open = self.base.past.iter().find(|(e, r)| !self.down(*e, r));
        open.map_or(self.base.era, |(e, _)| Era(e.0 - 1))
    }

    /// For whom of a roster this controller can speak: for itself; and for whoever is
    /// provably gone and had its seat before, once every lease that one gave has run out.
    /// It is provably gone if its address answers with this controller's disk, or by the
    /// word of an operator, who alone gives seats away where controllers are counted.
    /// A member that was only silent may still renew leases: nobody speaks for it.
    fn speaks_for(&self, now: Mono, seat: usize, m: &Member) -> bool {
        let mine = |m: &Member| m.addr == self.env.addr && m.birth == self.birth;
        let outlived = now - self.seated > self.env.lease.padded() + self.env.pace.suspect_after;
        let same_address = m.addr == self.env.addr && self.consensus.is_some();
        let by_operator = self.env.open.is_none() && self.base.members.get(seat).is_some_and(mine);
        mine(m) || (outlived && (same_address || by_operator))
    }

    /// Another member was lately heard in this era, and a round trip to it ended lately:
    /// without, this controller may have been replaced and not know it. What waited out a
    /// freeze is heard, and proves nothing.
    pub(crate) fn recently_reached_peer(&self, now: Mono) -> bool {
        let near = |k: &MemberId| *k != self.member_id && self.hears(now, *k) && self.reaches(now, *k);
        self.consensus.as_ref().is_some_and(|m| m.roster().len() == 1 || m.roster().iter().any(near))
    }

    /// Says what it knows at first hand, as long as there is any roster left.
    pub(crate) fn land(&mut self, now: Mono, out: &mut Vec<Out>) {
        let every = if self.earlier_memberships_retired() { Span::secs(1) } else { Span::ms(100) };
        if self.base.past.is_empty() || !self.due("land", every, now) {
            return;
        }
        let knows = |e: Era| self.subscribers.values().all(|s| s.lease_until <= now || s.era >= e);
        let mine = |(e, r): &(Era, Vec<Member>)| {
            let all = r.iter().enumerate().filter(|(i, m)| knows(*e) && self.speaks_for(now, *i, m));
            all.map(|(_, m)| (*e, m.member_id)).collect::<Vec<_>>()
        };
        let said: Vec<(Era, MemberId)> = self.base.past.iter().flat_map(mine).collect();
        if !said.is_empty() {
            let all = self.base.members.iter();
            out.extend(all.map(|m| Out::Send(m.addr, Msg::Landed(said.clone()))));
        }
    }

    pub(crate) fn on_membership_retired(
        &mut self,
        now: Mono,
        said: Vec<(Era, MemberId)>,
        out: &mut Vec<Out>,
    ) {
        let before = self.earlier_memberships_retired();
        for (e, k) in said {
            self.landed.entry(e).or_default().insert(k);
        }
        if !before && self.earlier_memberships_retired() {
            self.push(now, out);
        }
    }
}
