//! From submission to "decided, durable and in force".
//!
//! Invariant: a change is acknowledged only when a classic quorum of controllers
//! has applied it from a synced decision and none of them has a live lease
//! out to a subscriber that lacks it. A subscriber's lease needs renewals from
//! a classic quorum, so some controller is in both: no subscriber without the
//! change can be serving.
use crate::controller::Controller;
use crate::pending::{Asked, Pending};
use caesar::{classic_quorum, CommandId, MemberId};
use control_state::*;
use primitives::{Addr, Mono, Span, Token};
use std::sync::Arc;

const NOT_A_MEMBER: NodeReply = NodeReply::Unavailable("not a member any more");
const FORGET: Span = Span::secs(60);
/// How often changes that wait are looked through.
const LOOK: Span = Span::ms(50);
/// Purges in one command.
const BATCH: usize = 100;
const BYTES: usize = 32 << 10;

impl Controller {
    pub(crate) fn submit(&mut self, now: Mono, token: Option<Token>, change: Change, out: &mut Vec<Out>) {
        self.enqueue(now, Asked::new(change, token), out);
        self.send_queued_purges(now, out);
    }

    fn enqueue(&mut self, now: Mono, asked: Asked, out: &mut Vec<Out>) {
        let asked = Asked { change: self.shortened(asked.change), ..asked };
        if self.join(now, &asked) {
            return;
        }
        if asked.change.op.is_batchable() {
            self.line.push(asked);
        } else {
            self.propose(now, vec![asked], out);
        }
    }

    /// What did not come through in an era, or was overtaken, is proposed anew; whoever
    /// joined goes on waiting. A removal is not: its origin may have been heard since.
    pub(crate) fn again(&mut self, now: Mono, pending: Pending, out: &mut Vec<Out>) {
        for asked in pending.wanted() {
            let stale_removal = asked.tokens.is_empty() && matches!(asked.change.op, Op::Remove(..));
            if !stale_removal {
                self.enqueue(now, asked, out);
            }
        }
        self.send_queued_purges(now, out);
    }

    /// One such command is under way at a time; the rest gathers.
    pub(crate) fn send_queued_purges(&mut self, now: Mono, out: &mut Vec<Out>) {
        let gathered = |p: &Pending| p.asked.iter().any(|a| a.change.op.is_batchable());
        let busy = self.pending.values().any(|p| p.own && p.verdicts.is_none() && gathered(p));
        if !busy && !self.line.is_empty() {
            // As many as stay small together, but at least one.
            let mut bytes = 0;
            let fits = |a: &&Asked| {
                bytes += a.change.op.size();
                bytes <= BYTES
            };
            let n = self.line.iter().take(BATCH).take_while(fits).count().max(1);
            let all = self.line.drain(..n).collect();
            self.propose(now, all, out);
        }
    }

    pub(crate) fn propose(&mut self, now: Mono, asked: Vec<Asked>, out: &mut Vec<Out>) {
        let cmd = Cmd::Changes(Arc::new(asked.iter().map(|a| a.change.clone()).collect()));
        let mut o = vec![];
        let cid = self.consensus.as_mut().map(|m| m.propose(now, cmd, &mut o));
        match cid {
            Some(c) => {
                self.pending.insert(c, Pending::new(asked, now, true));
            }
            None => {
                let no = |t| Out::Tell(t, NOT_A_MEMBER);
                out.extend(asked.into_iter().flat_map(|a| a.tokens).map(no));
            }
        }
        self.carry(now, o, out);
    }

    /// A word of leaving, which its origin repeats until it is answered: one command
    /// of it is under way at a time, or those of a slow core would pile up.
    pub(crate) fn submit_unless_pending(&mut self, now: Mono, t: Token, op: Op, out: &mut Vec<Out>) {
        if !self.join_pending(t, &op) {
            self.submit(now, Some(t), Change { id: None, op }, out);
        }
    }

    /// Whether the same is under way, so that its answer will be this caller's too.
    pub(crate) fn join_pending(&mut self, token: Token, op: &Op) -> bool {
        let under_way = self.pending.values_mut().flat_map(|p| &mut p.asked);
        let mut under_way = under_way.chain(&mut self.line);
        let same = under_way.find(|a| a.change.id.is_none() && a.change.op == *op);
        same.map(|a| a.tokens.push(token)).is_some()
    }

    /// Whether the same was not proposed a moment ago.
    fn newly(&mut self, now: Mono, op: &Op) -> bool {
        let print = primitives::hash(&format!("{op:?}"));
        let lately = self.derived.get(&print).is_some_and(|t| now - *t < Span::ms(1500));
        if !lately {
            self.derived.retain(|_, t| now - *t < Span::secs(10));
            self.derived.insert(print, now);
            self.count("derived");
        }
        !lately
    }

    /// Proposes what no operator sent, unless it was proposed a moment ago.
    pub(crate) fn derive(&mut self, now: Mono, op: Op, out: &mut Vec<Out>) {
        if self.newly(now, &op) {
            self.submit(now, None, Change { id: None, op }, out);
        }
    }

    /// Notes who must still learn of a command just applied. If nobody has to, that is said.
    pub(crate) fn note_lagging_subscribers(&mut self, now: Mono, cid: CommandId, out: &mut Vec<Out>) {
        let lacks = self.lagging(now);
        if lacks.is_empty() && self.earlier_memberships_retired() {
            self.say_in_force(cid, out);
        } else {
            self.lagging_subscribers.insert(cid, lacks);
        }
    }

    /// Tells whoever leads the command, and whoever asked.
    fn say_in_force(&mut self, cid: CommandId, out: &mut Vec<Out>) {
        let mut to = self.in_force_requesters.remove(&cid).unwrap_or_default();
        to.extend(self.base.member(cid.member_id).map(|m| m.addr));
        let (era, me) = (self.base.era, self.member_id);
        out.extend(to.into_iter().map(|a| Out::Send(a, Msg::InForce(era, cid, me))));
    }

    fn settled(&self, cid: CommandId) -> bool {
        let here = self.consensus.as_ref().is_some_and(|m| m.delivered(cid));
        here && !self.lagging_subscribers.contains_key(&cid) && self.earlier_memberships_retired()
    }

    /// Clears what was paid, tells the leaders, asks for what is missing.
    pub(crate) fn force(&mut self, now: Mono, out: &mut Vec<Out>) {
        let open = std::mem::take(&mut self.lagging_subscribers);
        for (cid, lacks) in open {
            let still: Vec<_> =
                lacks.into_iter().filter(|(id, no)| !self.has_caught_up(now, *id, *no)).collect();
            if still.is_empty() && self.earlier_memberships_retired() {
                self.say_in_force(cid, out);
            } else {
                self.lagging_subscribers.insert(cid, still);
            }
        }
        if self.due("force", LOOK, now) {
            self.ask_silent_members(now, out);
            self.pending.retain(|_, p| now - p.began < FORGET);
        }
    }

    /// Members' words may be lost on their way, or were due at once.
    fn ask_silent_members(&mut self, now: Mono, out: &mut Vec<Out>) {
        let era = self.base.era;
        let members = &self.base.members;
        let waiting = self.pending.iter_mut().filter(|(_, p)| p.verdicts.is_some());
        for (cid, pending) in waiting {
            if pending.ask_again.due(now) {
                let silent = members.iter().filter(|m| !pending.yes.contains(&m.member_id));
                out.extend(silent.map(|m| Out::Send(m.addr, Msg::InForceQuery(era, *cid))));
            }
        }
    }

    pub(crate) fn on_ask_force(&mut self, from: Addr, era: Era, cid: CommandId, out: &mut Vec<Out>) {
        if era != self.base.era {
            return;
        }
        if self.settled(cid) {
            out.push(Out::Send(from, Msg::InForce(era, cid, self.member_id)));
        } else if self.base.members.iter().any(|m| m.addr == from) {
            self.in_force_requesters.entry(cid).or_default().insert(from);
        }
    }

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
                p.yes.insert(member_id);
            });
            self.conclude(now, cid, out);
        }
    }

    /// Answers the operator when there is nothing left to wait for.
    pub(crate) fn conclude(&mut self, now: Mono, cid: CommandId, out: &mut Vec<Out>) {
        let need = classic_quorum(self.base.members.len()).max(self.min_copies());
        let Some(p) = self.pending.get(&cid) else { return };
        let Some(vs) = &p.verdicts else { return };
        let asked = |a: &Asked| !a.tokens.is_empty() || matches!(a.change.op, Op::Seats { .. });
        // What is void is so because of something earlier, which must be in force as well.
        let waits = |(a, v): (&Asked, &Verdict)| asked(a) && !v.is_refusal();
        let open = p.asked.iter().zip(vs).any(waits);
        let in_force = p.yes.len() >= need;
        if open && !in_force {
            return;
        }
        let Some(pending) = self.pending.remove(&cid) else { return };
        for (asked, verdict) in pending.asked.into_iter().zip(pending.verdicts.unwrap_or_default()) {
            self.roll.forced(now, &asked.change, &verdict);
            if in_force {
                self.note_drained(&asked.change);
            }
            let receipt = NodeReply::Change(verdict);
            out.extend(asked.tokens.into_iter().map(|t| Out::Tell(t, receipt.clone())));
        }
    }
}
