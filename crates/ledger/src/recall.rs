//! Recall: a ledger asks the seats of the deciding set for all they hold of its keys. One
//! whose disk is new grants again once it cannot have missed anything that the lost one
//! granted; one of a newer set is filled so (see `fill`).
use crate::grants::*;
use crate::leave::in_parts;
use crate::ledger::Ledger;
use control_state::*;
use primitives::{Addr, Mono, Span, Version};
use std::collections::{BTreeMap, BTreeSet};

/// How long a seat may keep silent before it is asked again.
const AGAIN: Span = Span::ms(300);
/// Bytes of one part of an answer; a record that is larger goes by itself.
const PART: usize = 256 << 10;

/// What was heard so far. Invariant: all of it was asked by this version of the roll, for
/// this purpose and by this process; to reopen, also after every round that counts a
/// vote of the lost disk had left or never would.
#[derive(Clone, Debug)]
pub(crate) struct Recall {
    pub task: (Version, RecallPurpose),
    seats: BTreeMap<Addr, Answers>,
    next: u64,
    /// Rounds that gave their key back meanwhile: an answer may still name them.
    released: BTreeSet<RoundId>,
}

/// By asking, the parts that came: those of two askings are of two moments, and
/// make no whole together.
#[derive(Clone, Debug, Default)]
struct Answers {
    parts: BTreeMap<u64, BTreeSet<u32>>,
    /// When it was asked, or a part of its answer came.
    last: Mono,
    full: bool,
}

impl Recall {
    /// `life` keeps the numbers apart from those of an earlier process.
    pub fn new(life: u64) -> Recall {
        let task = (Version(0), RecallPurpose::AfterDiskLoss);
        Recall { task, seats: BTreeMap::new(), next: life << 20, released: BTreeSet::new() }
    }

    pub(crate) fn released(&mut self, round: RoundId) {
        if !self.seats.is_empty() {
            self.released.insert(round);
        }
    }

    fn begin(&mut self, task: (Version, RecallPurpose)) {
        if self.task != task {
            self.seats.clear();
            self.released.clear();
            self.task = task;
        }
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
        let waited = self.follow.own_node().is_some() && now - self.boot >= self.env.window.padded();
        let recalled = self.may_reopen(now) && self.unheard() <= self.bearable();
        if clean || waited || recalled {
            self.open = true;
            out.push(Out::Note("grants keys from now on"));
            // What an earlier disk at this place voted for by an earlier roll may be known
            // to the others without this one's further votes.
            self.raise_fence(now, self.roll_version(), out);
            self.save(now, Kept::Open, out);
        }
    }

    /// Seats of the deciding set that need not be heard: those that may have lost their disks
    /// beside this one.
    fn bearable(&self) -> usize {
        let me = self.follow.env.addr;
        let decides = Roll::of(&self.follow.items).authoritative_set().iter().any(|s| s.addr == me);
        self.env.losses - decides as usize
    }

    /// Only under the lease: then it knows every roll by which a vote of the lost disk
    /// was counted. And only once no such round can leave any more: whoever has not
    /// yet voted for it then need not be asked for it.
    fn may_reopen(&self, now: Mono) -> bool {
        let me = &self.follow.env;
        let seated = |r: &Roll| r.seats().any(|s| (s.id, s.addr) == (me.id, me.addr));
        self.env.losses > 0
            && now - self.boot >= self.env.leave.padded()
            && self.follow.lease_quorum_until() > now
            && self.recall.task == (self.roll_version(), RecallPurpose::AfterDiskLoss)
            && seated(&Roll::of(&self.follow.items))
    }

    pub(crate) fn roll_version(&self) -> Version {
        Roll::version(&self.follow.items)
    }

    /// The seats that are asked. The newer set need not be: while the set changes every
    /// round has a quorum in the older one.
    fn sources(&self) -> BTreeSet<Addr> {
        let me = self.follow.env.addr;
        let roll = Roll::of(&self.follow.items);
        roll.authoritative_set().iter().map(|s| s.addr).filter(|a| *a != me).collect()
    }

    pub(crate) fn unheard(&self) -> usize {
        let full = |a: &Addr| self.recall.seats.get(a).is_some_and(|s| s.full);
        self.sources().iter().filter(|a| !full(a)).count()
    }

    pub(crate) fn recall(&mut self, now: Mono, out: &mut Vec<Out>) {
        let filling = self.filling();
        if self.open && !filling {
            return;
        }
        let purpose = if filling { RecallPurpose::Fill } else { RecallPurpose::AfterDiskLoss };
        self.recall.begin((self.roll_version(), purpose));
        if filling || self.may_reopen(now) {
            self.ask_seats(now, out);
        }
        self.maybe_open(now, out);
        self.maybe_filled(out);
    }

    fn ask_seats(&mut self, now: Mono, out: &mut Vec<Out>) {
        let (roll, purpose) = self.recall.task;
        for a in self.sources() {
            let seat = self.recall.seats.entry(a).or_default();
            let silent = seat.last == Mono(0) || now - seat.last >= AGAIN;
            if !seat.full && silent {
                self.recall.next += 1;
                let ask = self.recall.next;
                seat.last = now;
                seat.parts.insert(ask, BTreeSet::new());
                out.push(Out::Send(a, Msg::Recall { ask, roll, purpose }));
            }
        }
    }

    /// Shows all that the asker is named for, whether or not its time in the making is
    /// over. A seat that may not grant itself, or that goes by another roll, is silent.
    pub(crate) fn on_recall(
        &mut self,
        now: Mono,
        from: Addr,
        ask: u64,
        (roll, purpose): (Version, RecallPurpose),
        out: &mut Vec<Out>,
    ) {
        if !self.open || roll != self.roll_version() {
            return;
        }
        self.count("recalls answered");
        if purpose == RecallPurpose::Fill {
            self.raise_fence(now, roll, out);
        }
        self.grants.drop_old(now, self.env.window);
        let r = Roll::of(&self.follow.items);
        let theirs = |k: &str| r.named(k, self.env.losses).iter().any(|n| n.contains(&from));
        let keys = self.grants.iter().filter(|(k, _)| theirs(k));
        let held = keys.map(|(k, g)| self.show_for(now, purpose, &r, k, g)).collect();
        let parts = in_parts(held, PART);
        let of = parts.len() as u32;
        let one = |(i, held)| Out::Send(from, Msg::Recalled { ask, part: i as u32, of, held });
        out.extend(parts.into_iter().enumerate().map(one));
    }

    /// An outcome kept here alone goes along where this ledger will not be asked for it any
    /// more.
    fn show_for(&self, now: Mono, purpose: RecallPurpose, roll: &Roll, key: &str, g: &Grant) -> Held {
        let newest = roll.named(key, self.env.losses).pop().unwrap_or_default();
        let stays = newest.contains(&self.follow.env.addr);
        match purpose {
            RecallPurpose::Fill if !stays => g.show(now, key),
            _ => self.show(now, key, g),
        }
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
        if !asked || (self.open && !self.filling()) {
            return;
        }
        let given_back = |h: &Held| self.recall.released.contains(&h.round);
        let held: Vec<Held> = held.into_iter().filter(|h| !given_back(h)).collect();
        for h in held {
            self.take_over(now, h, out);
        }
        self.grants.drop_old(now, self.env.window);
        if self.grants.bytes() > self.env.most {
            // No room for what it must know: it waits for the window.
            return self.count("no room for keys");
        }
        let s = self.recall.seats.entry(from).or_default();
        s.last = now;
        let got = s.parts.entry(ask).or_default();
        got.insert(part);
        s.full |= got.len() == of as usize;
        self.maybe_open(now, out);
        self.maybe_filled(out);
    }

    /// Of two rounds at most one runs: the one whose outcome is known, or nobody can say
    /// which, and then the key is kept from both. A grant of its own is so kept from
    /// others too. Invariant: held at least as long as the youngest record of the key.
    fn take_over(&mut self, now: Mono, h: Held, out: &mut Vec<Out>) {
        if h.age >= self.env.window {
            return;
        }
        let was = self.grants.get(&h.key).map(|g| (g.round, g.whole.is_some(), g.at));
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
        self.grants.set_at(&h.key, at);
        let known = was.is_some_and(|(_, known, _)| known);
        if let (Some(whole), true) = (h.whole, round == h.round && !known) {
            self.keep_outcome(now, h.key, round, whole, out);
        }
    }
}
