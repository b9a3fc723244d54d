//! State of one replica, and dispatch of messages and timer ticks.
use crate::catch_up::CatchUp;
use crate::config::ReplicaConfig;
use crate::lead::LeaderState;
use crate::types::*;
use primitives::{Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Clock values reserved ahead with each `LogRecord::Clock`, so that few of them are saved.
const CLOCK_RESERVE: u64 = 4096;

/// A proposal that the wait rule holds back.
#[derive(Clone, Debug, Hash)]
pub(crate) struct WaitingProposal<C> {
    pub from: MemberId,
    pub phase: Phase,
    pub proposal: Offer<C>,
}

/// One replica of the protocol, for one era (a fixed set of members).
#[derive(Clone)]
pub struct Machine<C> {
    pub(crate) me: MemberId,
    /// Sorted. Invariant: never changes; other members form another era, with machines of its own.
    pub(crate) members: Vec<MemberId>,
    pub(crate) config: ReplicaConfig,
    /// Invariant: above every timestamp handled so far.
    pub(crate) clock: u64,
    /// Clock values below this may be used. Invariant: `clock <= bound`, and `bound` has been saved.
    pub(crate) bound: u64,
    /// The paper's H: at most one tuple per command.
    pub(crate) history: BTreeMap<CommandId, Tuple<C>>,
    /// The highest ballot promised for each command.
    pub(crate) ballots: BTreeMap<CommandId, Ballot>,
    pub(crate) waiting_proposals: BTreeMap<CommandId, WaitingProposal<C>>,
    pub(crate) leader_states: BTreeMap<CommandId, LeaderState<C>>,
    /// Commands delivered here. Invariant: a subset of the stable commands of `history`.
    pub(crate) delivered_ids: BTreeSet<CommandId>,
    /// Commands that delay delivery: since when (or when last recovered), and how often recovered.
    pub(crate) unfinished: BTreeMap<CommandId, (Mono, u32)>,
    pub(crate) last_heard: BTreeMap<MemberId, Mono>,
    /// Moving average of the round-trip time to each member.
    pub(crate) rtts: BTreeMap<MemberId, Span>,
    /// Number of stable commands.
    pub(crate) stable_count: u64,
    /// XOR of the hashes of the ids of all stable commands.
    pub(crate) digest: u64,
    pub(crate) digest_sent_at: Mono,
    pub(crate) catch_up: CatchUp,
    /// Total size of all commands in `history`.
    pub(crate) bytes: usize,
    /// Counters since the start of this replica.
    pub tally: Tally,
}

impl<C: Command> Machine<C> {
    /// Creates a replica without any commands. `members` includes `me`, in any order.
    pub fn new(me: MemberId, mut members: Vec<MemberId>, config: ReplicaConfig, now: Mono) -> Machine<C> {
        members.sort();
        let last_heard = members.iter().map(|member| (*member, now)).collect();
        Machine {
            me,
            members,
            config,
            clock: 0,
            bound: 0,
            history: BTreeMap::new(),
            ballots: BTreeMap::new(),
            waiting_proposals: BTreeMap::new(),
            leader_states: BTreeMap::new(),
            delivered_ids: BTreeSet::new(),
            unfinished: BTreeMap::new(),
            last_heard,
            rtts: BTreeMap::new(),
            stable_count: 0,
            digest: 0,
            digest_sent_at: now,
            catch_up: CatchUp::new(now),
            bytes: 0,
            tally: Tally::default(),
        }
    }

    /// Advances the clock above `k`, the clock of the previous era, so that command ids stay unique.
    pub fn advance_clock(&mut self, k: u64, out: &mut Vec<Out<C>>) {
        self.clock = self.clock.max(k);
        self.observe_clock(k, out);
    }

    /// Hash of the protocol state: equal for replicas that behave equally from now on, apart from timing.
    pub fn state_hash(&self) -> u64
    where
        C: std::hash::Hash,
    {
        primitives::hash(&(
            self.clock,
            &self.history,
            &self.ballots,
            &self.waiting_proposals,
            &self.leader_states,
            &self.delivered_ids,
        ))
    }

    /// The logical clock, which is above every timestamp handled so far.
    pub fn clock(&self) -> u64 {
        self.clock
    }
    /// Number of commands known here.
    pub fn size(&self) -> usize {
        self.history.len()
    }
    /// Commands known here that have not been delivered.
    pub fn under_way(&self) -> impl Iterator<Item = (CommandId, &C)> {
        let undelivered = self.history.iter().filter(|(cid, _)| !self.delivered_ids.contains(cid));
        undelivered.map(|(cid, tuple)| (*cid, &tuple.cmd))
    }
    /// Approximate total size of all commands known here, in bytes; see [`Command::bytes`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }
    /// All members, in ascending order.
    pub fn roster(&self) -> &[MemberId] {
        &self.members
    }
    /// Whether the command was delivered here.
    pub fn delivered(&self, cid: CommandId) -> bool {
        self.delivered_ids.contains(&cid)
    }
    /// When the last message of that member arrived, or the time of this replica's creation if none
    /// has; `None` if it is no member.
    pub fn last_heard_from(&self, member_id: MemberId) -> Option<Mono> {
        self.last_heard.get(&member_id).copied()
    }

    pub(crate) fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Sends a message to all members, this replica included.
    pub(crate) fn send_all(&mut self, msg: Message<C>, out: &mut Vec<Out<C>>) {
        self.tally.sent += self.member_count() as u64 - 1;
        out.extend(self.members.iter().map(|member| Out::Send(*member, msg.clone())));
    }

    pub(crate) fn send(&mut self, to: MemberId, msg: Message<C>, out: &mut Vec<Out<C>>) {
        self.tally.sent += (to != self.me) as u64;
        out.push(Out::Send(to, msg));
    }

    /// Advances the clock above `k`; saves a new bound when the reserved clock values are used up.
    pub(crate) fn observe_clock(&mut self, k: u64, out: &mut Vec<Out<C>>) {
        self.clock = self.clock.max(k + 1);
        if self.clock >= self.bound {
            self.bound = self.clock + CLOCK_RESERVE;
            out.push(Out::Save(LogRecord::Clock(self.bound)));
        }
    }

    /// Takes the current timestamp, the paper's `TS_i`; each call returns a greater one.
    pub(crate) fn next_stamp(&mut self, out: &mut Vec<Out<C>>) -> Stamp {
        let k = self.clock;
        self.observe_clock(k, out);
        Stamp { k, i: self.me }
    }

    /// `H.Update`: sets the tuple of a command and saves it. Where the command itself is unchanged, only the
    /// new status is saved.
    pub(crate) fn update(&mut self, now: Mono, cid: CommandId, tuple: Tuple<C>, out: &mut Vec<Out<C>>) {
        self.count_stable(cid, tuple.status);
        if tuple.status != Status::Stable {
            self.unfinished.entry(cid).or_insert((now, 0));
        }
        let command_unchanged = self.history.get(&cid).is_some_and(|previous| previous.cmd == tuple.cmd);
        let record = if command_unchanged {
            LogRecord::StatusChanged(cid, tuple.with(()))
        } else {
            LogRecord::Tuple(cid, tuple.clone())
        };
        out.push(Out::Save(record));
        self.insert_tuple(cid, tuple);
    }

    /// Sets the tuple of a command without saving it.
    pub(crate) fn insert_tuple(&mut self, cid: CommandId, tuple: Tuple<C>) {
        self.bytes += tuple.cmd.bytes();
        let previous = self.history.insert(cid, tuple);
        self.bytes -= previous.map_or(0, |old| old.cmd.bytes());
    }

    /// Updates count and digest if the command becomes stable; to be called before its tuple is set.
    pub(crate) fn count_stable(&mut self, cid: CommandId, status: Status) {
        let was_stable = self.history.get(&cid).is_some_and(|tuple| tuple.status == Status::Stable);
        if status == Status::Stable && !was_stable {
            self.stable_count += 1;
            self.digest ^= primitives::hash(&(cid.member_id.0, cid.seq));
        }
    }

    /// Handles a message; ignores it if `from` is no member.
    pub fn take(&mut self, now: Mono, from: MemberId, msg: Message<C>, out: &mut Vec<Out<C>>) {
        if !self.members.contains(&from) {
            return;
        }
        self.last_heard.insert(from, now);
        match msg {
            Message::FastPropose(proposal, has_whitelist) => {
                self.on_fast(now, from, proposal, has_whitelist, out)
            }
            Message::SlowPropose(proposal) => self.on_slow(now, from, proposal, out),
            Message::Retry(proposal) => self.on_retry(now, from, proposal, out),
            Message::Stable(proposal) => self.on_stable(now, proposal, out),
            Message::Vote(vote) => self.on_vote(now, from, vote, out),
            Message::Recover(cid, ballot) => self.on_recover(from, cid, ballot, out),
            Message::RecoverReply(cid, ballot, tuple) => {
                self.on_recover_reply(now, from, cid, ballot, tuple, out)
            }
            Message::StableDigest(count, digest) => self.on_stable_digest(now, from, count, digest, out),
            Message::Want(ids) => self.on_want(from, ids, out),
            Message::RequestStableIds(asked_at) => self.on_request_stable_ids(from, asked_at, out),
            Message::StableIds(asked_at, ids) => self.on_stable_ids(now, from, asked_at, ids, out),
            Message::StableCommands(proposals) => self.on_stable_commands(now, proposals, out),
        }
        self.reevaluate_waiting(now, out);
    }

    /// Handles timeouts, recoveries and catch-up. To be called every few milliseconds.
    pub fn tick(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        self.last_heard.insert(self.me, now);
        self.advance_led_commands(now, out);
        self.recover_unfinished(now, out);
        self.advance_catch_up(now, out);
        if now - self.digest_sent_at >= self.config.digest_interval {
            self.digest_sent_at = now;
            let digest = Message::StableDigest(self.stable_count, self.digest);
            self.send_all(digest, out);
        }
    }
}
