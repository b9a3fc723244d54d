//! One replica: its state, and where each message goes.
use crate::catch_up::CatchUp;
use crate::pace::ReplicaConfig;
use crate::types::*;
use primitives::{Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// A leader's work on one command under one ballot.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Lead<C> {
    pub offer: Offer<C>,
    pub step: Step,
    pub white: bool,
    /// First reply of each controller in this phase.
    pub votes: BTreeMap<MemberId, (bool, Stamp, Preds)>,
    pub finds: BTreeMap<MemberId, Option<Tuple<C>>>,
    pub began: Mono,
    pub sent: Mono,
}

#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    Prepare,
    Vote(Phase),
}

/// A proposal held back by the wait rule.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Waiter<C> {
    pub from: MemberId,
    pub phase: Phase,
    pub offer: Offer<C>,
}

/// One replica of the agreement, for one membership.
#[derive(Clone)]
pub struct Machine<C> {
    pub(crate) me: MemberId,
    /// Invariant: fixed for the machine's life; another roster is another era.
    pub(crate) roster: Vec<MemberId>,
    pub(crate) pace: ReplicaConfig,
    /// Invariant: above every stamp handled so far.
    pub(crate) clock: u64,
    /// Invariant: `clock <= bound`, and `bound` has been saved.
    pub(crate) bound: u64,
    /// At most one tuple per command.
    pub(crate) h: BTreeMap<CommandId, Tuple<C>>,
    pub(crate) ballots: BTreeMap<CommandId, Ballot>,
    pub(crate) waits: BTreeMap<CommandId, Waiter<C>>,
    pub(crate) leads: BTreeMap<CommandId, Lead<C>>,
    /// Delivered here. Invariant: a subset of the stable tuples of `h`.
    pub(crate) done: BTreeSet<CommandId>,
    /// Commands that keep delivery waiting, since when, and how often recovered.
    pub(crate) stuck: BTreeMap<CommandId, (Mono, u32)>,
    pub(crate) heard: BTreeMap<MemberId, Mono>,
    pub(crate) rtts: BTreeMap<MemberId, Span>,
    pub(crate) stables: u64,
    pub(crate) digest: u64,
    pub(crate) compared: Mono,
    pub(crate) catch_up: CatchUp,
    /// Of all commands in `h`.
    pub(crate) bytes: usize,
    /// Counters.
    pub tally: Tally,
}

impl<C: Command> Machine<C> {
    /// A replica that holds nothing yet.
    pub fn new(me: MemberId, mut roster: Vec<MemberId>, pace: ReplicaConfig, now: Mono) -> Machine<C> {
        roster.sort();
        let heard = roster.iter().map(|k| (*k, now)).collect();
        Machine {
            me,
            roster,
            pace,
            clock: 0,
            bound: 0,
            h: BTreeMap::new(),
            ballots: BTreeMap::new(),
            waits: BTreeMap::new(),
            leads: BTreeMap::new(),
            done: BTreeSet::new(),
            stuck: BTreeMap::new(),
            heard,
            rtts: BTreeMap::new(),
            stables: 0,
            digest: 0,
            compared: now,
            catch_up: CatchUp::new(now),
            bytes: 0,
            tally: Tally::default(),
        }
    }

    /// Carries the clock over into a new era, so that ids stay unique.
    pub fn advance_clock(&mut self, k: u64, out: &mut Vec<Out<C>>) {
        self.clock = self.clock.max(k);
        self.see(k, out);
    }

    /// Equal for machines that have the same to say from now on, times apart.
    pub fn print(&self) -> u64
    where
        C: std::hash::Hash,
    {
        primitives::hash(&(self.clock, &self.h, &self.ballots, &self.waits, &self.leads, &self.done))
    }

    /// The highest timestamp handled so far.
    pub fn clock(&self) -> u64 {
        self.clock
    }
    /// Commands known here.
    pub fn size(&self) -> usize {
        self.h.len()
    }
    /// Commands known here that were not delivered yet.
    pub fn under_way(&self) -> impl Iterator<Item = (CommandId, &C)> {
        let open = self.h.iter().filter(|(cid, _)| !self.done.contains(cid));
        open.map(|(cid, tuple)| (*cid, &tuple.cmd))
    }
    /// What the commands of `size` take, roughly.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
    /// All replicas, in order.
    pub fn roster(&self) -> &[MemberId] {
        &self.roster
    }
    /// Whether the command was delivered here.
    pub fn delivered(&self, cid: CommandId) -> bool {
        self.done.contains(&cid)
    }
    /// When a message of that replica last came in.
    pub fn last_heard_from(&self, k: MemberId) -> Option<Mono> {
        self.heard.get(&k).copied()
    }

    pub(crate) fn n(&self) -> usize {
        self.roster.len()
    }

    pub(crate) fn send_all(&mut self, msg: Message<C>, out: &mut Vec<Out<C>>) {
        self.tally.sent += self.n() as u64 - 1;
        out.extend(self.roster.iter().map(|k| Out::Send(*k, msg.clone())));
    }

    pub(crate) fn send(&mut self, to: MemberId, msg: Message<C>, out: &mut Vec<Out<C>>) {
        self.tally.sent += (to != self.me) as u64;
        out.push(Out::Send(to, msg));
    }

    /// Lifts the clock above `k`, saving a new bound well before it is reached.
    pub(crate) fn see(&mut self, k: u64, out: &mut Vec<Out<C>>) {
        self.clock = self.clock.max(k + 1);
        if self.clock >= self.bound {
            self.bound = self.clock + 4096;
            out.push(Out::Save(LogRecord::Clock(self.bound)));
        }
    }

    /// The current `TS_i`; the next one will be greater.
    pub(crate) fn next_stamp(&mut self, out: &mut Vec<Out<C>>) -> Stamp {
        let k = self.clock;
        self.see(k, out);
        Stamp { k, i: self.me }
    }

    /// `H.Update`, saved; whoever the wait rule holds back is asked again.
    pub(crate) fn update(&mut self, now: Mono, cid: CommandId, t: Tuple<C>, out: &mut Vec<Out<C>>) {
        self.note_stable(cid, t.status);
        if t.status != Status::Stable {
            self.stuck.entry(cid).or_insert((now, 0));
        }
        let known = self.h.get(&cid).is_some_and(|was| was.cmd == t.cmd);
        let record =
            if known { LogRecord::StatusChanged(cid, t.with(())) } else { LogRecord::Tuple(cid, t.clone()) };
        out.push(Out::Save(record));
        self.put(cid, t);
    }

    pub(crate) fn put(&mut self, cid: CommandId, t: Tuple<C>) {
        self.bytes += t.cmd.bytes();
        let was = self.h.insert(cid, t);
        self.bytes -= was.map_or(0, |w| w.cmd.bytes());
    }

    pub(crate) fn note_stable(&mut self, cid: CommandId, s: Status) {
        let was = self.h.get(&cid).is_some_and(|t| t.status == Status::Stable);
        if s == Status::Stable && !was {
            self.stables += 1;
            self.digest ^= primitives::hash(&(cid.member_id.0, cid.seq));
        }
    }

    /// Takes a message in; those of strangers are passed over.
    pub fn take(&mut self, now: Mono, from: MemberId, msg: Message<C>, out: &mut Vec<Out<C>>) {
        if !self.roster.contains(&from) {
            return;
        }
        self.heard.insert(from, now);
        match msg {
            Message::FastPropose(o, white) => self.on_fast(now, from, o, white, out),
            Message::SlowPropose(o) => self.on_slow(now, from, o, out),
            Message::Retry(o) => self.on_retry(now, from, o, out),
            Message::Stable(o) => self.on_stable(now, o, out),
            Message::Vote(v) => self.on_vote(now, from, v, out),
            Message::Recover(cid, b) => self.on_recover(from, cid, b, out),
            Message::RecoverReply(cid, b, t) => self.on_found(now, from, cid, b, t, out),
            Message::StableDigest(n, d) => self.on_have(now, from, n, d, out),
            Message::Want(ids) => self.on_want(from, ids, out),
            Message::RequestStableIds(mark) => self.on_ask_stable(from, mark, out),
            Message::StableIds(mark, ids) => self.on_stable_ids(now, from, mark, ids, out),
            Message::StableCommands(offers) => self.on_stables(now, offers, out),
        }
        self.ask_waiters(now, out);
    }

    /// To be called every few milliseconds: timeouts, recoveries, catching up.
    pub fn tick(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        self.heard.insert(self.me, now);
        self.push_leads(now, out);
        self.chase(now, out);
        self.push_catch_up(now, out);
        if now - self.compared >= self.pace.compare {
            self.compared = now;
            let have = Message::StableDigest(self.stables, self.digest);
            self.send_all(have, out);
        }
    }
}
