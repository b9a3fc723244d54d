//! The stable phase at an acceptor, breaking of predecessor loops, and delivery.
use crate::machine::Machine;
use crate::types::*;
use primitives::Mono;

impl<C: Command> Machine<C> {
    /// Records a decision under any ballot, as all decisions on one command are equal.
    pub(crate) fn on_stable(&mut self, now: Mono, proposal: Offer<C>, out: &mut Vec<Out<C>>) {
        self.observe_clock(proposal.stamp.k, out);
        if self.history.get(&proposal.cid).is_some_and(|tuple| tuple.status == Status::Stable) {
            return;
        }
        let promised = self.ballots.entry(proposal.cid).or_default();
        *promised = (*promised).max(proposal.ballot);
        let tuple = Tuple {
            cmd: proposal.cmd,
            stamp: proposal.stamp,
            pred: proposal.pred,
            status: Status::Stable,
            ballot: proposal.ballot,
            forced: false,
        };
        self.leader_states.remove(&proposal.cid);
        self.update(now, proposal.cid, tuple, out);
        self.deliver(now, out);
    }

    /// BREAKLOOP and DELIVERABLE in one check: a predecessor that is stable with a larger
    /// timestamp is ignored.
    fn is_deliverable(&self, tuple: &Tuple<C>) -> bool {
        tuple.pred.iter().all(|id| {
            self.delivered_ids.contains(id)
                || self
                    .history
                    .get(id)
                    .is_some_and(|other| other.status == Status::Stable && other.stamp > tuple.stamp)
        })
    }

    /// Delivers every command that has become deliverable, in the order of timestamps.
    pub(crate) fn deliver(&mut self, _now: Mono, out: &mut Vec<Out<C>>) {
        loop {
            let mut next: Vec<(Stamp, CommandId)> = self
                .history
                .iter()
                .filter(|(id, tuple)| {
                    tuple.status == Status::Stable
                        && !self.delivered_ids.contains(id)
                        && self.is_deliverable(tuple)
                })
                .map(|(id, tuple)| (tuple.stamp, *id))
                .collect();
            if next.is_empty() {
                return;
            }
            next.sort();
            for (_, cid) in next {
                self.delivered_ids.insert(cid);
                self.unfinished.remove(&cid);
                out.push(Out::Deliver(cid, self.history[&cid].cmd.clone()));
            }
        }
    }

    /// Sends the decision on a command, if it is stable here.
    pub(crate) fn send_stable(&mut self, to: MemberId, cid: CommandId, out: &mut Vec<Out<C>>) {
        if let Some(tuple) = self.history.get(&cid).filter(|tuple| tuple.status == Status::Stable) {
            let proposal = Offer {
                cid,
                cmd: tuple.cmd.clone(),
                ballot: tuple.ballot,
                stamp: tuple.stamp,
                pred: tuple.pred.clone(),
            };
            self.send(to, Message::Stable(proposal), out);
        }
    }
}
