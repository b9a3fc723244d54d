//! How answers of other processes find the question they belong to. One that belongs to
//! none is dropped and counted.
use crate::copies::Copy;
use crate::edge::Edge;
use crate::jobs::Stage;
use crate::read::WAY_OUT;
use control_state::*;
use primitives::{Addr, Mono};
use std::sync::Arc;

/// Counts answers to a question of another life, or of another node.
const OTHER_LIFE: &str = "answers to another life";
/// Counts answers that nobody waits for: repeated, too late, or from one not asked.
pub(crate) const UNASKED: &str = "answers nobody waits for";

impl Edge {
    /// The name under which a question of this life goes out.
    pub(crate) fn ask_id(&self, n: u64) -> AskId {
        AskId { birth: self.follow.env.birth, n }
    }

    /// The number of the question, if this very life asked it.
    pub(crate) fn own_number(&mut self, ask: AskId) -> Option<u64> {
        if ask.birth != self.follow.env.birth {
            self.count(OTHER_LIFE);
            return None;
        }
        Some(ask.n)
    }

    /// The job of a round, if this very life of this node began it.
    pub(crate) fn own_round(&mut self, round: RoundId) -> Option<u64> {
        if round.node != self.follow.env.id {
            self.count(OTHER_LIFE);
            return None;
        }
        self.own_number(AskId { birth: round.birth, n: round.n })
    }

    /// A ledger takes the copy: with what is left of its life at this moment.
    pub(crate) fn on_stock_want(&mut self, now: Mono, from: Addr, ask: AskId, at: Mono, out: &mut Vec<Out>) {
        let Some(n) = self.own_number(ask) else { return };
        let Some(object) = self.offers.remove(&n) else { return self.count(UNASKED) };
        let copy = self.copies.get(now, &object).filter(|_| self.leased(now));
        if let Some(c) = copy {
            let mark = mark(&self.follow.items, &object);
            let shown = c.show(now, c.until);
            out.push(Out::Send(
                from,
                Msg::StockPut(at, Box::new(StockPut { object, shown, mark, sure: self.follow.sure })),
            ));
        }
    }

    pub(crate) fn on_copy_wait(&mut self, from: Addr, ask: AskId) {
        let Some(id) = self.own_number(ask) else { return };
        match self.jobs.get_mut(&id).map(|j| &mut j.stage) {
            Some(Stage::Home(whom, _, at_it)) if *whom == from => *at_it = true,
            _ => self.count(UNASKED),
        }
    }

    pub(crate) fn on_copy_got(
        &mut self,
        now: Mono,
        from: Addr,
        ask: AskId,
        said: CopySaid,
        out: &mut Vec<Out>,
    ) {
        let Some(id) = self.own_number(ask) else { return };
        // A job may have asked two, one after the other; only the last one's word
        // is younger than the asking its life is counted from.
        let asked = self.jobs.get(&id).and_then(|j| match j.stage {
            Stage::Home(whom, asked, _) if whom == from => Some((j, asked)),
            _ => None,
        });
        let Some((j, asked)) = asked else { return self.count(UNASKED) };
        let good = !j.spoiled && self.leased(now);
        // The copy's rest of life counts from when it was asked for.
        match said {
            CopySaid::Got(c) if good && asked + c.left > now => {
                let (obj, stocked, since) = (j.object(), j.stocked, asked - c.aged);
                let until = (asked + c.left).min(self.leased_until());
                self.count(if stocked { "filled from ledgers" } else { "filled from homes" });
                let whole = Arc::new(c.whole);
                if !self.env.policy.near {
                    self.keep(now, obj, Copy { whole: whole.clone(), public: c.public, since, until });
                }
                let out_by = (until + WAY_OUT).min(self.leased_until());
                let s = Step::Serve(whole, Shared::Copy(now - since), out_by);
                self.finish(now, id, s, out);
            }
            CopySaid::Personal => self.part_ways(now, id, None, out),
            CopySaid::Own(w) => {
                let s = Step::Serve(Arc::new(*w), Shared::Own, Mono(u64::MAX));
                self.finish(now, id, s, out);
            }
            _ => self.fill_here(now, id, out),
        }
    }
}
