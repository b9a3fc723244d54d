//! Recall: a ledger whose disk is new asks the other seats what the lost one may have
//! granted, and grants again once it cannot have missed any of it.
use crate::grants::*;
use crate::ledger::Ledger;
use control_state::*;
use primitives::{Addr, Mono, Span, Version};
use std::collections::{BTreeMap, BTreeSet};

/// How long a seat may keep silent before it is asked again.
const AGAIN: Span = Span::ms(300);
/// Bytes of one part of an answer; a record that is larger goes by itself.
const PART: usize = 256 << 10;

/// What was heard so far. Invariant: all of it was asked by this version of the roll,
/// by this process, and after every round that counts a vote of the lost disk had
/// left or never would.
#[derive(Debug)]
pub(crate) struct Recall {
    roll: Version,
    seats: BTreeMap<Addr, Answers>,
    next: u64,
}

/// By asking, the parts that came: those of two askings are of two moments, and
/// make no whole together.
#[derive(Debug, Default)]
struct Answers {
    parts: BTreeMap<u64, BTreeSet<u32>>,
    /// When it was asked, or a part of its answer came.
    last: Mono,
    full: bool,
}

impl Recall {
    /// `life` keeps the numbers apart from those of an earlier process.
    pub fn new(life: u64) -> Recall {
        Recall { roll: Version(0), seats: BTreeMap::new(), next: life << 20 }
    }
}

impl Ledger {
    /// May grant: at once on the disk that its seat in the roll was taken with, else
    /// only after every grant that counts of an earlier disk was recalled, or has
    /// lost its force.
    pub(crate) fn maybe_open(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.open {
            return;
        }
        let me = &self.follow.env;
        let roll = Roll::of(&self.follow.items);
        let mine = |s: &&Seat| s.addr == me.addr;
        let clean = roll.seats().any(|s| mine(&s))
            && roll.seats().filter(mine).all(|s| (s.id, s.birth) == (me.id, me.birth));
        let waited = self.follow.myself().is_some() && now - self.boot >= self.env.window.padded();
        let recalled = self.may_recall(now) && self.unheard() < self.env.losses;
        if clean || waited || recalled {
            self.open = true;
            out.push(Out::Note("grants keys from now on"));
            self.save(now, Kept::Open, out);
        }
    }

    /// Only under the lease: then it knows every roll by which a vote of the lost disk
    /// was counted. And only once no such round can leave any more: whoever has not
    /// yet voted for it then need not be asked for it.
    fn may_recall(&self, now: Mono) -> bool {
        let me = &self.follow.env;
        let seated = |r: &Roll| r.seats().any(|s| (s.id, s.addr) == (me.id, me.addr));
        self.env.losses > 0
            && now - self.boot >= self.env.leave.padded()
            && self.follow.in_touch_until() > now
            && self.recall.roll == self.roll_version()
            && seated(&Roll::of(&self.follow.items))
    }

    fn roll_version(&self) -> Version {
        self.follow.items.get(&Key::Roll).map_or(Version(0), |it| it.ver)
    }

    fn unheard(&self) -> usize {
        let full = |a: &Addr| self.recall.seats.get(a).is_some_and(|s| s.full);
        self.others().iter().filter(|a| !full(a)).count()
    }

    pub(crate) fn recall(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.open {
            return;
        }
        let roll = self.roll_version();
        if self.recall.roll != roll {
            self.recall.seats.clear();
            self.recall.roll = roll;
        }
        if self.may_recall(now) {
            for a in self.others() {
                let s = self.recall.seats.entry(a).or_default();
                if !s.full && now - s.last >= AGAIN {
                    self.recall.next += 1;
                    let ask = self.recall.next;
                    s.last = now;
                    s.parts.insert(ask, BTreeSet::new());
                    out.push(Out::Send(a, Msg::Recall { ask, roll }));
                }
            }
        }
        self.maybe_open(now, out);
    }

    /// Shows all that the asker is named for, whether or not its time in the making is
    /// over. A seat that may not grant itself, or that goes by another roll, is silent.
    pub(crate) fn on_recall(&mut self, now: Mono, from: Addr, ask: u64, roll: Version, out: &mut Vec<Out>) {
        if !self.open || roll != self.roll_version() {
            return;
        }
        self.count("recalls answered");
        self.grants.drop_old(now, self.env.window);
        let r = Roll::of(&self.follow.items);
        let theirs = |k: &str| r.named(k, self.env.losses).iter().any(|n| n.contains(&from));
        let held = self.grants.keys.iter().filter(|(k, _)| theirs(k)).map(|(k, g)| self.show(now, k, g));
        let mut parts: Vec<(usize, Vec<Held>)> = vec![(0, vec![])];
        for h in held {
            let full = parts.last().is_some_and(|(n, p)| !p.is_empty() && n + h.size() > PART);
            if full {
                parts.push((0, vec![]));
            }
            parts.last_mut().into_iter().for_each(|(n, _)| *n += h.size());
            parts.last_mut().into_iter().for_each(|(_, p)| p.push(h.clone()));
        }
        let of = parts.len() as u32;
        let one = |(i, (_, held))| Out::Send(from, Msg::Recalled { ask, part: i as u32, of, held });
        out.extend(parts.into_iter().enumerate().map(one));
    }

    pub(crate) fn on_recalled(
        &mut self,
        now: Mono,
        from: Addr,
        (ask, part, of): (u64, u32, u32),
        held: Vec<Held>,
        out: &mut Vec<Out>,
    ) {
        let asked = self.recall.seats.get(&from).is_some_and(|s| s.parts.contains_key(&ask));
        if self.open || !asked {
            return;
        }
        for h in held {
            self.take_over(now, h, out);
        }
        self.grants.drop_old(now, self.env.window);
        if self.grants.bytes > self.env.most {
            // No room for what it must know: it waits for the window.
            return self.count("no room for keys");
        }
        let s = self.recall.seats.entry(from).or_default();
        s.last = now;
        let got = s.parts.entry(ask).or_default();
        got.insert(part);
        s.full |= got.len() == of as usize;
        self.maybe_open(now, out);
    }

    /// While it may not grant, all it holds is other ledgers' word, no promise of its
    /// own. Of two rounds at most one runs: the one whose outcome is known, or nobody
    /// can say which, and then the key is kept from both. Invariant: held at least as
    /// long as the youngest record of the key.
    fn take_over(&mut self, now: Mono, h: Held, out: &mut Vec<Out>) {
        if h.age >= self.env.window {
            return;
        }
        let was = self.grants.keys.get(&h.key).map(|g| (g.round, g.whole.is_some(), g.at));
        let round = match was {
            None => h.round,
            Some((r, known, _)) if known || r == h.round => r,
            Some(_) if h.whole.is_some() => h.round,
            Some(_) => RoundId::NONE,
        };
        if was.is_none_or(|(r, ..)| r != round) {
            self.count("recalled");
            self.save(now, Kept::Grant { key: h.key.clone(), print: h.print, round }, out);
        }
        let at = was.map_or(Mono(0), |(.., t)| t).max(now - h.age);
        self.grants.keys.entry(h.key.clone()).and_modify(|g| g.at = at);
        let known = was.is_some_and(|(_, known, _)| known);
        if let (Some(whole), true) = (h.whole, round == h.round && !known) {
            self.save(now, Kept::Outcome { key: h.key, round, whole }, out);
        }
    }
}
