//! Runs the agreement and applies what it delivers.
use crate::controller::Controller;
use crate::stored_records::Kept;
use caesar::{CommandId, Machine};
use control_state::*;
use primitives::Mono;

type Outs = Vec<caesar::Out<Cmd>>;

impl Controller {
    /// Lets the machine work and carries its outputs out, in their order.
    pub(crate) fn with_machine(
        &mut self,
        now: Mono,
        out: &mut Vec<Out>,
        f: impl FnOnce(&mut Machine<Cmd>, &mut Outs),
    ) {
        let mut o: Outs = vec![];
        if let Some(m) = &mut self.consensus {
            f(m, &mut o);
        }
        self.carry(now, o, out);
    }

    pub(crate) fn carry(&mut self, now: Mono, o: Outs, out: &mut Vec<Out>) {
        let era = self.base.era;
        for x in o {
            match x {
                caesar::Out::Save(r) => {
                    let b = Kept::Agreement(era, r).encode();
                    self.log.written += b.len();
                    out.push(Out::Save(b));
                    if self.disk.saving(now) {
                        out.push(Out::Send(self.env.addr, Msg::Synced(now)));
                    }
                }
                caesar::Out::Send(to, w) => {
                    let at = self.base.member(to).map(|m| m.addr);
                    out.extend(at.map(|a| Out::Send(a, Msg::agreement(era, self.member_id, w))));
                }
                caesar::Out::Deliver(cid, cmd) => {
                    self.deliver(now, cid, cmd, out);
                    if self.base.era != era {
                        // The cut was the era's last command; the rest is void.
                        return;
                    }
                }
            }
        }
    }

    fn deliver(&mut self, now: Mono, cid: CommandId, cmd: Cmd, out: &mut Vec<Out>) {
        match cmd {
            Cmd::Look => self.answer_reader(now, cid, out),
            Cmd::Noop => {
                self.retry_reading(now, cid, out);
                let p = self.pending.remove(&cid);
                p.into_iter().for_each(|p| self.again(now, p, out));
            }
            Cmd::Cut(members, landed) => {
                let clock = self.consensus.as_ref().map_or(0, |m| m.clock());
                let next = self.state.cut(&members, landed, clock);
                let news = self.differs(&next);
                self.enter(now, next, out);
                self.number(&news, None);
            }
            Cmd::Changes(all) => {
                let mut news: Vec<Key> = vec![];
                let mut verdicts = vec![];
                for c in all.iter() {
                    let (verdict, first) = self.state.apply(c);
                    if let (Verdict::Done(ks), true) = (&verdict, first) {
                        news.extend(ks.iter().map(|(k, _)| k.clone()));
                    }
                    verdicts.push(verdict);
                }
                self.hide(now, cid, &news, out);
                self.note_lagging_subscribers(now, cid, out);
                self.pending.entry(cid).and_modify(|p| p.verdicts = Some(verdicts));
                self.conclude(now, cid, out);
                self.send_queued_purges(now, out);
            }
        }
    }
}
