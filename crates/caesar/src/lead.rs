//! The leader: runs the four phases of a command (paper, left side of Fig. 3).
use crate::machine::Machine;
use crate::types::*;
use crate::{classic_quorum, fast_quorum};
use primitives::{Mono, Span};
use std::collections::BTreeMap;

/// Upper bound on the interval at which an unanswered message is repeated, unless a round
/// trip or the transfer of the command takes longer.
const MAX_REPEAT_INTERVAL: Span = Span::secs(1);
/// Assumed transfer time per byte of a command: 100 kB/s.
const MICROS_PER_BYTE: u64 = 10;

/// State of a command that this replica leads, under one ballot.
#[derive(Clone, Debug, Hash)]
pub(crate) struct LeaderState<C> {
    pub proposal: Offer<C>,
    pub step: Step,
    /// Whether `proposal.pred` is a whitelist set by recovery.
    pub has_whitelist: bool,
    /// First vote of each member in this phase: whether it agrees, the timestamp and the predecessors.
    pub votes: BTreeMap<MemberId, (bool, Stamp, Preds)>,
    /// What each member that has replied to `Recover` holds for the command.
    pub recover_replies: BTreeMap<MemberId, Option<Tuple<C>>>,
    /// When this replica began to lead the command or entered the fast phase.
    pub started_at: Mono,
    /// When the message of this step was last sent.
    pub last_sent: Mono,
}

/// What a leader is waiting for.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    /// Replies to `Recover`.
    Prepare,
    /// Votes of a phase.
    Vote(Phase),
}

impl<C: Command> Machine<C> {
    /// PROPOSE: starts agreement on the command, with this replica as its leader.
    pub fn propose(&mut self, now: Mono, cmd: C, out: &mut Vec<Out<C>>) -> CommandId {
        let stamp = self.next_stamp(out);
        let cid = CommandId { member_id: self.me, seq: stamp.k };
        self.tally.proposed += 1;
        let proposal = Offer { cid, cmd, ballot: Ballot::default(), stamp, pred: Preds::new() };
        self.start_phase(now, proposal, Phase::Fast, false, out);
        cid
    }

    /// Enters a phase and sends the proposal to all members.
    pub(crate) fn start_phase(
        &mut self,
        now: Mono,
        proposal: Offer<C>,
        phase: Phase,
        has_whitelist: bool,
        out: &mut Vec<Out<C>>,
    ) {
        let started_at = match self.leader_states.get(&proposal.cid) {
            Some(state) if phase != Phase::Fast => state.started_at,
            _ => now,
        };
        let state = LeaderState {
            proposal,
            step: Step::Vote(phase),
            has_whitelist,
            votes: BTreeMap::new(),
            recover_replies: BTreeMap::new(),
            started_at,
            last_sent: now,
        };
        let msg = state.message();
        self.leader_states.insert(state.proposal.cid, state);
        self.send_all(msg, out);
    }

    /// Counts a vote of the current phase; fast-phase votes also measure the round-trip time.
    pub(crate) fn on_vote(&mut self, now: Mono, from: MemberId, vote: Vote, out: &mut Vec<Out<C>>) {
        let Some(state) = self.leader_states.get_mut(&vote.cid) else {
            return;
        };
        if state.proposal.ballot != vote.ballot || state.step != Step::Vote(vote.phase) {
            return;
        }
        state.votes.entry(from).or_insert((vote.ok, vote.stamp, vote.pred));
        if vote.phase == Phase::Fast && from != self.me {
            let rtt = now - state.last_sent;
            let average = self.rtts.entry(from).or_insert(rtt);
            *average = Span((average.0 * 7 + rtt.0) / 8);
        }
        self.evaluate_votes(now, vote.cid, false, out);
    }

    /// Measured round-trip time to a quorum: the slowest member of the nearest classic quorum.
    pub(crate) fn rtt(&self) -> Span {
        let mut all: Vec<Span> = self.rtts.values().copied().collect();
        all.sort();
        all.get(classic_quorum(self.member_count()).saturating_sub(2))
            .copied()
            .unwrap_or(self.config.initial_rtt)
    }

    /// Ends the phase if enough votes are in. `late` means that the timeout of the fast phase has
    /// expired, so that a classic quorum is enough.
    fn evaluate_votes(&mut self, now: Mono, cid: CommandId, late: bool, out: &mut Vec<Out<C>>) {
        let member_count = self.member_count();
        let Some(state) = self.leader_states.get(&cid) else {
            return;
        };
        let Step::Vote(phase) = state.step else { return };
        let required = match phase {
            Phase::Fast if !late => fast_quorum(member_count),
            _ => classic_quorum(member_count),
        };
        if state.votes.len() < required {
            return;
        }
        let mut proposal = state.proposal.clone();
        let rejected = state.votes.values().any(|(ok, ..)| !ok);
        let fast_quorum_reached = state.votes.len() >= fast_quorum(member_count);
        proposal.pred = state.votes.values().flat_map(|(_, _, pred)| pred.iter().copied()).collect();
        proposal.pred.remove(&cid);
        match phase {
            _ if rejected => {
                proposal.stamp =
                    state.votes.values().map(|(_, stamp, _)| *stamp).max().unwrap_or(proposal.stamp);
                self.tally.retried += 1;
                self.start_phase(now, proposal, Phase::Retry, false, out);
            }
            Phase::Fast if !fast_quorum_reached => {
                self.tally.slow += 1;
                self.start_phase(now, proposal, Phase::Slow, false, out);
            }
            _ => {
                self.tally.fast += (phase == Phase::Fast) as u64;
                self.broadcast_stable(proposal, out);
            }
        }
    }

    /// The stable phase: sends the decision to all members.
    pub(crate) fn broadcast_stable(&mut self, proposal: Offer<C>, out: &mut Vec<Out<C>>) {
        self.leader_states.remove(&proposal.cid);
        self.send_all(Message::Stable(proposal), out);
    }

    /// Handles timeouts and repeats messages for all commands that this replica leads.
    pub(crate) fn advance_led_commands(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        let fast_timeout = self.rtt().times(2);
        let min_interval = fast_timeout.max(Span::ms(20));
        let ids: Vec<CommandId> = self.leader_states.keys().copied().collect();
        for cid in ids {
            let state = &self.leader_states[&cid];
            let superseded = self.ballots.get(&cid).is_some_and(|promised| *promised > state.proposal.ballot);
            let decided = self.history.get(&cid).is_some_and(|tuple| tuple.status == Status::Stable);
            if superseded || decided {
                self.leader_states.remove(&cid);
                continue;
            }
            if state.step == Step::Vote(Phase::Fast) && now - state.started_at >= fast_timeout {
                self.evaluate_votes(now, cid, true, out);
            }
            let members = self.members.clone();
            let Some(state) = self.leader_states.get_mut(&cid) else {
                continue;
            };
            // The interval grows with the age of the phase, and is no shorter than the time that a
            // message of this size may take on a slow link.
            let half_age = Span((now - state.started_at).0 / 2).min(MAX_REPEAT_INTERVAL);
            let transfer_time = Span(state.proposal.cmd.bytes() as u64 * MICROS_PER_BYTE);
            if now - state.last_sent >= min_interval.max(half_age).max(transfer_time) {
                state.last_sent = now;
                let msg = state.message();
                let (votes, recover_replies) = (&state.votes, &state.recover_replies);
                let unanswered: Vec<MemberId> = members
                    .into_iter()
                    .filter(|member| !votes.contains_key(member) && !recover_replies.contains_key(member))
                    .collect();
                unanswered.into_iter().for_each(|member| self.send(member, msg.clone(), out));
            }
        }
    }
}

impl<C: Command> LeaderState<C> {
    /// The message that requests the outstanding replies of the current step.
    pub(crate) fn message(&self) -> Message<C> {
        let proposal = self.proposal.clone();
        match self.step {
            Step::Prepare => Message::Recover(proposal.cid, proposal.ballot),
            Step::Vote(Phase::Fast) => Message::FastPropose(proposal, self.has_whitelist),
            Step::Vote(Phase::Slow) => Message::SlowPropose(proposal),
            Step::Vote(Phase::Retry) => Message::Retry(proposal),
        }
    }
}
