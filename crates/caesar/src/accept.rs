//! The acceptor's side: FastPropose, SlowPropose and Retry (paper, Fig. 3 right
//! and Fig. 2).
use crate::machine::{Machine, Waiter};
use crate::types::*;
use primitives::Mono;

/// What the wait rule says of a proposal now.
enum Verdict {
    Wait,
    Ok,
    Nack,
}

impl<C: Command> Machine<C> {
    /// COMPUTEPREDECESSORS.
    pub(crate) fn preds(&self, cid: CommandId, cmd: &C, stamp: Stamp, white: Option<&Preds>) -> Preds {
        let mut pred: Preds = self
            .h
            .iter()
            .filter(|(id, t)| **id != cid && t.stamp < stamp && t.cmd.conflicts(cmd))
            .filter(|(id, t)| {
                white.is_none_or(|w| {
                    w.contains(id)
                        || matches!(t.status, Status::SlowPending | Status::Accepted | Status::Stable)
                })
            })
            .map(|(id, _)| *id)
            .collect();
        pred.extend(white.into_iter().flatten().filter(|id| **id != cid));
        pred
    }

    /// WAIT, asked anew whenever H has changed. Under a recovery's ballot only a
    /// stable command may refuse: an accepted one's predecessors are not final,
    /// so its refusal does not prove that the timestamp was never decided.
    fn verdict(&self, o: &Offer<C>) -> Verdict {
        let (cid, cmd, stamp) = (o.cid, &o.cmd, o.stamp);
        let against = || {
            self.h.iter().filter(move |(id, t)| {
                **id != cid && stamp < t.stamp && !t.pred.contains(&cid) && t.cmd.conflicts(cmd)
            })
        };
        let first = o.ballot.n == 0;
        let settled = |t: &Tuple<C>| match t.status {
            Status::Accepted => first || self.pace.unmodified_recovery,
            s => s == Status::Stable,
        };
        if self.pace.wait_rule && against().any(|(_, t)| !settled(t)) {
            Verdict::Wait
        } else if against().any(|(_, t)| settled(t)) {
            Verdict::Nack
        } else {
            Verdict::Ok
        }
    }

    /// Whether a message of `ballot` may still be heard; notes the ballot.
    fn admits(&mut self, cid: CommandId, ballot: Ballot) -> bool {
        let b = self.ballots.entry(cid).or_default();
        let ok = *b <= ballot;
        *b = (*b).max(ballot);
        ok
    }

    /// The status this ballot already reached here, if any.
    fn reached(&self, cid: CommandId, ballot: Ballot) -> Option<Status> {
        self.h.get(&cid).filter(|t| t.ballot == ballot || t.status == Status::Stable).map(|t| t.status)
    }

    pub(crate) fn on_fast(
        &mut self,
        now: Mono,
        from: MemberId,
        o: Offer<C>,
        white: bool,
        out: &mut Vec<Out<C>>,
    ) {
        if !self.admits(o.cid, o.ballot) {
            return;
        }
        self.see(o.stamp.k, out);
        match self.reached(o.cid, o.ballot) {
            Some(Status::Stable) => return self.tell_stable(from, o.cid, out),
            Some(Status::SlowPending | Status::Accepted) => return,
            Some(Status::Rejected) => return self.nack(now, from, Phase::Fast, o, out),
            Some(Status::FastPending) => (),
            None => {
                let pred = self.preds(o.cid, &o.cmd, o.stamp, white.then_some(&o.pred));
                let t = Tuple {
                    cmd: o.cmd.clone(),
                    stamp: o.stamp,
                    pred,
                    status: Status::FastPending,
                    ballot: o.ballot,
                    forced: white,
                };
                self.update(now, o.cid, t, out);
            }
        }
        self.hold(from, Phase::Fast, o);
    }

    pub(crate) fn on_slow(&mut self, now: Mono, from: MemberId, o: Offer<C>, out: &mut Vec<Out<C>>) {
        if !self.admits(o.cid, o.ballot) {
            return;
        }
        self.see(o.stamp.k, out);
        match self.reached(o.cid, o.ballot) {
            Some(Status::Stable) => self.tell_stable(from, o.cid, out),
            Some(Status::Accepted) => (),
            Some(Status::Rejected) => self.nack(now, from, Phase::Slow, o, out),
            Some(Status::SlowPending) => self.vote(from, Phase::Slow, true, o.stamp, o.pred.clone(), &o, out),
            _ => self.hold(from, Phase::Slow, o),
        }
    }

    /// A Retry is never rejected.
    pub(crate) fn on_retry(&mut self, now: Mono, from: MemberId, o: Offer<C>, out: &mut Vec<Out<C>>) {
        if !self.admits(o.cid, o.ballot) {
            return;
        }
        self.see(o.stamp.k, out);
        match self.reached(o.cid, o.ballot) {
            Some(Status::Stable) => return self.tell_stable(from, o.cid, out),
            Some(Status::Accepted) => (),
            _ => {
                let t = Tuple {
                    cmd: o.cmd.clone(),
                    stamp: o.stamp,
                    pred: o.pred.clone(),
                    status: Status::Accepted,
                    ballot: o.ballot,
                    forced: false,
                };
                self.update(now, o.cid, t, out);
            }
        }
        let mut pred = self.preds(o.cid, &o.cmd, o.stamp, None);
        pred.extend(&o.pred);
        self.vote(from, Phase::Retry, true, o.stamp, pred, &o, out);
    }

    fn hold(&mut self, from: MemberId, phase: Phase, offer: Offer<C>) {
        self.waits.insert(offer.cid, Waiter { from, phase, offer });
    }

    /// Answers everyone whom the wait rule no longer holds back.
    pub(crate) fn ask_waiters(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        let ids: Vec<CommandId> = self.waits.keys().copied().collect();
        for cid in ids {
            let w = &self.waits[&cid];
            let o = &w.offer;
            let past = self.ballots.get(&cid).is_some_and(|b| *b > o.ballot)
                || self.reached(cid, o.ballot) >= Some(Status::Accepted);
            if past {
                self.waits.remove(&cid);
                continue;
            }
            match self.verdict(o) {
                Verdict::Wait => self.tally.waited += 1,
                v => {
                    let w = self.waits.remove(&cid).expect("listed above");
                    self.settle(now, w, matches!(v, Verdict::Ok), out);
                }
            }
        }
    }

    fn settle(&mut self, now: Mono, w: Waiter<C>, ok: bool, out: &mut Vec<Out<C>>) {
        let o = w.offer;
        if !ok {
            return self.nack(now, w.from, w.phase, o, out);
        }
        let pred = match w.phase {
            Phase::Slow => {
                let t = Tuple {
                    cmd: o.cmd.clone(),
                    stamp: o.stamp,
                    pred: o.pred.clone(),
                    status: Status::SlowPending,
                    ballot: o.ballot,
                    forced: false,
                };
                self.update(now, o.cid, t, out);
                o.pred.clone()
            }
            _ => self.h[&o.cid].pred.clone(),
        };
        self.vote(w.from, w.phase, true, o.stamp, pred, &o, out);
    }

    /// Marks the command rejected and suggests this node's own timestamp.
    fn nack(&mut self, now: Mono, to: MemberId, phase: Phase, o: Offer<C>, out: &mut Vec<Out<C>>) {
        self.tally.nacked += 1;
        let stamp = self.next_stamp(out);
        let pred = self.preds(o.cid, &o.cmd, stamp, None);
        let t = Tuple {
            cmd: o.cmd.clone(),
            stamp: o.stamp,
            pred: pred.clone(),
            status: Status::Rejected,
            ballot: o.ballot,
            forced: false,
        };
        self.update(now, o.cid, t, out);
        self.vote(to, phase, false, stamp, pred, &o, out);
    }

    #[allow(clippy::too_many_arguments)]
    fn vote(
        &mut self,
        to: MemberId,
        phase: Phase,
        ok: bool,
        stamp: Stamp,
        pred: Preds,
        o: &Offer<C>,
        out: &mut Vec<Out<C>>,
    ) {
        let v = Vote { cid: o.cid, ballot: o.ballot, phase, ok, stamp, pred };
        self.send(to, Message::Vote(v), out);
    }
}
