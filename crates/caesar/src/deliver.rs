//! The stable phase at an acceptor, loop breaking and delivery.
use crate::machine::Machine;
use crate::types::*;
use primitives::Mono;

impl<C: Command> Machine<C> {
    /// A decision is taken whatever its ballot: all decisions on one command agree.
    pub(crate) fn on_stable(&mut self, now: Mono, o: Offer<C>, out: &mut Vec<Out<C>>) {
        self.see(o.stamp.k, out);
        if self.h.get(&o.cid).is_some_and(|t| t.status == Status::Stable) {
            return;
        }
        let b = self.ballots.entry(o.cid).or_default();
        *b = (*b).max(o.ballot);
        let t = Tuple {
            cmd: o.cmd,
            stamp: o.stamp,
            pred: o.pred,
            status: Status::Stable,
            ballot: o.ballot,
            forced: false,
        };
        self.leads.remove(&o.cid);
        self.update(now, o.cid, t, out);
        self.deliver(now, out);
    }

    /// BREAKLOOP and DELIVERABLE in one look: a predecessor that is itself stable
    /// with a larger timestamp does not count.
    fn ready(&self, t: &Tuple<C>) -> bool {
        t.pred.iter().all(|p| {
            self.done.contains(p)
                || self.h.get(p).is_some_and(|u| u.status == Status::Stable && u.stamp > t.stamp)
        })
    }

    pub(crate) fn deliver(&mut self, _now: Mono, out: &mut Vec<Out<C>>) {
        loop {
            let mut next: Vec<(Stamp, CommandId)> = self
                .h
                .iter()
                .filter(|(id, t)| t.status == Status::Stable && !self.done.contains(id) && self.ready(t))
                .map(|(id, t)| (t.stamp, *id))
                .collect();
            if next.is_empty() {
                return;
            }
            next.sort();
            for (_, cid) in next {
                self.done.insert(cid);
                self.stuck.remove(&cid);
                out.push(Out::Deliver(cid, self.h[&cid].cmd.clone()));
            }
        }
    }

    pub(crate) fn tell_stable(&mut self, to: MemberId, cid: CommandId, out: &mut Vec<Out<C>>) {
        if let Some(t) = self.h.get(&cid).filter(|t| t.status == Status::Stable) {
            let o = Offer { cid, cmd: t.cmd.clone(), ballot: t.ballot, stamp: t.stamp, pred: t.pred.clone() };
            self.send(to, Message::Stable(o), out);
        }
    }
}
