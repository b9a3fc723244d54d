//! Leadership. At most one member at a time removes silent origins, grants borrowed tokens, changes
//! the membership and ends eras. It does so under an epoch granted by a quorum of members.
//!
//! Invariants: a member's epoch never decreases. A grant is valid for `GRANT_DURATION`, counted by
//! the leader's clock from the request and slightly longer by the granter's clock; the granter
//! gives no other grant meanwhile. A restarted member has lost its record of grants, so it gives
//! none for that long.
use crate::controller::Controller;
use caesar::{classic_quorum, MemberId};
use control_state::*;
use primitives::{Addr, Epoch, Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Validity of a grant.
pub(crate) const GRANT_DURATION: Span = Span::ms(1500);
/// A candidacy that reaches no quorum is abandoned after this time. Invariant: longer than a grant
/// is valid. Otherwise, after a split vote, the grants of each half would expire only when the
/// other half already refuses the next epoch, and no candidate would ever be elected.
const CANDIDACY_TIMEOUT: Span = Span::ms(3500);
/// A reachable member that has not requested the leadership for this long cannot hold it: it has
/// lost contact with a majority.
const CANDIDATE_TIMEOUT: Span = Span::secs(3);
/// Interval between leadership requests.
const REQUEST_INTERVAL: Span = Span::ms(300);
/// Intervals at which the leader checks for silent origins and reviews the ledger set.
const ORIGIN_CHECK_INTERVAL: Span = Span::ms(500);
const LEDGER_CHECK_INTERVAL: Span = Span::ms(300);

/// An epoch requested by this member, and the grants received for it.
#[derive(Debug)]
struct Candidacy {
    epoch: Epoch,
    started: Mono,
    /// Per member, when its grant expires.
    grants: BTreeMap<MemberId, Mono>,
}

/// The last grant given by this member.
#[derive(Debug)]
struct GivenGrant {
    holder: MemberId,
    epoch: Epoch,
}

/// Leadership state of one member.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// The highest epoch seen; requests for a lower one are refused.
    highest_epoch: Epoch,
    given_grant: Option<GivenGrant>,
    /// No other candidate is granted an epoch before this time.
    exclusive_until: Mono,
    candidacy: Option<Candidacy>,
    /// When each member last requested the leadership; `started` stands in for members that have
    /// not.
    last_requests: BTreeMap<MemberId, Mono>,
    started: Mono,
    /// Number of grants required to lead.
    quorum: usize,
}

impl Leadership {
    pub(crate) fn new(now: Mono) -> Leadership {
        Leadership {
            highest_epoch: Epoch(0),
            given_grant: None,
            exclusive_until: now + GRANT_DURATION.padded(),
            candidacy: None,
            last_requests: BTreeMap::new(),
            started: now,
            quorum: usize::MAX,
        }
    }

    /// Time until which a quorum of grants is valid; zero if there is no quorum.
    pub(crate) fn granted_until(&self) -> Mono {
        let Some(candidacy) = &self.candidacy else { return Mono(0) };
        let mut expiries: Vec<Mono> = candidacy.grants.values().copied().collect();
        expiries.sort();
        expiries.into_iter().rev().nth(self.quorum.saturating_sub(1)).unwrap_or_default()
    }

    /// Whether a quorum of grants is valid now.
    pub(crate) fn is_held(&self, now: Mono) -> bool {
        self.granted_until() > now
    }

    /// Whether the leadership is held and more than `duration` has passed since the epoch began.
    fn has_been_held_for(&self, now: Mono, duration: Span) -> bool {
        let since = self.candidacy.as_ref().map(|candidacy| candidacy.started);
        self.is_held(now) && since.is_some_and(|since| now - since > duration)
    }

    /// The epoch reported to edges; zero unless the leadership is held. Edges pass it on, so an
    /// epoch without a quorum would otherwise displace one that has it.
    pub(crate) fn held_epoch(&self, now: Mono) -> Epoch {
        let held_candidacy = self.candidacy.as_ref().filter(|_| self.is_held(now));
        held_candidacy.map_or(Epoch(0), |candidacy| candidacy.epoch)
    }

    /// The epoch this member requests, whether or not a quorum has granted it.
    pub(crate) fn candidate_epoch(&self) -> Option<Epoch> {
        self.candidacy.as_ref().map(|candidacy| candidacy.epoch)
    }

    /// Records an epoch seen in a message.
    pub(crate) fn note_epoch(&mut self, epoch: Epoch) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// Abandons the current candidacy or leadership.
    fn resign(&mut self) {
        self.candidacy = None;
    }

    /// When the member last requested the leadership, or the start of this process.
    fn last_request(&self, member_id: MemberId) -> Mono {
        self.last_requests.get(&member_id).copied().unwrap_or(self.started)
    }

    /// Returns the epoch to request now, and whether it is a new one.
    fn start_or_continue_candidacy(&mut self, now: Mono, quorum: usize) -> (Epoch, bool) {
        self.quorum = quorum;
        let outdated = |candidacy: &Candidacy| candidacy.epoch < self.highest_epoch;
        let failed = |candidacy: &Candidacy| {
            self.granted_until() <= now && candidacy.started + CANDIDACY_TIMEOUT < now
        };
        if let Some(current) =
            self.candidacy.as_ref().filter(|candidacy| !outdated(candidacy) && !failed(candidacy))
        {
            return (current.epoch, false);
        }
        self.highest_epoch = Epoch(self.highest_epoch.0 + 1);
        let epoch = self.highest_epoch;
        self.candidacy = Some(Candidacy { epoch, started: now, grants: BTreeMap::new() });
        (epoch, true)
    }

    /// Decides whether a candidate is granted its epoch. Two candidates that cannot reach each
    /// other could split the grants indefinitely. Of the members that requested recently, the one
    /// with the lowest id therefore gets the grants, and the epoch of the other is ignored here.
    fn vote(&mut self, now: Mono, candidate: MemberId, epoch: Epoch) -> bool {
        self.last_requests.insert(candidate, now);
        let outranked = self
            .last_requests
            .iter()
            .any(|(member_id, requested)| *member_id < candidate && now - *requested < GRANT_DURATION);
        if outranked {
            return false;
        }
        let repeated =
            self.given_grant.as_ref().is_some_and(|grant| grant.holder == candidate && grant.epoch == epoch);
        let available = self.exclusive_until <= now && epoch >= self.highest_epoch;
        self.note_epoch(epoch);
        if repeated || available {
            self.given_grant = Some(GivenGrant { holder: candidate, epoch });
            self.exclusive_until = now + GRANT_DURATION.padded();
        }
        repeated || available
    }

    /// Handles a vote. A grant is valid from the time of the request, not of the vote.
    fn on_vote(&mut self, voter: MemberId, epoch: Epoch, granted: Option<Mono>) {
        self.note_epoch(epoch);
        let current = self.candidacy.as_mut().filter(|candidacy| candidacy.epoch == epoch);
        if let (Some(candidacy), Some(requested)) = (current, granted) {
            candidacy.grants.insert(voter, requested + GRANT_DURATION);
        }
    }
}

impl Controller {
    /// Whether every member with a lower id is leaving, unreachable, has a slow disk, or has not
    /// requested the leadership for so long that it must be unable to. If all disks are slow, disk
    /// health is ignored.
    pub(crate) fn is_first_eligible(&self, now: Mono) -> bool {
        // A newly added member has not had time to reach anybody.
        let settled = now - self.seated > self.env.pace.suspect_after;
        let not_requesting =
            |member: &MemberId| now - self.leadership.last_request(*member) > CANDIDATE_TIMEOUT;
        let absent = |member: &MemberId| {
            *member != self.member_id && settled && (!self.reaches(now, *member) || not_requesting(member))
        };
        let available = |member: &MemberId| !self.watch.leaves(*member) && !absent(member);
        let in_order: BTreeSet<MemberId> = self.state.members.iter().map(|m| m.member_id).collect();
        let eligible: Vec<MemberId> = in_order.into_iter().filter(available).collect();
        let with_fast_disk = eligible.iter().find(|member| self.disk.keeps_up(now, **member));
        with_fast_disk.or(eligible.first()) == Some(&self.member_id)
    }

    /// Requests the leadership while this member is first in line, and performs the leader's
    /// duties.
    pub(crate) fn lead(&mut self, now: Mono, out: &mut Vec<Out>) {
        let eligible = self.caught_up() && self.connected(now) && self.is_first_eligible(now);
        if !eligible {
            return self.leadership.resign();
        }
        if self.due("leadership", REQUEST_INTERVAL, now) {
            self.request_leadership(now, out);
        }
        let held_long_enough = self.leadership.has_been_held_for(now, self.env.vanish);
        if held_long_enough && self.due("sweep", ORIGIN_CHECK_INTERVAL, now) {
            self.remove_silent_origins(now, out);
        }
        if self.leadership.is_held(now) && self.due("ledgers", LEDGER_CHECK_INTERVAL, now) {
            self.maintain_ledger_sets(now, out);
        }
    }

    /// Sends a leadership request to all members; a new epoch starts without lent tokens.
    fn request_leadership(&mut self, now: Mono, out: &mut Vec<Out>) {
        let quorum = classic_quorum(self.base.members.len());
        let (epoch, new_epoch) = self.leadership.start_or_continue_candidacy(now, quorum);
        if new_epoch {
            self.lending.clear();
            out.push(Out::Note("requesting the leadership under a new epoch"));
        }
        let candidate = self.member_id;
        let request =
            |m: &Member| Out::SendNow(m.addr, Msg::LeadershipRequest { candidate, epoch, asked: now });
        out.extend(self.base.members.iter().map(request));
    }

    /// Answers a leadership request with a vote.
    pub(crate) fn on_ask_leadership(
        &mut self,
        now: Mono,
        from: Addr,
        (candidate, epoch, asked): (MemberId, Epoch, Mono),
        out: &mut Vec<Out>,
    ) {
        let granted = self.leadership.vote(now, candidate, epoch).then_some(asked);
        let (voter, epoch) = (self.member_id, self.leadership.highest_epoch);
        out.push(Out::SendNow(from, Msg::LeadershipVote { voter, epoch, granted }));
    }

    /// Handles a member's vote.
    pub(crate) fn on_leadership_vote(&mut self, voter: MemberId, epoch: Epoch, granted: Option<Mono>) {
        self.leadership.on_vote(voter, epoch, granted);
    }
}
