//! Recovery of unfinished commands, whose leader has probably failed (paper, Fig. 4).
use crate::lead::{LeaderState, Step};
use crate::machine::Machine;
use crate::types::*;
use crate::{classic_quorum, overlap};
use primitives::{Mono, Span};
use std::collections::BTreeMap;

impl<C: Command> Machine<C> {
    /// RECOVERYPHASE: becomes the leader of a command under a higher ballot.
    fn recover(&mut self, now: Mono, cid: CommandId, out: &mut Vec<Out<C>>) {
        let promised = self.ballots.get(&cid).copied().unwrap_or_default();
        let ballot = Ballot { n: promised.n + 1, i: self.me };
        // Synced before it is used, so that this replica does not use it again after a restart.
        self.ballots.insert(cid, ballot);
        out.push(Out::Save(LogRecord::Ballot(cid, ballot)));
        let cmd = self.history.get(&cid).map_or_else(C::noop, |tuple| tuple.cmd.clone());
        self.tally.recovered += 1;
        let state = LeaderState {
            proposal: Offer { cid, cmd, ballot, stamp: Stamp::default(), pred: Preds::new() },
            step: Step::Prepare,
            has_whitelist: false,
            votes: BTreeMap::new(),
            recover_replies: BTreeMap::new(),
            started_at: now,
            last_sent: now,
        };
        self.leader_states.insert(cid, state);
        self.send_all(Message::Recover(cid, ballot), out);
    }

    /// Handles Recover: promises the ballot and replies with the tuple held.
    pub(crate) fn on_recover(
        &mut self,
        from: MemberId,
        cid: CommandId,
        ballot: Ballot,
        out: &mut Vec<Out<C>>,
    ) {
        let promised = self.ballots.entry(cid).or_default();
        if ballot < *promised {
            return;
        }
        if ballot > *promised {
            *promised = ballot;
            out.push(Out::Save(LogRecord::Ballot(cid, ballot)));
        }
        let tuple = self.history.get(&cid).cloned();
        // A repeated Recover is answered only while no proposal of its ballot has been recorded here.
        if tuple.as_ref().is_some_and(|tuple| tuple.ballot == ballot && tuple.status != Status::Stable) {
            return;
        }
        self.send(from, Message::RecoverReply(cid, ballot, tuple), out);
    }

    /// Counts a reply to Recover; continues once a classic quorum has replied.
    pub(crate) fn on_recover_reply(
        &mut self,
        now: Mono,
        from: MemberId,
        cid: CommandId,
        ballot: Ballot,
        tuple: Option<Tuple<C>>,
        out: &mut Vec<Out<C>>,
    ) {
        let member_count = self.member_count();
        let Some(state) = self.leader_states.get_mut(&cid) else {
            return;
        };
        if state.proposal.ballot != ballot || state.step != Step::Prepare {
            return;
        }
        state.recover_replies.insert(from, tuple);
        if state.recover_replies.len() >= classic_quorum(member_count) {
            let replies: Vec<Tuple<C>> = state.recover_replies.values().flatten().cloned().collect();
            self.propose_recovered(now, cid, ballot, replies, out);
        }
    }

    /// Continues with what a classic quorum holds for the command.
    fn propose_recovered(
        &mut self,
        now: Mono,
        cid: CommandId,
        ballot: Ballot,
        replies: Vec<Tuple<C>>,
        out: &mut Vec<Out<C>>,
    ) {
        let stable = replies.iter().find(|t| t.status == Status::Stable);
        let newest = stable.map(|t| t.ballot).or_else(|| replies.iter().map(|t| t.ballot).max());
        let latest: Vec<Tuple<C>> = replies.into_iter().filter(|t| Some(t.ballot) == newest).collect();
        let with = |status: Status| latest.iter().find(|t| t.status == status);
        let propose =
            |t: &Tuple<C>| Offer { cid, cmd: t.cmd.clone(), ballot, stamp: t.stamp, pred: t.pred.clone() };
        // A rejection under ballot 0 may be due to a command that was accepted but not yet
        // stable, and may exist beside a fast decision. What a quorum may have decided
        // therefore takes precedence over rejections. See docs/paper.md.
        let pending: Vec<&Tuple<C>> = latest.iter().filter(|t| t.status == Status::FastPending).collect();
        let required = overlap(self.member_count());
        let rejected = self.config.unmodified_recovery && with(Status::Rejected).is_some();
        let maybe_fast = !rejected && (pending.len() >= required || pending.iter().any(|t| t.forced));
        if let Some(tuple) = with(Status::Stable) {
            self.broadcast_stable(propose(tuple), out);
        } else if let Some(tuple) = with(Status::Accepted) {
            self.start_phase(now, propose(tuple), Phase::Retry, false, out);
        } else if let Some(tuple) = with(Status::SlowPending).filter(|_| !rejected) {
            self.start_phase(now, propose(tuple), Phase::Slow, false, out);
        } else if let Some(t) = pending.first().filter(|_| maybe_fast || with(Status::Rejected).is_none()) {
            let mut proposal = propose(t);
            let whitelist = whitelist(&pending, required);
            let has_whitelist = whitelist.is_some();
            proposal.pred = whitelist.unwrap_or_default();
            self.start_phase(now, proposal, Phase::Fast, has_whitelist, out);
        } else if let Some(tuple) = with(Status::Rejected) {
            let mut proposal = propose(tuple);
            proposal.stamp = self.next_stamp(out);
            proposal.pred = Preds::new();
            self.start_phase(now, proposal, Phase::Fast, false, out);
        } else {
            // No member of the quorum knows the command: its id is filled with the command if
            // this replica knows it, otherwise with a no-op.
            let cmd = self.history.get(&cid).map_or_else(C::noop, |t| t.cmd.clone());
            let stamp = self.next_stamp(out);
            let proposal = Offer { cid, cmd, ballot, stamp, pred: Preds::new() };
            self.start_phase(now, proposal, Phase::Fast, false, out);
        }
    }

    /// Recovers commands that have been unfinished for too long.
    ///
    /// The timeouts are staggered by the position of the member, so that members seldom
    /// compete for the same command. A member that is not caught up leaves recovery to the
    /// others: most commands that seem unfinished to it are merely missing here, and each
    /// reply to a recovery repeats a command.
    pub(crate) fn recover_unfinished(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        if !self.caught_up() {
            return;
        }
        let history = &self.history;
        let delivered = &self.delivered_ids;
        self.unfinished.retain(|cid, _| !delivered.contains(cid));
        let unknown: Vec<CommandId> = history
            .iter()
            .filter(|(id, t)| t.status == Status::Stable && !delivered.contains(id))
            .flat_map(|(_, t)| t.pred.iter().copied())
            .filter(|id| !history.contains_key(id))
            .collect();
        unknown.into_iter().for_each(|id| {
            self.unfinished.entry(id).or_insert((now, 0));
        });
        for (cid, tuple) in &self.history {
            if tuple.status != Status::Stable {
                self.unfinished.entry(*cid).or_insert((now, 0));
            }
        }
        let position = self.members.iter().position(|member| *member == self.me).unwrap_or(0) as u64;
        let base = self.config.recovery_timeout.max(self.rtt().times(6));
        let ids: Vec<(CommandId, Mono, u32)> =
            self.unfinished.iter().map(|(id, (at, n))| (*id, *at, *n)).collect();
        for (cid, since, attempts) in ids {
            let decided = self.history.get(&cid).is_some_and(|t| t.status == Status::Stable);
            if decided || self.leader_states.contains_key(&cid) {
                continue;
            }
            let promised = self.ballots.get(&cid).copied().unwrap_or_default();
            let leader = if promised.n == 0 { cid.member_id } else { promised.i };
            let silent = self.last_heard.get(&leader).is_none_or(|t| now - *t >= self.config.suspect_after);
            let led_here = leader == self.me;
            let growth = 1 << attempts.min(4);
            let timeout = if silent || led_here { base.times(growth) } else { base.times(5 * growth) };
            if now - since >= timeout + Span(base.0 * position / 2) {
                self.unfinished.insert(cid, (now, attempts + 1));
                self.recover(now, cid, out);
            }
        }
    }
}

/// The predecessors of a fast decision that may have been reached, or `None` if there can be no
/// such decision.
///
/// `pending` holds the fast-pending tuples of a classic quorum. A command is a possible
/// predecessor unless at least `required` of them (the overlap with any fast quorum) lack it.
fn whitelist<C>(pending: &[&Tuple<C>], required: usize) -> Option<Preds> {
    let all: Preds = pending.iter().flat_map(|t| t.pred.iter().copied()).collect();
    if let Some(forced) = pending.iter().find(|t| t.forced) {
        // Forced sets of one ballot may differ; the paper takes their union.
        debug_assert_eq!(Some(forced.stamp), pending.first().map(|t| t.stamp));
        return Some(all);
    }
    if pending.len() < required {
        return None;
    }
    let missing_from = |id: &CommandId| pending.iter().filter(|t| !t.pred.contains(id)).count();
    Some(all.into_iter().filter(|id| missing_from(id) < required).collect())
}
