//! Origins' beats: soft, passed around; only register, drain and removal are
//! commands.
use crate::keeper::Keeper;
use brood::*;
use wax::{Mono, Span};

/// Beats older than this are forgotten.
const OLD: Span = Span::secs(10);

impl Keeper {
    /// A beat as it is now, heard `age` ago by some keeper.
    pub(crate) fn on_beat(&mut self, now: Mono, b: Beat, age: Span, out: &mut Vec<Out>) {
        let heard = now - age;
        let newer = self.beats.get(&b.addr).is_none_or(|(_, t)| heard > *t);
        if !newer || self.mach.is_none() {
            return;
        }
        self.beats.insert(b.addr, (b.clone(), heard));
        if age > Span(0) {
            return;
        }
        let known = self.pic.origin(&b.addr).cloned();
        let mine = known.as_ref().filter(|o| o.birth == b.birth);
        let op = match (b.mood, mine) {
            (Mood::Warming | Mood::Serving, None) => Some(Op::Register(
                b.addr,
                Origin { svc: b.svc, birth: b.birth, zone: b.zone, cap: b.cap, standing: Standing::Serving },
            )),
            (Mood::Leaving, Some(o)) if o.standing == Standing::Serving => Some(Op::Drain(b.addr, b.birth)),
            (Mood::Gone, Some(_)) => Some(Op::Remove(b.addr, b.birth)),
            _ => None,
        };
        op.into_iter().for_each(|op| self.derive(now, op, out));
    }

    pub(crate) fn beats_now(&self, now: Mono) -> Vec<(Beat, Span)> {
        let fresh = self.beats.values().filter(|(_, t)| now - *t < OLD);
        fresh.map(|(b, t)| (b.clone(), now - *t)).collect()
    }

    pub(crate) fn relay_beats(&mut self, now: Mono, out: &mut Vec<Out>) {
        self.beats.retain(|_, (_, t)| now - *t < OLD);
        // The age sent is never nought: that would look like a beat at first hand.
        let bs: Vec<_> = self.beats_now(now).into_iter().map(|(b, age)| (b, Span(age.0.max(1)))).collect();
        if !bs.is_empty() && self.mach.is_some() {
            let me = self.env.addr;
            let others = self.base.members.iter().filter(|m| m.addr != me);
            out.extend(others.map(|m| Out::Send(m.addr, Msg::Beats(bs.clone()))));
        }
    }

    /// Origins that have been silent too long are removed; the duty holder's work.
    pub(crate) fn sweep(&mut self, now: Mono, out: &mut Vec<Out>) {
        let silent = |k: &wax::Addr, o: &Origin| {
            let t = self.beats.get(k).filter(|(b, _)| b.birth == o.birth).map(|(_, t)| *t);
            t.is_none_or(|t| now - t >= self.env.vanish)
        };
        let gone: Vec<Op> = self
            .pic
            .items
            .iter()
            .filter_map(|(k, it)| match (k, &it.body) {
                (Key::Origin(a), Some(Body::Origin(o))) if silent(a, o) => Some(Op::Remove(*a, o.birth)),
                _ => None,
            })
            .collect();
        gone.into_iter().for_each(|op| self.derive(now, op, out));
    }
}
