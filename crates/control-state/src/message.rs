//! Every message between lanewing's own processes.
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
use crate::whole::Whole;
use caesar::{CommandId, MemberId, Message};
use primitives::{Birth, Epoch, Mono, NodeId, Span, Version};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

/// What a subscriber says to each controller it knows, several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sub {
    pub id: NodeId,
    pub node: Node,
    /// The era whose roster it goes by.
    pub era: Era,
    /// The feed it follows and the last number it holds of it.
    pub feed: u64,
    pub got: u64,
    /// When it asked, by its own clock; comes back in the reply.
    pub ask: Mono,
    /// Which life of its process asked; comes back with `ask`.
    pub life: u64,
    /// The `at` of the last reply that came from this controller.
    pub heard: Mono,
    /// It is to send items whole, and heartbeats; of the others announcements will do.
    pub source: bool,
    /// Requests it would let out beyond its share, by service.
    pub wants: Vec<(Svc, u32)>,
    pub epoch: Epoch,
}

/// A controller's numbered news to one subscriber, or its reply to a `Sub`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    pub feed: u64,
    /// Holds the changes `from + 1 ..= to`.
    pub from: u64,
    pub to: u64,
    /// Starts the feed anew with all there is.
    pub full: bool,
    pub items: Vec<(Key, Item)>,
    /// Larger items, by their versions: another controller sends them whole.
    pub announced: Vec<(Key, Version)>,
    pub era: Era,
    /// The members of that era; none if the subscriber goes by it already.
    pub members: Vec<Member>,
    pub reply: Option<Reply>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    pub ask: Mono,
    pub life: u64,
    pub member_id: MemberId,
    /// The setup lease is renewed from `ask` on.
    pub lent: bool,
    /// When it was made, by the controller's clock, if it tells heartbeats; comes back with the
    /// next asking.
    pub at: Option<Mono>,
    /// Origins' heartbeats that came since the reply named in the asking, and their ages.
    pub beats: Vec<(OriginHeartbeat, Span)>,
    pub slices: Vec<(Svc, u32)>,
    pub epoch: Epoch,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Msg {
    // between controllers
    Agreement(Era, MemberId, Box<Message<Cmd>>),
    /// A controller without a roster shows itself.
    Unjoined(Member),
    /// A piece of a snapshot, or about one.
    Snapshot(Box<SnapshotMessage>),
    /// The sender's own era is behind, or it has no seat.
    WantSnapshot(Era, Birth),
    /// The disk of this birth has synced the snapshot of this era, and has no seat in it.
    #[strum(serialize = "learned")]
    SnapshotStored(Era, Birth),
    /// The member is about to stop.
    Leaving(MemberId),
    /// Who has a seat, for processes that have none to pass on.
    #[strum(serialize = "roster")]
    Membership(Era, Vec<Member>),
    /// The one blank controller that is to found the deployment.
    Found(Birth),
    /// A node passes on what it was asked, under a number of its own.
    Call(RequestId, Box<Call>),
    CallAnswered(RequestId, Box<CallAnswer>),
    /// Beats and their ages, as of a moment after the receiver's own one given last:
    /// the sender's clock now, and the receiver's as it was last heard.
    #[strum(serialize = "beats")]
    Heartbeats(Vec<(OriginHeartbeat, Span)>, Mono, Option<Mono>),
    #[strum(serialize = "ask_force")]
    InForceQuery(Era, CommandId),
    InForce(Era, CommandId, MemberId),
    /// The sender has applied it from a synced decision.
    Applied(Era, CommandId, MemberId),
    #[strum(serialize = "ask_applied")]
    AppliedQuery(Era, CommandId),
    /// By the era that followed a roster: members of it that are past it, see `controller`.
    Landed(Vec<(Era, MemberId)>),
    /// To itself: what was saved before this was sent, at that time, is synced.
    Synced(Mono),
    /// The sender's disk takes too long to lead.
    SlowDisk(MemberId),
    /// A member asks for the leadership, at a moment of its own clock.
    #[strum(serialize = "ask_leadership")]
    LeadershipRequest {
        candidate: MemberId,
        epoch: Epoch,
        asked: Mono,
    },
    /// The highest epoch heard of, and if granted, when it was asked for.
    LeadershipVote {
        voter: MemberId,
        epoch: Epoch,
        granted: Option<Mono>,
    },
    // subscribers and controllers
    Sub(Box<Sub>),
    Update(Box<Update>),
    /// A subscriber holds this feed up to this number.
    Got {
        id: NodeId,
        feed: u64,
        got: u64,
    },
    // between edges
    #[strum(serialize = "copy_ask")]
    CopyQuery {
        ask: RequestId,
        object: Object,
        /// As the first caller sent them, less what is its own.
        heads: Headers,
        /// For whom the asked one is to have a copy.
        reach: Reach,
        /// The `ETag` of a lapsed copy that the asker still holds.
        held: Option<String>,
        patience: Patience,
    },
    /// The home edge is at it.
    #[strum(serialize = "copy_wait")]
    CopyPending(RequestId),
    #[strum(serialize = "copy_got")]
    CopyResult {
        ask: RequestId,
        said: CopyReply,
        /// Of all purges that the sender knows, see `purge_digest`.
        purges: u64,
    },
    // edges and ledgers
    #[strum(serialize = "stock_offer")]
    DiskCacheOffer(RequestId),
    #[strum(serialize = "stock_want")]
    DiskCacheWant {
        ask: RequestId,
        at: Mono,
    },
    #[strum(serialize = "stock_put")]
    DiskCachePut(Mono, Box<DiskCachePut>),
    Claim {
        key: String,
        print: Fingerprint,
        round: RoundId,
        /// The version of the roll by which the key's ledgers were named.
        roll: Version,
    },
    Claimed {
        key: String,
        round: RoundId,
        said: Claimed,
    },
    /// The round will never be sent: the key is free again.
    Release {
        key: String,
        round: RoundId,
    },
    Outcome {
        key: String,
        print: Fingerprint,
        round: RoundId,
        whole: Whole,
    },
    Kept {
        key: String,
        round: RoundId,
    },
    /// Repair between ledgers: digests over ranges, then what differs.
    Digests(Vec<u64>),
    Ranges(Vec<(u16, Vec<Held>)>),
    /// A ledger asks a seat for all it holds of the asker's keys, by this version of
    /// the roll.
    Recall {
        ask: u64,
        roll: Version,
        purpose: RecallPurpose,
    },
    /// One part of the answer, of so many. Invariant: sent only by a seat that may
    /// grant, and all parts of one asking are as of one moment.
    Recalled {
        ask: u64,
        part: u32,
        of: u32,
        held: Vec<Held>,
    },
    /// A controller to a ledger of the newer set: this version of the roll is in force.
    Fill {
        roll: Version,
    },
    /// The ledger holds, on disk, what the older set granted.
    Filled {
        id: NodeId,
        roll: Version,
    },
    /// A leaving ledger passes on what it holds of the receiver's keys.
    HandOver {
        ask: u64,
        held: Vec<Held>,
    },
    /// The receiver holds all of that, on disk.
    HandedOver {
        ask: u64,
    },
}

impl Msg {
    /// Its sort, as figures name it.
    pub fn kind(&self) -> &'static str {
        self.into()
    }

    pub fn agreement(era: Era, member_id: MemberId, w: Message<Cmd>) -> Msg {
        Msg::Agreement(era, member_id, Box::new(w))
    }
}
