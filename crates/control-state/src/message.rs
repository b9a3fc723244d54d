//! The messages between lanewing's processes. They are encoded by position: the order of variants and
//! fields must not change.
use crate::cache_messages::{CopyReply, DiskCachePut, Patience, Reach};
use crate::call::{Call, CallAnswer};
use crate::command::Cmd;
use crate::headers::{Fingerprint, Headers};
use crate::items::*;
use crate::object::Object;
use crate::request_id::RequestId;
use crate::rounds::*;
use crate::snapshot::SnapshotMessage;
use crate::state::Era;
use crate::subscription::{Sub, Update};
use crate::whole::Whole;
use caesar::{CommandId, MemberId, Message};
use primitives::{Birth, Epoch, Mono, NodeId, Span, Version};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

/// A message. The names of the variants in snake case, or those given by `serialize`, are labels of
/// metrics.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Msg {
    // Between controllers.
    /// A message of the agreement of this era, from this member.
    Agreement(Era, MemberId, Box<Message<Cmd>>),
    /// An unjoined controller announces itself.
    Unjoined(Member),
    /// Transfer of a snapshot.
    Snapshot(Box<SnapshotMessage>),
    /// Asks for a snapshot: the sender is in this earlier era, or is not a member. The second field
    /// is the incarnation of its disk.
    WantSnapshot(Era, Birth),
    /// The disk of this incarnation has synced the snapshot of this era, and is not a member in it.
    #[strum(serialize = "learned")]
    SnapshotStored(Era, Birth),
    /// The member is about to stop.
    Leaving(MemberId),
    /// The members of this era, for processes that are not members themselves.
    #[strum(serialize = "roster")]
    Membership(Era, Vec<Member>),
    /// Names the one unjoined controller that is to found the deployment, by its disk.
    Found(Birth),
    /// A node forwards a call, under an id of its own.
    Call(RequestId, Box<Call>),
    /// The answer to the call with this id.
    CallAnswered(RequestId, Box<CallAnswer>),
    /// Heartbeats with their ages, then the sender's clock now, and the receiver's clock as last
    /// received from it. The ages are as of a moment after the latter.
    #[strum(serialize = "beats")]
    Heartbeats(Vec<(OriginHeartbeat, Span)>, Mono, Option<Mono>),
    /// Asks whether this command is in force.
    #[strum(serialize = "ask_force")]
    InForceQuery(Era, CommandId),
    /// The command is in force as far as this member is concerned: none of its subscribers lacks it.
    InForce(Era, CommandId, MemberId),
    /// This member has applied the command from a decision that is synced to its disk.
    Applied(Era, CommandId, MemberId),
    /// Asks whether the receiver has applied this command.
    #[strum(serialize = "ask_applied")]
    AppliedQuery(Era, CommandId),
    /// Members of an earlier membership that are past it, each with the era that followed that
    /// membership; see crate `controller`.
    Landed(Vec<(Era, MemberId)>),
    /// To itself: everything that was saved before this time is synced to disk.
    Synced(Mono),
    /// The disk of this member is too slow for it to lead.
    SlowDisk(MemberId),
    /// A member requests the leadership, at time `asked` of its own clock.
    #[strum(serialize = "ask_leadership")]
    LeadershipRequest { candidate: MemberId, epoch: Epoch, asked: Mono },
    /// The highest epoch that the voter knows; if granted, `asked` of the request.
    LeadershipVote { voter: MemberId, epoch: Epoch, granted: Option<Mono> },
    // Between subscribers and controllers.
    /// From a subscriber.
    Sub(Box<Sub>),
    /// From a controller.
    Update(Box<Update>),
    /// Acknowledgement: the subscriber holds this update stream up to the number `got`.
    Got { id: NodeId, feed: u64, got: u64 },
    // Between edges.
    /// Asks for a cached copy of an object.
    #[strum(serialize = "copy_ask")]
    CopyQuery {
        ask: RequestId,
        object: Object,
        /// The header fields of the first caller, without those that concern only that caller.
        heads: Headers,
        /// For which edges the receiver is to hold a copy.
        reach: Reach,
        /// The `ETag` of an expired copy that the sender still holds.
        held: Option<String>,
        /// How much longer the callers behind the query wait.
        patience: Patience,
    },
    /// The home edge is working on the query.
    #[strum(serialize = "copy_wait")]
    CopyPending(RequestId),
    /// The answer to a `CopyQuery`.
    #[strum(serialize = "copy_got")]
    CopyResult {
        ask: RequestId,
        said: CopyReply,
        /// Digest of all purges that the sender knows; see `purge_digest`.
        purges: u64,
    },
    // Between edges and ledgers, and between ledgers.
    /// An edge offers a copy for the disk cache.
    #[strum(serialize = "stock_offer")]
    DiskCacheOffer(RequestId),
    /// The ledger accepts the offer, at time `at` of its own clock.
    #[strum(serialize = "stock_want")]
    DiskCacheWant { ask: RequestId, at: Mono },
    /// The copy that was offered, with `at` of the acceptance.
    #[strum(serialize = "stock_put")]
    DiskCachePut(Mono, Box<DiskCachePut>),
    /// An edge asks a ledger to grant the key to an attempt.
    Claim {
        key: String,
        print: Fingerprint,
        round: RoundId,
        /// The version of the ledger sets by which the key's ledgers were chosen.
        roll: Version,
    },
    /// The answer of a ledger to a claim.
    Claimed { key: String, round: RoundId, said: Claimed },
    /// The attempt will never be sent to an origin: the key is free again.
    Release { key: String, round: RoundId },
    /// The outcome of an attempt, to be stored.
    Outcome { key: String, print: Fingerprint, round: RoundId, whole: Whole },
    /// The ledger has stored the outcome.
    Kept { key: String, round: RoundId },
    /// Repair between ledgers: digests of the sender's records, one for each range of keys.
    Digests(Vec<u64>),
    /// The answer: the numbers of the ranges whose digests differ, with their records.
    Ranges(Vec<(u16, Vec<Held>)>),
    /// A ledger asks another for a page of what it holds of the sender's keys, by this version of
    /// the ledger sets: the keys after `after`, in order; `None` asks for the first page.
    Recall { ask: u64, roll: Version, purpose: RecallPurpose, after: Option<String> },
    /// One page, and the key after which the next one begins; `None` if it is the last one.
    /// Invariant: sent only by a ledger that may grant.
    Recalled { ask: u64, held: Vec<Held>, next: Option<String> },
    /// To a ledger of the newer set: this version of the ledger sets is in force.
    Fill { roll: Version },
    /// This ledger holds, on disk, what the older set granted.
    Filled { id: NodeId, roll: Version },
    /// A leaving ledger hands over what it holds of the receiver's keys.
    HandOver { ask: u64, held: Vec<Held> },
    /// All that was handed over is on disk.
    HandedOver { ask: u64 },
}

impl Msg {
    /// The name of the variant as a label of metrics.
    pub fn kind(&self) -> &'static str {
        self.into()
    }

    /// Wraps a message of the agreement.
    pub fn agreement(era: Era, member_id: MemberId, message: Message<Cmd>) -> Msg {
        Msg::Agreement(era, member_id, Box::new(message))
    }
}
