//! The acceptor: handles FastPropose, SlowPropose and Retry (paper, Fig. 2 and the right side
//! of Fig. 3).
use crate::machine::{Machine, WaitingProposal};
use crate::types::*;
use primitives::Mono;

/// Result of evaluating the wait rule for a proposal.
enum WaitRuleOutcome {
    /// A conflicting command with a later timestamp is not settled yet.
    Wait,
    Ok,
    Nack,
}

impl<C: Command> Machine<C> {
    /// COMPUTEPREDECESSORS: the commands that must precede `cid` at timestamp `stamp`.
    ///
    /// With a whitelist, a conflicting command that is only fast-pending or rejected counts
    /// only if the whitelist contains it.
    pub(crate) fn compute_predecessors(
        &self,
        cid: CommandId,
        cmd: &C,
        stamp: Stamp,
        whitelist: Option<&Preds>,
    ) -> Preds {
        let mut pred: Preds = self
            .history
            .iter()
            .filter(|(id, tuple)| **id != cid && tuple.stamp < stamp && tuple.cmd.conflicts(cmd))
            .filter(|(id, tuple)| {
                whitelist.is_none_or(|allowed| {
                    allowed.contains(id)
                        || matches!(tuple.status, Status::SlowPending | Status::Accepted | Status::Stable)
                })
            })
            .map(|(id, _)| *id)
            .collect();
        pred.extend(whitelist.into_iter().flatten().filter(|id| **id != cid));
        pred
    }

    /// WAIT, evaluated again whenever H changes.
    ///
    /// Under a recovery ballot only a stable command may cause a rejection: the predecessors
    /// of an accepted command are not final, so a rejection based on them does not prove that
    /// the timestamp was never decided.
    fn wait_rule_outcome(&self, proposal: &Offer<C>) -> WaitRuleOutcome {
        let (cid, cmd, stamp) = (proposal.cid, &proposal.cmd, proposal.stamp);
        let conflicting = || {
            self.history.iter().filter(move |(id, tuple)| {
                **id != cid && stamp < tuple.stamp && !tuple.pred.contains(&cid) && tuple.cmd.conflicts(cmd)
            })
        };
        let first_ballot = proposal.ballot.n == 0;
        let decisive = |tuple: &Tuple<C>| match tuple.status {
            Status::Accepted => first_ballot || self.config.unmodified_recovery,
            s => s == Status::Stable,
        };
        if self.config.wait_rule && conflicting().any(|(_, tuple)| !decisive(tuple)) {
            WaitRuleOutcome::Wait
        } else if conflicting().any(|(_, tuple)| decisive(tuple)) {
            WaitRuleOutcome::Nack
        } else {
            WaitRuleOutcome::Ok
        }
    }

    /// Returns false if a higher ballot than `ballot` has been promised for the command;
    /// otherwise promises `ballot`.
    fn admit_ballot(&mut self, cid: CommandId, ballot: Ballot) -> bool {
        let promised = self.ballots.entry(cid).or_default();
        let ok = *promised <= ballot;
        *promised = (*promised).max(ballot);
        ok
    }

    /// The command's status if it was set under this ballot or is stable.
    fn status_in_ballot(&self, cid: CommandId, ballot: Ballot) -> Option<Status> {
        self.history
            .get(&cid)
            .filter(|tuple| tuple.ballot == ballot || tuple.status == Status::Stable)
            .map(|tuple| tuple.status)
    }

    /// Handles FastPropose: records the command as fast-pending and votes once the wait rule allows.
    pub(crate) fn on_fast(
        &mut self,
        now: Mono,
        from: MemberId,
        proposal: Offer<C>,
        has_whitelist: bool,
        out: &mut Vec<Out<C>>,
    ) {
        if !self.admit_ballot(proposal.cid, proposal.ballot) {
            return;
        }
        self.observe_clock(proposal.stamp.k, out);
        match self.status_in_ballot(proposal.cid, proposal.ballot) {
            Some(Status::Stable) => return self.send_stable(from, proposal.cid, out),
            Some(Status::SlowPending | Status::Accepted) => return,
            Some(Status::Rejected) => return self.nack(now, from, Phase::Fast, proposal, out),
            Some(Status::FastPending) => (),
            None => {
                let pred = self.compute_predecessors(
                    proposal.cid,
                    &proposal.cmd,
                    proposal.stamp,
                    has_whitelist.then_some(&proposal.pred),
                );
                let tuple = Tuple {
                    cmd: proposal.cmd.clone(),
                    stamp: proposal.stamp,
                    pred,
                    status: Status::FastPending,
                    ballot: proposal.ballot,
                    forced: has_whitelist,
                };
                self.update(now, proposal.cid, tuple, out);
            }
        }
        self.queue_proposal(from, Phase::Fast, proposal);
    }

    /// Handles SlowPropose: votes for the leader's predecessors once the wait rule allows.
    pub(crate) fn on_slow(&mut self, now: Mono, from: MemberId, proposal: Offer<C>, out: &mut Vec<Out<C>>) {
        if !self.admit_ballot(proposal.cid, proposal.ballot) {
            return;
        }
        self.observe_clock(proposal.stamp.k, out);
        match self.status_in_ballot(proposal.cid, proposal.ballot) {
            Some(Status::Stable) => self.send_stable(from, proposal.cid, out),
            Some(Status::Accepted) => (),
            Some(Status::Rejected) => self.nack(now, from, Phase::Slow, proposal, out),
            Some(Status::SlowPending) => {
                self.vote(from, Phase::Slow, true, proposal.stamp, proposal.pred.clone(), &proposal, out)
            }
            _ => self.queue_proposal(from, Phase::Slow, proposal),
        }
    }

    /// Handles Retry, which is never rejected.
    pub(crate) fn on_retry(&mut self, now: Mono, from: MemberId, proposal: Offer<C>, out: &mut Vec<Out<C>>) {
        if !self.admit_ballot(proposal.cid, proposal.ballot) {
            return;
        }
        self.observe_clock(proposal.stamp.k, out);
        match self.status_in_ballot(proposal.cid, proposal.ballot) {
            Some(Status::Stable) => return self.send_stable(from, proposal.cid, out),
            Some(Status::Accepted) => (),
            _ => {
                let tuple = Tuple {
                    cmd: proposal.cmd.clone(),
                    stamp: proposal.stamp,
                    pred: proposal.pred.clone(),
                    status: Status::Accepted,
                    ballot: proposal.ballot,
                    forced: false,
                };
                self.update(now, proposal.cid, tuple, out);
            }
        }
        let mut pred = self.compute_predecessors(proposal.cid, &proposal.cmd, proposal.stamp, None);
        pred.extend(&proposal.pred);
        self.vote(from, Phase::Retry, true, proposal.stamp, pred, &proposal, out);
    }

    fn queue_proposal(&mut self, from: MemberId, phase: Phase, proposal: Offer<C>) {
        self.waiting_proposals.insert(proposal.cid, WaitingProposal { from, phase, proposal });
    }

    /// Evaluates the wait rule for each queued proposal and answers those that need not wait.
    pub(crate) fn reevaluate_waiting(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        let ids: Vec<CommandId> = self.waiting_proposals.keys().copied().collect();
        for cid in ids {
            let waiting = &self.waiting_proposals[&cid];
            let proposal = &waiting.proposal;
            let outdated = self.ballots.get(&cid).is_some_and(|promised| *promised > proposal.ballot)
                || self.status_in_ballot(cid, proposal.ballot) >= Some(Status::Accepted);
            if outdated {
                self.waiting_proposals.remove(&cid);
                continue;
            }
            match self.wait_rule_outcome(proposal) {
                WaitRuleOutcome::Wait => self.tally.waited += 1,
                outcome => {
                    let waiting = self.waiting_proposals.remove(&cid).expect("listed above");
                    self.resolve_waiting(now, waiting, matches!(outcome, WaitRuleOutcome::Ok), out);
                }
            }
        }
    }

    /// Answers a proposal that has left the queue: agrees if `ok`, rejects otherwise.
    fn resolve_waiting(&mut self, now: Mono, waiting: WaitingProposal<C>, ok: bool, out: &mut Vec<Out<C>>) {
        let proposal = waiting.proposal;
        if !ok {
            return self.nack(now, waiting.from, waiting.phase, proposal, out);
        }
        let pred = match waiting.phase {
            Phase::Slow => {
                let tuple = Tuple {
                    cmd: proposal.cmd.clone(),
                    stamp: proposal.stamp,
                    pred: proposal.pred.clone(),
                    status: Status::SlowPending,
                    ballot: proposal.ballot,
                    forced: false,
                };
                self.update(now, proposal.cid, tuple, out);
                proposal.pred.clone()
            }
            _ => self.history[&proposal.cid].pred.clone(),
        };
        self.vote(waiting.from, waiting.phase, true, proposal.stamp, pred, &proposal, out);
    }

    /// Marks the command as rejected and suggests a new timestamp, taken from this replica's clock.
    fn nack(&mut self, now: Mono, to: MemberId, phase: Phase, proposal: Offer<C>, out: &mut Vec<Out<C>>) {
        self.tally.nacked += 1;
        let stamp = self.next_stamp(out);
        let pred = self.compute_predecessors(proposal.cid, &proposal.cmd, stamp, None);
        let tuple = Tuple {
            cmd: proposal.cmd.clone(),
            stamp: proposal.stamp,
            pred: pred.clone(),
            status: Status::Rejected,
            ballot: proposal.ballot,
            forced: false,
        };
        self.update(now, proposal.cid, tuple, out);
        self.vote(to, phase, false, stamp, pred, &proposal, out);
    }

    #[allow(clippy::too_many_arguments)]
    fn vote(
        &mut self,
        to: MemberId,
        phase: Phase,
        ok: bool,
        stamp: Stamp,
        pred: Preds,
        proposal: &Offer<C>,
        out: &mut Vec<Out<C>>,
    ) {
        let vote = Vote { cid: proposal.cid, ballot: proposal.ballot, phase, ok, stamp, pred };
        self.send(to, Message::Vote(vote), out);
    }
}
