//! Leadership: one member at a time removes silent origins, lends requests, changes the
//! membership and ends eras, under an epoch that a quorum of members granted it.
//!
//! Invariants: a member's epoch never goes down; a grant stands for `GRANT` by the leader's
//! clock from when it asked, and a little longer by the granter's, which grants no other
//! meanwhile. A restarted member has forgotten its grants, so it gives none for that long.
use crate::controller::Controller;
use caesar::{classic_quorum, MemberId};
use control_state::*;
use primitives::{Addr, Epoch, Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// How long a member's grant stands.
pub(crate) const GRANT: Span = Span::ms(1500);
/// An epoch that finds no quorum is given up after so long. Invariant: longer than any
/// grant stands, or of a vote once split each half's grants would end as the next epoch is
/// already refused by the other half, for ever.
const RAISE_EPOCH: Span = Span::ms(3500);
/// A member within reach that does not ask for the leadership for so long cannot hold it:
/// it is out of contact with a majority.
const STEP_IN: Span = Span::secs(3);
/// How often a leader asks for grants.
const ASK: Span = Span::ms(300);
/// How often a leader looks for silent origins, and at the set of ledgers.
const SWEEP: Span = Span::ms(500);
const LOOK_AT_LEDGERS: Span = Span::ms(300);

/// An epoch this member asks for, and what it was granted.
#[derive(Debug)]
struct Candidacy {
    epoch: Epoch,
    since: Mono,
    /// Until when each member's grant carries it.
    grants: BTreeMap<MemberId, Mono>,
}

/// A grant this member gave.
#[derive(Debug)]
struct Granted {
    to: MemberId,
    epoch: Epoch,
}

/// What one member knows of the leadership.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// The highest epoch heard of; nobody below it is served.
    highest: Epoch,
    granted: Option<Granted>,
    /// Nobody else is granted anything before.
    bound_until: Mono,
    candidacy: Option<Candidacy>,
    /// When each member last asked, and when this process began.
    asked: BTreeMap<MemberId, Mono>,
    began: Mono,
    /// Grants that carry a leader: a quorum.
    quorum: usize,
}

impl Leadership {
    pub(crate) fn new(now: Mono) -> Leadership {
        Leadership {
            highest: Epoch(0),
            granted: None,
            bound_until: now + GRANT.padded(),
            candidacy: None,
            asked: BTreeMap::new(),
            began: now,
            quorum: usize::MAX,
        }
    }

    /// Until when a quorum's grants carry this member; the beginning of time if none do.
    pub(crate) fn granted_until(&self) -> Mono {
        let Some(candidacy) = &self.candidacy else { return Mono(0) };
        let mut ends: Vec<Mono> = candidacy.grants.values().copied().collect();
        ends.sort();
        ends.into_iter().rev().nth(self.quorum.saturating_sub(1)).unwrap_or_default()
    }

    pub(crate) fn is_held(&self, now: Mono) -> bool {
        self.granted_until() > now
    }

    /// Whether it is held, and for that long since its epoch began.
    fn is_held_for(&self, now: Mono, least: Span) -> bool {
        let since = self.candidacy.as_ref().map(|c| c.since);
        self.is_held(now) && since.is_some_and(|since| now - since > least)
    }

    /// What edges are told: they pass it on, so that an epoch nobody carries would end
    /// one that a quorum does.
    pub(crate) fn held_epoch(&self, now: Mono) -> Epoch {
        let held = self.candidacy.as_ref().filter(|_| self.is_held(now));
        held.map_or(Epoch(0), |c| c.epoch)
    }

    /// The epoch this member asks for, whether or not it is carried.
    pub(crate) fn candidate_epoch(&self) -> Option<Epoch> {
        self.candidacy.as_ref().map(|c| c.epoch)
    }

    /// An epoch was heard of.
    pub(crate) fn note_epoch(&mut self, epoch: Epoch) {
        self.highest = self.highest.max(epoch);
    }

    fn resign(&mut self) {
        self.candidacy = None;
    }

    fn last_asked(&self, member_id: MemberId) -> Mono {
        self.asked.get(&member_id).copied().unwrap_or(self.began)
    }

    /// The epoch to ask for now; true if it is a new one.
    fn stand(&mut self, now: Mono, quorum: usize) -> (Epoch, bool) {
        self.quorum = quorum;
        let stale = |c: &Candidacy| c.epoch < self.highest;
        let failed = |c: &Candidacy| self.granted_until() <= now && c.since + RAISE_EPOCH < now;
        if let Some(current) = self.candidacy.as_ref().filter(|c| !stale(c) && !failed(c)) {
            return (current.epoch, false);
        }
        self.highest = Epoch(self.highest.0 + 1);
        let epoch = self.highest;
        self.candidacy = Some(Candidacy { epoch, since: now, grants: BTreeMap::new() });
        (epoch, true)
    }

    /// Whether a candidate is granted its epoch. Two that do not hear one another would share
    /// the grants for ever: of those who ask the earlier in the order gets them, and the other
    /// raises no epoch here.
    fn vote(&mut self, now: Mono, candidate: MemberId, epoch: Epoch) -> bool {
        self.asked.insert(candidate, now);
        let outranked = self.asked.iter().any(|(member_id, t)| *member_id < candidate && now - *t < GRANT);
        if outranked {
            return false;
        }
        let again = self.granted.as_ref().is_some_and(|g| g.to == candidate && g.epoch == epoch);
        let free = self.bound_until <= now && epoch >= self.highest;
        self.note_epoch(epoch);
        if again || free {
            self.granted = Some(Granted { to: candidate, epoch });
            self.bound_until = now + GRANT.padded();
        }
        again || free
    }

    /// A member's answer; a grant counts from when it was asked for.
    fn on_vote(&mut self, voter: MemberId, epoch: Epoch, granted: Option<Mono>) {
        self.note_epoch(epoch);
        let current = self.candidacy.as_mut().filter(|c| c.epoch == epoch);
        if let (Some(candidacy), Some(asked)) = (current, granted) {
            candidacy.grants.insert(voter, asked + GRANT);
        }
    }
}

impl Controller {
    /// Every member before this one in the order leaves, is out of reach, has a disk that
    /// does not keep up, or has not asked for the leadership for so long that it must be
    /// unable to. Where no disk keeps up, disks do not count.
    pub(crate) fn first_live(&self, now: Mono) -> bool {
        // Who has just got its seat cannot have reached anybody yet.
        let settled = now - self.seated > self.env.pace.suspect_after;
        let idle = |k: &MemberId| now - self.leadership.last_asked(*k) > STEP_IN;
        let absent = |k: &MemberId| *k != self.member_id && settled && (!self.reaches(now, *k) || idle(k));
        let available = |k: &MemberId| !self.watch.leaves(*k) && !absent(k);
        let in_order: BTreeSet<MemberId> = self.state.members.iter().map(|m| m.member_id).collect();
        let members: Vec<MemberId> = in_order.into_iter().filter(available).collect();
        let keeps_up = members.iter().find(|k| self.disk.keeps_up(now, **k));
        keeps_up.or(members.first()) == Some(&self.member_id)
    }

    /// Asks for the leadership while it falls to this member, and does a leader's work.
    pub(crate) fn lead(&mut self, now: Mono, out: &mut Vec<Out>) {
        let fit = self.caught_up() && self.connected(now) && self.first_live(now);
        if !fit {
            return self.leadership.resign();
        }
        if self.due("leadership", ASK, now) {
            self.ask_for_leadership(now, out);
        }
        let heard_all_origins = self.leadership.is_held_for(now, self.env.vanish);
        if heard_all_origins && self.due("sweep", SWEEP, now) {
            self.remove_silent_origins(now, out);
        }
        if self.leadership.is_held(now) && self.due("ledgers", LOOK_AT_LEDGERS, now) {
            self.maintain_ledger_sets(now, out);
        }
    }

    fn ask_for_leadership(&mut self, now: Mono, out: &mut Vec<Out>) {
        let quorum = classic_quorum(self.base.members.len());
        let (epoch, raised) = self.leadership.stand(now, quorum);
        if raised {
            self.lending.clear();
            out.push(Out::Note("asking for the leadership under a new epoch"));
        }
        let candidate = self.member_id;
        let ask = |m: &Member| Out::SendNow(m.addr, Msg::LeadershipRequest { candidate, epoch, asked: now });
        out.extend(self.base.members.iter().map(ask));
    }

    pub(crate) fn on_ask_leadership(
        &mut self,
        now: Mono,
        from: Addr,
        (candidate, epoch, asked): (MemberId, Epoch, Mono),
        out: &mut Vec<Out>,
    ) {
        let granted = self.leadership.vote(now, candidate, epoch).then_some(asked);
        let (voter, epoch) = (self.member_id, self.leadership.highest);
        out.push(Out::SendNow(from, Msg::LeadershipVote { voter, epoch, granted }));
    }

    pub(crate) fn on_leadership_vote(&mut self, voter: MemberId, epoch: Epoch, granted: Option<Mono>) {
        self.leadership.on_vote(voter, epoch, granted);
    }
}
