//! Types of the protocol. Their names follow the paper (Section V-A).
use primitives::Mono;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt::Debug;

/// Id of a member of the consensus group.
///
/// Invariant: an id belongs to one disk. A controller that has lost its disk must not use its
/// old id again.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// A logical timestamp `<k, i>`, ordered by `k`, then by member.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Value of the logical clock.
    pub k: u64,
    /// The member whose clock it is.
    pub i: MemberId,
}

/// Id of a command: its first leader, and the clock of that leader when it proposed the command.
///
/// Invariant: never used again, not even after a restart, because the bound of the clock is
/// synced to disk before clock values below it are used.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId {
    /// The first leader.
    pub member_id: MemberId,
    /// The logical clock of the first leader at the proposal.
    pub seq: u64,
}

/// A ballot for one command.
///
/// Ballot number 0 belongs to the command's first leader. For higher numbers, the id of the
/// recovering member makes the ballot unique.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Ballot number; each recovery increments it.
    pub n: u32,
    /// The recovering member.
    pub i: MemberId,
}

/// Status of a command at an acceptor.
///
/// Invariant: within one ballot, the status only moves down this list. Rejected and
/// slow-pending are alternatives: neither follows the other.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// Proposed in the fast phase.
    FastPending,
    /// Rejected at its timestamp.
    Rejected,
    /// Agreed to in the slow phase.
    SlowPending,
    /// Accepted by a Retry, with the timestamp given there.
    Accepted,
    /// Decided.
    Stable,
}

/// Predecessors of a command, which are delivered before it: the paper's `Pred`.
pub type Preds = BTreeSet<CommandId>;

/// A command that the protocol can order.
pub trait Command: Clone + Debug + PartialEq {
    /// Whether the result depends on the order of the two commands. Must be symmetric.
    fn conflicts(&self, other: &Self) -> bool;
    /// A command without effect that conflicts with no other. Recovery uses it for ids whose
    /// command is unknown to all reachable members.
    fn noop() -> Self;
    /// Approximate size of the command in memory and on the wire, in bytes.
    fn bytes(&self) -> usize {
        std::mem::size_of_val(self)
    }
}

/// One entry of the paper's H: `<c, T, Pred, status, ballot, forced>`.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Tuple<C> {
    /// The command.
    pub cmd: C,
    /// Its timestamp.
    pub stamp: Stamp,
    /// Its predecessors.
    pub pred: Preds,
    /// Status of the command under `ballot`.
    pub status: Status,
    /// The ballot under which this status was reached.
    pub ballot: Ballot,
    /// Whether the predecessors are restricted by the whitelist of a recovery.
    pub forced: bool,
}

impl<C> Tuple<C> {
    /// The same tuple with another command.
    pub(crate) fn with<D>(&self, cmd: D) -> Tuple<D> {
        let (stamp, pred, status) = (self.stamp, self.pred.clone(), self.status);
        Tuple { cmd, stamp, pred, status, ballot: self.ballot, forced: self.forced }
    }
}

/// A record of the log. Replaying all records in order restores the acceptor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogRecord<C> {
    /// The current tuple of the command.
    Tuple(CommandId, Tuple<C>),
    /// The highest ballot promised for the command.
    Ballot(CommandId, Ballot),
    /// No clock value above this one is used before the next `Clock` record.
    Clock(u64),
    /// The current tuple of the command, without the command itself, which an earlier `Tuple` record holds.
    StatusChanged(CommandId, Tuple<()>),
}

/// A proposal of a command under a ballot.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Offer<C> {
    /// The command's id.
    pub cid: CommandId,
    /// The command.
    pub cmd: C,
    /// The ballot of the proposal.
    pub ballot: Ballot,
    /// The proposed timestamp.
    pub stamp: Stamp,
    /// The proposed predecessors.
    pub pred: Preds,
}

/// A phase in which acceptors vote.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// `FastPropose`: needs a fast quorum.
    Fast,
    /// `SlowPropose`: needs a classic quorum.
    Slow,
    /// `Retry`: needs a classic quorum and is never rejected.
    Retry,
}

/// An acceptor's vote on a proposal; `ok == false` is the paper's NACK.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The command voted on.
    pub cid: CommandId,
    /// The ballot voted in.
    pub ballot: Ballot,
    /// The phase voted in.
    pub phase: Phase,
    /// Whether the acceptor agrees.
    pub ok: bool,
    /// The timestamp agreed to; in a rejection, a later one that is suggested instead.
    pub stamp: Stamp,
    /// The predecessors known to the acceptor.
    pub pred: Preds,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub enum Message<C> {
    /// Proposal of the fast phase. If the flag is set, `Offer::pred` holds the whitelist of a recovery.
    FastPropose(Offer<C>, bool),
    /// Proposal of the slow phase, which follows if a fast quorum has not replied in time.
    SlowPropose(Offer<C>),
    /// Proposal that follows a rejection, at the highest timestamp suggested. It is never rejected.
    Retry(Offer<C>),
    /// The decision on a command.
    Stable(Offer<C>),
    /// A vote of an acceptor.
    Vote(Vote),
    /// Asks for a promise of the ballot and for the tuple of the command.
    Recover(CommandId, Ballot),
    /// Promises the ballot; holds the sender's tuple of the command, if any.
    RecoverReply(CommandId, Ballot, Option<Tuple<C>>),
    /// Number and digest of the sender's stable commands.
    StableDigest(u64, u64),
    /// Requests those of the commands that are stable at the recipient.
    Want(Vec<CommandId>),
    /// Requests the ids of all stable commands. The time is of the sender's clock.
    RequestStableIds(Mono),
    /// The ids of all stable commands, with the time given in the request.
    StableIds(Mono, Vec<CommandId>),
    /// Some of the commands requested by `Want`.
    StableCommands(Vec<Offer<C>>),
}

/// An output of the state machine.
///
/// Outputs are ordered: one may take effect only after every `Save` before it has been synced
/// to disk.
#[derive(Clone, Debug, PartialEq)]
pub enum Out<C> {
    /// Append the record to the log on disk.
    Save(LogRecord<C>),
    /// Send the message to a member, which may be the sender itself.
    Send(MemberId, Message<C>),
    /// Execute the command: all of its predecessors have been delivered.
    Deliver(CommandId, C),
}

/// Counters of one replica since its start.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Commands proposed here.
    pub proposed: u64,
    /// Commands decided by a fast quorum under this replica's lead.
    pub fast: u64,
    /// Commands for which this replica started the slow phase because no fast quorum replied in time.
    pub slow: u64,
    /// Commands for which this replica started a Retry after a rejection.
    pub retried: u64,
    /// Recoveries started here.
    pub recovered: u64,
    /// How often the wait rule was evaluated with the result that a proposal must wait.
    pub waited: u64,
    /// Proposals rejected.
    pub nacked: u64,
    /// Messages sent to other members.
    pub sent: u64,
}
