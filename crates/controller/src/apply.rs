//! Runs the agreement and applies the commands that it delivers.
use crate::controller::Controller;
use crate::stored_records::Kept;
use caesar::{CommandId, Machine};
use control_state::*;
use primitives::Mono;

type Outputs = Vec<caesar::Out<Cmd>>;

impl Controller {
    /// Runs `f` on the agreement, if this controller is a member, and handles its outputs in order.
    pub(crate) fn with_machine(
        &mut self,
        now: Mono,
        out: &mut Vec<Out>,
        f: impl FnOnce(&mut Machine<Cmd>, &mut Outputs),
    ) {
        let mut outputs: Outputs = vec![];
        if let Some(machine) = &mut self.consensus {
            f(machine, &mut outputs);
        }
        self.handle_outputs(now, outputs, out);
    }

    /// Saves records, sends messages and applies commands, in the order in which the agreement put
    /// them out.
    pub(crate) fn handle_outputs(&mut self, now: Mono, outputs: Outputs, out: &mut Vec<Out>) {
        let era = self.base.era;
        for output in outputs {
            match output {
                caesar::Out::Save(record) => {
                    let bytes = Kept::Agreement(era, record).encode();
                    self.log.written += bytes.len();
                    out.push(Out::Save(bytes));
                    if self.disk.saving(now) {
                        out.push(Out::Send(self.env.addr, Msg::Synced(now)));
                    }
                }
                caesar::Out::Send(to, message) => {
                    let addr = self.base.member(to).map(|m| m.addr);
                    out.extend(addr.map(|a| Out::Send(a, Msg::agreement(era, self.member_id, message))));
                }
                caesar::Out::Deliver(cid, cmd) => {
                    self.deliver(now, cid, cmd, out);
                    if self.base.era != era {
                        // The command ended the era, so the remaining outputs are void.
                        return;
                    }
                }
            }
        }
    }

    /// Applies a command at its place in the agreed order.
    fn deliver(&mut self, now: Mono, cid: CommandId, cmd: Cmd, out: &mut Vec<Out>) {
        match cmd {
            Cmd::Look => self.answer_reader(now, cid, out),
            Cmd::Noop => {
                self.retry_read(now, cid, out);
                let pending = self.pending.remove(&cid);
                pending.into_iter().for_each(|p| self.again(now, p, out));
            }
            Cmd::Cut(members, retired_up_to) => {
                let clock = self.consensus.as_ref().map_or(0, |m| m.clock());
                let next = self.state.cut(&members, retired_up_to, clock);
                let changed = self.differs(&next);
                self.enter(now, next, out);
                self.number(&changed, None);
            }
            Cmd::Changes(all) => {
                let mut changed: Vec<Key> = vec![];
                let mut verdicts = vec![];
                for change in all.iter() {
                    let (verdict, first) = self.state.apply(change);
                    if let (Verdict::Done(keys), true) = (&verdict, first) {
                        changed.extend(keys.iter().map(|(k, _)| k.clone()));
                    }
                    verdicts.push(verdict);
                }
                self.withhold_until_confirmed(now, cid, &changed, out);
                self.note_lagging_subscribers(now, cid, out);
                self.pending.entry(cid).and_modify(|p| p.verdicts = Some(verdicts));
                self.conclude(now, cid, out);
                self.propose_queued_changes(now, out);
            }
        }
    }
}
