//! Submission of changes and their acknowledgement once they are decided, durable and in force.
//!
//! Invariant: a change is acknowledged only when a classic quorum of controllers has applied it from
//! a synced decision and none of them has an unexpired lease out to a subscriber that lacks it. A
//! subscriber's lease needs renewals from a classic quorum, and two such quorums share a controller,
//! so no subscriber without the change can be serving.
use crate::controller::Controller;
use crate::pending::{Pending, PendingChange};
use caesar::{classic_quorum, CommandId, MemberId};
use control_state::*;
use primitives::{Addr, Mono, Span, Token};
use std::sync::Arc;

const NOT_A_MEMBER: NodeReply = NodeReply::Unavailable("this controller is no longer a member");
/// Changes pending for this long are dropped without an answer.
const MAX_PENDING_TIME: Span = Span::secs(60);
/// How often pending changes are checked.
const CHECK_INTERVAL: Span = Span::ms(50);
/// Limits of one command of batched changes: their number, and their size in bytes.
const MAX_BATCH_CHANGES: usize = 100;
const MAX_BATCH_BYTES: usize = 32 << 10;

impl Controller {
    /// Proposes a change, or queues it to be proposed with others if it can be batched. The caller of
    /// `token` is answered when the change is in force or refused.
    pub(crate) fn submit(&mut self, now: Mono, token: Option<Token>, change: Change, out: &mut Vec<Out>) {
        self.enqueue(now, PendingChange::new(change, token), out);
        self.propose_queued_changes(now, out);
    }

    /// Joins an identical pending change, queues the change for a batch, or proposes it.
    fn enqueue(&mut self, now: Mono, request: PendingChange, out: &mut Vec<Out>) {
        let request = PendingChange { change: self.without_confirmed_edits(request.change), ..request };
        if self.join_identical_edits(now, &request) {
            return;
        }
        if request.change.op.is_batchable() {
            self.queued_changes.push(request);
        } else {
            self.propose(now, vec![request], out);
        }
    }

    /// Proposes again what was not decided by the end of an era, or whose command was replaced by a
    /// no-op; callers that joined it keep waiting. A removal that nobody waits for is dropped: its
    /// origin may have sent heartbeats since.
    pub(crate) fn again(&mut self, now: Mono, pending: Pending, out: &mut Vec<Out>) {
        for request in pending.into_reproposals() {
            let stale_removal = !request.has_callers() && matches!(request.change.op, Op::Remove(..));
            if !stale_removal {
                self.enqueue(now, request, out);
            }
        }
        self.propose_queued_changes(now, out);
    }

    /// Proposes queued changes as one command. Only one such command of this controller is undelivered at
    /// a time; later changes wait in the queue.
    pub(crate) fn propose_queued_changes(&mut self, now: Mono, out: &mut Vec<Out>) {
        let is_batch = |p: &Pending| p.asked.iter().any(|a| a.change.op.is_batchable());
        let busy = self.pending.values().any(|p| p.own && p.verdicts.is_none() && is_batch(p));
        if !busy && !self.queued_changes.is_empty() {
            // As many as fit the size limit, but at least one.
            let mut bytes = 0;
            let fits = |a: &&PendingChange| {
                bytes += a.change.op.size();
                bytes <= MAX_BATCH_BYTES
            };
            let n = self.queued_changes.iter().take(MAX_BATCH_CHANGES).take_while(fits).count().max(1);
            let all = self.queued_changes.drain(..n).collect();
            self.propose(now, all, out);
        }
    }

    /// Proposes these changes as one command. If this controller is not a member, their callers are
    /// answered so at once.
    pub(crate) fn propose(&mut self, now: Mono, requests: Vec<PendingChange>, out: &mut Vec<Out>) {
        let cmd = Cmd::Changes(Arc::new(requests.iter().map(|a| a.change.clone()).collect()));
        let mut outputs = vec![];
        let cid = self.consensus.as_mut().map(|m| m.propose(now, cmd, &mut outputs));
        match cid {
            Some(cid) => {
                self.pending.insert(cid, Pending::new(requests, now, true));
            }
            None => {
                let reject = |token| Out::Tell(token, NOT_A_MEMBER);
                out.extend(requests.into_iter().flat_map(|mut a| a.take_callers()).map(reject));
            }
        }
        self.handle_outputs(now, outputs, out);
    }

    /// Submits a deregistration or drain, or joins the same one if it is pending. An origin repeats it
    /// until it is answered; when decisions are slow, a command for each repetition would pile up.
    pub(crate) fn submit_unless_pending(&mut self, now: Mono, token: Token, op: Op, out: &mut Vec<Out>) {
        if !self.join_pending(token, &op) {
            self.submit(now, Some(token), Change { id: None, op }, out);
        }
    }

    /// Adds the caller to the same operation if it is pending or queued. Returns whether there was one.
    pub(crate) fn join_pending(&mut self, token: Token, op: &Op) -> bool {
        let pending = self.pending.values_mut().flat_map(|p| &mut p.asked);
        let mut waiting = pending.chain(&mut self.queued_changes);
        let same = waiting.find(|a| a.change.id.is_none() && a.change.op == *op);
        same.map(|a| a.callers.push(token)).is_some()
    }

    /// Notes an operation as proposed now. Returns false if it was noted within the last 1.5 s already.
    fn note_recent_proposal(&mut self, now: Mono, op: &Op) -> bool {
        let fingerprint = primitives::hash(&format!("{op:?}"));
        let recent = self.recent_proposals.get(&fingerprint).is_some_and(|t| now - *t < Span::ms(1500));
        if !recent {
            self.recent_proposals.retain(|_, t| now - *t < Span::secs(10));
            self.recent_proposals.insert(fingerprint, now);
            self.count("derived");
        }
        !recent
    }

    /// Proposes an operation that no operator sent, unless it was proposed within the last 1.5 s.
    pub(crate) fn derive(&mut self, now: Mono, op: Op, out: &mut Vec<Out>) {
        if self.note_recent_proposal(now, &op) {
            self.submit(now, None, Change { id: None, op }, out);
        }
    }

    /// Records which subscribers still lack a command that was just applied. If none does, it is
    /// reported as in force here.
    pub(crate) fn note_lagging_subscribers(&mut self, now: Mono, cid: CommandId, out: &mut Vec<Out>) {
        let lagging = self.lagging(now);
        if lagging.is_empty() && self.earlier_memberships_retired() {
            self.report_in_force(cid, out);
        } else {
            self.lagging_subscribers.insert(cid, lagging);
        }
    }

    /// Reports a command as in force here, to the member that proposed it and to those that asked.
    fn report_in_force(&mut self, cid: CommandId, out: &mut Vec<Out>) {
        let mut to = self.in_force_requesters.remove(&cid).unwrap_or_default();
        to.extend(self.base.member(cid.member_id).map(|m| m.addr));
        let (era, me) = (self.base.era, self.member_id);
        out.extend(to.into_iter().map(|a| Out::Send(a, Msg::InForce(era, cid, me))));
    }

    /// Whether a command was applied here and is in force as far as this controller's leases go.
    fn is_in_force_here(&self, cid: CommandId) -> bool {
        let here = self.consensus.as_ref().is_some_and(|m| m.delivered(cid));
        here && !self.lagging_subscribers.contains_key(&cid) && self.earlier_memberships_retired()
    }

    /// Reports commands that no subscriber lacks any more, queries members about pending ones, and
    /// drops those that have been pending for too long.
    pub(crate) fn force(&mut self, now: Mono, out: &mut Vec<Out>) {
        let unfinished = std::mem::take(&mut self.lagging_subscribers);
        for (cid, lagging) in unfinished {
            let still: Vec<_> =
                lagging.into_iter().filter(|(id, number)| !self.has_caught_up(now, *id, *number)).collect();
            if still.is_empty() && self.earlier_memberships_retired() {
                self.report_in_force(cid, out);
            } else {
                self.lagging_subscribers.insert(cid, still);
            }
        }
        if self.due("force", CHECK_INTERVAL, now) {
            self.query_unconfirmed_members(now, out);
            self.pending.retain(|_, p| now - p.started_at < MAX_PENDING_TIME);
        }
    }

    /// Queries the members that have not confirmed a pending change: the confirmation may be lost, or
    /// was sent before this controller waited for it.
    fn query_unconfirmed_members(&mut self, now: Mono, out: &mut Vec<Out>) {
        let era = self.base.era;
        let members = &self.base.members;
        let decided = self.pending.iter_mut().filter(|(_, p)| p.verdicts.is_some());
        for (cid, pending) in decided {
            if pending.query_backoff.due(now) {
                let unconfirmed = members.iter().filter(|m| !pending.in_force_at.contains(&m.member_id));
                out.extend(unconfirmed.map(|m| Out::Send(m.addr, Msg::InForceQuery(era, *cid))));
            }
        }
    }

    /// A member asks whether a command is in force here: answered now, or once it is.
    pub(crate) fn on_in_force_query(&mut self, from: Addr, era: Era, cid: CommandId, out: &mut Vec<Out>) {
        if era != self.base.era {
            return;
        }
        if self.is_in_force_here(cid) {
            out.push(Out::Send(from, Msg::InForce(era, cid, self.member_id)));
        } else if self.base.members.iter().any(|m| m.addr == from) {
            self.in_force_requesters.entry(cid).or_default().insert(from);
        }
    }

    /// A member reports that a command is in force at its side.
    pub(crate) fn on_in_force(
        &mut self,
        now: Mono,
        era: Era,
        cid: CommandId,
        member_id: MemberId,
        out: &mut Vec<Out>,
    ) {
        if era == self.base.era {
            self.pending.entry(cid).and_modify(|p| {
                p.in_force_at.insert(member_id);
            });
            self.conclude(now, cid, out);
        }
    }

    /// Answers the callers of a decided command once it is in force, or if no verdict has to wait for that.
    pub(crate) fn conclude(&mut self, now: Mono, cid: CommandId, out: &mut Vec<Out>) {
        let required = classic_quorum(self.base.members.len()).max(self.min_copies());
        let Some(pending) = self.pending.get(&cid) else { return };
        let Some(verdicts) = &pending.verdicts else { return };
        let has_caller = |a: &PendingChange| a.has_callers() || matches!(a.change.op, Op::Seats { .. });
        // A change is void because of an earlier one, which must be in force as well; refusals do not wait.
        let waits = |(a, v): (&PendingChange, &Verdict)| has_caller(a) && !v.is_refusal();
        let must_wait = pending.asked.iter().zip(verdicts).any(waits);
        let in_force = pending.in_force_at.len() >= required;
        if must_wait && !in_force {
            return;
        }
        let Some(pending) = self.pending.remove(&cid) else { return };
        let mut refused = vec![];
        for (mut request, verdict) in pending.asked.into_iter().zip(pending.verdicts.unwrap_or_default()) {
            self.roll.forced(now, &request.change, &verdict);
            if in_force {
                self.note_drained(&request.change);
            }
            if verdict.is_refusal() {
                refused.extend(request.split_joined());
            }
            let reply = NodeReply::Change(verdict);
            out.extend(request.take_callers().into_iter().map(|t| Out::Tell(t, reply.clone())));
        }
        refused.into_iter().for_each(|call| self.enqueue(now, call, out));
        self.propose_queued_changes(now, out);
    }
}
