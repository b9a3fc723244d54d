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
    pub k: u64,
    pub i: MemberId,
}

/// A command's id: its first leader and that leader's clock when it was proposed.
/// Invariant: unique for all time, because the clock bound is synced ahead of use.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cid {
    pub member_id: MemberId,
    pub seq: u64,
}

/// A ballot for one command. `n` 0 belongs to the command's first leader;
/// above that the recovering controller's id makes ballots unique.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub n: u32,
    pub i: MemberId,
}

/// Invariant: within one ballot a tuple's status only moves down this list
/// (rejected and slow-pending stand side by side, both before accepted).
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    FastPending,
    Rejected,
    SlowPending,
    Accepted,
    Stable,
}

pub type Preds = BTreeSet<Cid>;

/// What a command must tell the protocol about itself.
pub trait Command: Clone + Debug + PartialEq {
    /// Whether the order of the two matters. Symmetric.
    fn clashes(&self, other: &Self) -> bool;
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
    pub cmd: C,
    pub stamp: Stamp,
    pub pred: Preds,
    pub status: Status,
    pub ballot: Ballot,
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
pub enum Rec<C> {
    Tuple(Cid, Tuple<C>),
    Ballot(Cid, Ballot),
    /// No stamp above this one was used before the next such record.
    Clock(u64),
    /// A new status under the id; its command is the one recorded before.
    Moved(Cid, Tuple<()>),
}

/// A command on offer under a ballot.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Offer<C> {
    pub cid: Cid,
    pub cmd: C,
    pub ballot: Ballot,
    pub stamp: Stamp,
    pub pred: Preds,
}

/// The phase an acceptor replies to.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    Fast,
    Slow,
    Retry,
}

/// An acceptor's reply; `ok` false is the paper's NACK.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Vote {
    pub cid: Cid,
    pub ballot: Ballot,
    pub phase: Phase,
    pub ok: bool,
    pub stamp: Stamp,
    pub pred: Preds,
}

#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub enum Message<C> {
    /// `Offer::pred` holds the whitelist when the flag says there is one.
    FastPropose(Offer<C>, bool),
    SlowPropose(Offer<C>),
    Retry(Offer<C>),
    Stable(Offer<C>),
    Vote(Vote),
    Recover(Cid, Ballot),
    RecoverR(Cid, Ballot, Option<Tuple<C>>),
    /// Count and digest of the sender's stable commands.
    Have(u64, u64),
    /// Send these, as far as they are stable.
    Want(Vec<Cid>),
    /// Which commands are stable there? The time is the sender's own.
    AskStable(Mono),
    /// The answer, with the time of the question.
    StableIds(Mono, Vec<Cid>),
    /// Some of what was wanted.
    Stables(Vec<Offer<C>>),
}

/// What the machine asks of its shell. Order matters: an output may leave only
/// after every `Save` before it has been synced ("sync, then send").
#[derive(Clone, Debug, PartialEq)]
pub enum Out<C> {
    Save(Rec<C>),
    Send(MemberId, Message<C>),
    Deliver(Cid, C),
}

#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub proposed: u64,
    pub fast: u64,
    pub slow: u64,
    pub retried: u64,
    pub recovered: u64,
    pub waited: u64,
    pub nacked: u64,
    pub sent: u64,
}
