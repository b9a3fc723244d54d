//! From submission to "decided, durable and in force".
//!
//! Invariant: a change is acknowledged only when a classic quorum of controllers
//! has applied it from a synced decision and none of them has a live lease
//! out to a subscriber that lacks it. A subscriber's lease needs renewals from
//! a classic quorum, so some controller is in both: no subscriber without the
//! change can be serving.
use crate::controller::Controller;
use caesar::{classic, Cid, Kid};
use control_state::*;
use primitives::{Addr, Mono, Span, Token};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Changes that travel as one command.
pub(crate) struct Pending {
    pub asked: Vec<(Option<Token>, Change)>,
    /// In the order of `asked`, once delivered.
    pub verdicts: Option<Vec<Verdict>>,
    /// Who asked for the same while it was under way; told as the first one is.
    pub more: Vec<Token>,
    pub yes: BTreeSet<Kid>,
    pub began: Mono,
}

const FORGET: Span = Span::secs(60);
/// Purges in one command.
const BATCH: usize = 100;
const BYTES: usize = 32 << 10;

impl Controller {
    pub(crate) fn submit(&mut self, now: Mono, token: Option<Token>, change: Change, out: &mut Vec<Out>) {
        if change.op.gathers() {
            self.line.push((token, change));
            self.send_line(now, out);
        } else {
            self.propose(now, vec![(token, change)], out);
        }
    }

    /// What did not come through in an era, or was overtaken, is proposed anew.
    pub(crate) fn again(&mut self, now: Mono, p: Pending, out: &mut Vec<Out>) {
        out.extend(p.more.into_iter().map(|t| Out::Tell(t, Receipt::Took)));
        self.propose(now, p.asked, out);
    }

    /// One such command is under way at a time; the rest gathers.
    pub(crate) fn send_line(&mut self, now: Mono, out: &mut Vec<Out>) {
        let gathered = |p: &Pending| p.asked.iter().any(|(_, c)| c.op.gathers());
        let busy = self.pending.values().any(|p| p.verdicts.is_none() && gathered(p));
        if !busy && !self.line.is_empty() {
            // As many as stay small together, but at least one.
            let mut bytes = 0;
            let fits = |(_, c): &&(Option<Token>, Change)| {
                bytes += match &c.op {
                    Op::PurgeBy(s) => s.len() * 120,
                    Op::Edit(es) => es.iter().map(Edit::size).sum::<usize>(),
                    Op::Purge(s) => s.iter().map(|(_, p)| p.len() + 40).sum::<usize>(),
                    _ => 200,
                };
                bytes <= BYTES
            };
            let n = self.line.iter().take(BATCH).take_while(fits).count().max(1);
            let all = self.line.drain(..n).collect();
            self.propose(now, all, out);
        }
    }

    fn propose(&mut self, now: Mono, asked: Vec<(Option<Token>, Change)>, out: &mut Vec<Out>) {
        let cmd = Cmd::Changes(Arc::new(asked.iter().map(|(_, c)| c.clone()).collect()));
        let mut o = vec![];
        match self.mach.as_mut().map(|m| m.propose(now, cmd, &mut o)) {
            Some(c) => {
                self.pending.insert(
                    c,
                    Pending { asked, verdicts: None, more: vec![], yes: BTreeSet::new(), began: now },
                );
            }
            None => {
                let no = |t| Out::Tell(t, Receipt::NotNow("not a member any more"));
                out.extend(asked.into_iter().filter_map(|(t, _)| t).map(no));
            }
        }
        self.carry(now, o, out);
    }

    /// A word of leaving, which its origin repeats until it is answered: one command
    /// of it is under way at a time, or those of a slow core would pile up.
    pub(crate) fn farewell(&mut self, now: Mono, t: Token, op: Op, out: &mut Vec<Out>) {
        let same = |p: &&mut Pending| p.asked.iter().any(|(_, c)| c.id.is_none() && c.op == op);
        if let Some(p) = self.pending.values_mut().find(same) {
            return p.more.push(t);
        }
        if self.newly(now, &op) {
            self.submit(now, Some(t), Change { id: None, op }, out);
        } else {
            out.push(Out::Tell(t, Receipt::Took));
        }
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

    /// Notes who must still learn of a command just applied.
    pub(crate) fn owe(&mut self, now: Mono, cid: Cid) {
        let lacks = self.lacking(now);
        if !lacks.is_empty() {
            self.owed.insert(cid, lacks);
        }
    }

    fn settled(&self, cid: Cid) -> bool {
        let here = self.mach.as_ref().is_some_and(|m| m.delivered(cid));
        here && !self.owed.contains_key(&cid) && self.all_landed()
    }

    /// Clears what was paid, tells the leaders, asks for what is missing.
    pub(crate) fn force(&mut self, now: Mono, out: &mut Vec<Out>) {
        let era = self.base.era;
        let open = std::mem::take(&mut self.owed);
        for (cid, lacks) in open {
            let still: Vec<_> = lacks.into_iter().filter(|(id, no)| !self.paid(now, *id, *no)).collect();
            if still.is_empty() && self.all_landed() {
                let at = self.base.member(cid.kid).map(|m| m.addr);
                out.extend(at.map(|a| Out::Send(a, Msg::InForce(era, cid, self.kid))));
            } else {
                self.owed.insert(cid, still);
            }
        }
        if self.due("force", Span::ms(50), now) {
            let ask = |m: &Member, c: &Cid| Out::Send(m.addr, Msg::AskForce(era, *c));
            let waiting = self.pending.iter().filter(|(_, p)| p.verdicts.is_some());
            let asks: Vec<Out> = waiting
                .flat_map(|(c, p)| {
                    let silent = self.base.members.iter().filter(|m| !p.yes.contains(&m.kid));
                    silent.map(|m| ask(m, c)).collect::<Vec<_>>()
                })
                .collect();
            out.extend(asks);
            self.pending.retain(|_, p| now - p.began < FORGET);
        }
    }

    pub(crate) fn on_ask_force(&mut self, from: Addr, era: Era, cid: Cid, out: &mut Vec<Out>) {
        if era == self.base.era && self.settled(cid) {
            out.push(Out::Send(from, Msg::InForce(era, cid, self.kid)));
        }
    }

    pub(crate) fn on_in_force(&mut self, now: Mono, era: Era, cid: Cid, kid: Kid, out: &mut Vec<Out>) {
        if era == self.base.era {
            self.pending.entry(cid).and_modify(|p| {
                p.yes.insert(kid);
            });
            self.conclude(now, cid, out);
        }
    }

    /// Answers the operator when there is nothing left to wait for.
    pub(crate) fn conclude(&mut self, now: Mono, cid: Cid, out: &mut Vec<Out>) {
        let need = classic(self.base.members.len());
        let Some(p) = self.pending.get(&cid) else { return };
        let Some(vs) = &p.verdicts else { return };
        let asked = |t: &Option<Token>, c: &Change| t.is_some() || matches!(c.op, Op::Seats { .. });
        let waits =
            |((t, c), v): (&(Option<Token>, Change), &Verdict)| asked(t, c) && matches!(v, Verdict::Done(_));
        let open = p.asked.iter().zip(vs).any(waits);
        if !open || p.yes.len() >= need {
            let p = self.pending.remove(&cid).expect("found above");
            let each: Vec<_> = p.asked.into_iter().zip(p.verdicts.unwrap_or_default()).collect();
            each.iter().for_each(|((_, c), v)| self.roll.forced(now, c, v));
            let first = each.first().map_or(Receipt::Took, |(_, v)| Receipt::Change(v.clone()));
            out.extend(p.more.into_iter().map(|t| Out::Tell(t, first.clone())));
            out.extend(
                each.into_iter().filter_map(|((t, _), v)| t.map(|t| Out::Tell(t, Receipt::Change(v)))),
            );
        }
    }
}
