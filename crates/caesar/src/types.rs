//! What the protocol talks about. The names follow the paper (Section V-A).
use primitives::Mono;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt::Debug;

/// A controller's id within the agreement. Invariant: one id, one disk; a controller
/// that lost its disk never speaks under its old id again.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// A logical timestamp `<k, i>`, ordered by `k`, then by controller.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The logical clock.
    pub k: u64,
    /// Whose clock it is.
    pub i: MemberId,
}

/// A command's id: its first leader and that leader's clock when it was proposed.
/// Invariant: unique for all time, because the clock bound is synced ahead of use.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId {
    /// Its first leader.
    pub member_id: MemberId,
    /// That leader's clock.
    pub seq: u64,
}

/// A ballot for one command. `n` 0 belongs to the command's first leader;
/// above that the recovering controller's id makes ballots unique.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// How often the command was recovered.
    pub n: u32,
    /// Who recovers it.
    pub i: MemberId,
}

/// Invariant: within one ballot a tuple's status only moves down this list
/// (rejected and slow-pending stand side by side, both before accepted).
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// Proposed for a fast decision, and agreed to.
    FastPending,
    /// Refused at its timestamp.
    Rejected,
    /// Proposed to a classic quorum, and agreed to.
    SlowPending,
    /// Bound to its timestamp by a Retry.
    Accepted,
    /// Decided.
    Stable,
}

/// Commands that are delivered before another one: the paper's `Pred`.
pub type Preds = BTreeSet<CommandId>;

/// What a command must tell the protocol about itself.
pub trait Command: Clone + Debug + PartialEq {
    /// Whether the order of the two matters. Symmetric.
    fn conflicts(&self, other: &Self) -> bool;
    /// A command without effect that clashes with nothing; it fills ids whose
    /// command no reachable controller ever saw.
    fn noop() -> Self;
    /// What it takes in memory and on a link, roughly.
    fn bytes(&self) -> usize {
        std::mem::size_of_val(self)
    }
}

/// One entry of H: `<c, T, Pred, status, ballot, forced>`.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Tuple<C> {
    /// The command.
    pub cmd: C,
    /// Its timestamp.
    pub stamp: Stamp,
    /// Its predecessors.
    pub pred: Preds,
    /// How far it has come.
    pub status: Status,
    /// The ballot under which it came there.
    pub ballot: Ballot,
    /// Its predecessors were given by a recovery's whitelist.
    pub forced: bool,
}

impl<C> Tuple<C> {
    /// The same with another command.
    pub(crate) fn with<D>(&self, cmd: D) -> Tuple<D> {
        let (stamp, pred, status) = (self.stamp, self.pred.clone(), self.status);
        Tuple { cmd, stamp, pred, status, ballot: self.ballot, forced: self.forced }
    }
}

/// What reaches the disk. Replaying all of them in order rebuilds the acceptor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogRecord<C> {
    /// The tuple now held under the id.
    Tuple(CommandId, Tuple<C>),
    /// The highest ballot promised for the id.
    Ballot(CommandId, Ballot),
    /// No stamp above this one was used before the next such record.
    Clock(u64),
    /// A new status under the id; its command is the one recorded before.
    StatusChanged(CommandId, Tuple<()>),
}

/// A command on offer under a ballot.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Offer<C> {
    /// The command's id.
    pub cid: CommandId,
    /// The command.
    pub cmd: C,
    /// The ballot it is offered under.
    pub ballot: Ballot,
    /// The timestamp it is to have.
    pub stamp: Stamp,
    /// The predecessors it is to have.
    pub pred: Preds,
}

/// The phase an acceptor replies to.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// `FastPropose`: decided by a fast quorum.
    Fast,
    /// `SlowPropose`: decided by a classic quorum.
    Slow,
    /// `Retry`: never refused.
    Retry,
}

/// An acceptor's reply; `ok` false is the paper's NACK.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The command voted on.
    pub cid: CommandId,
    /// The ballot voted in.
    pub ballot: Ballot,
    /// The phase replied to.
    pub phase: Phase,
    /// Whether the acceptor agrees.
    pub ok: bool,
    /// The timestamp agreed to, or a later one suggested instead.
    pub stamp: Stamp,
    /// Predecessors known to the acceptor.
    pub pred: Preds,
}

/// What replicas say to one another to agree.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub enum Message<C> {
    /// `Offer::pred` holds the whitelist when the flag says there is one.
    FastPropose(Offer<C>, bool),
    /// The second try, where a fast quorum did not answer in time.
    SlowPropose(Offer<C>),
    /// The last try, at a timestamp that nobody refuses.
    Retry(Offer<C>),
    /// The decision.
    Stable(Offer<C>),
    /// An acceptor's reply.
    Vote(Vote),
    /// A recovering replica asks for promises, and for what is known.
    Recover(CommandId, Ballot),
    /// The promise, with the tuple held if any.
    RecoverReply(CommandId, Ballot, Option<Tuple<C>>),
    /// Count and digest of the sender's stable commands.
    StableDigest(u64, u64),
    /// Send these, as far as they are stable.
    Want(Vec<CommandId>),
    /// Which commands are stable there? The time is the sender's own.
    RequestStableIds(Mono),
    /// The answer, with the time of the question.
    StableIds(Mono, Vec<CommandId>),
    /// Some of what was wanted.
    StableCommands(Vec<Offer<C>>),
}

/// What the machine asks of its shell. Order matters: an output may leave only
/// after every `Save` before it has been synced ("sync, then send").
#[derive(Clone, Debug, PartialEq)]
pub enum Out<C> {
    /// Append this to the disk's log.
    Save(LogRecord<C>),
    /// Send this to a replica.
    Send(MemberId, Message<C>),
    /// The command has come to its place in the order.
    Deliver(CommandId, C),
}

/// Counters of one replica, from its start on.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Commands proposed here.
    pub proposed: u64,
    /// Of those: decided by a fast quorum.
    pub fast: u64,
    /// Of those: tried again with a classic quorum.
    pub slow: u64,
    /// Of those: decided by a Retry.
    pub retried: u64,
    /// Commands recovered here.
    pub recovered: u64,
    /// Proposals held back by the wait rule.
    pub waited: u64,
    /// Proposals refused.
    pub nacked: u64,
    /// Messages sent.
    pub sent: u64,
}
