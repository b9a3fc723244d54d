//! Messages between controllers and their subscribers: subscription requests and updates.
use crate::items::*;
use crate::state::Era;
use caesar::MemberId;
use primitives::{Epoch, Mono, NodeId, Span, Version};
use serde::{Deserialize, Serialize};

/// A subscription request: a subscriber sends it to each controller that it knows, several times a
/// second. It renews the subscription and asks for a renewal of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sub {
    pub id: NodeId,
    pub node: Node,
    /// The era whose membership it uses.
    pub era: Era,
    /// Id of the update stream that it follows.
    pub feed: u64,
    /// The last number of the stream up to which it holds everything.
    pub got: u64,
    /// When it sent this, by its own clock; repeated in the reply.
    pub ask: Mono,
    /// The incarnation of its process; repeated in the reply.
    pub life: u64,
    /// `at` of the last reply from this controller.
    pub heard: Mono,
    /// Whether this controller is to send complete items, and heartbeats. The others only announce
    /// larger items.
    pub source: bool,
    /// Requests that it would send beyond its own share of the ceiling, by service.
    pub wants: Vec<(Svc, u32)>,
    /// The highest epoch of a leader that has replied to it.
    pub epoch: Epoch,
}

/// A numbered update from a controller to one subscriber, or its reply to a `Sub`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Id of the update stream.
    pub feed: u64,
    /// Contains the changes numbered `from + 1 ..= to`.
    pub from: u64,
    pub to: u64,
    /// Starts the stream, with the complete state.
    pub full: bool,
    pub items: Vec<(Key, Item)>,
    /// Larger items, by their versions: another controller sends them in full.
    pub announced: Vec<(Key, Version)>,
    pub era: Era,
    /// The members of that era; empty if the subscriber uses that era already.
    pub members: Vec<Member>,
    pub reply: Option<Reply>,
}

/// The reply to a `Sub`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// `ask` of the request.
    pub ask: Mono,
    /// `life` of the request.
    pub life: u64,
    pub member_id: MemberId,
    /// Whether the lease is renewed, from `ask` on.
    pub lent: bool,
    /// When it was sent, by the controller's clock, if it contains heartbeats; repeated in the next
    /// request.
    pub at: Option<Mono>,
    /// Heartbeats of origins, with their ages, received since the reply that the request named.
    pub beats: Vec<(OriginHeartbeat, Span)>,
    /// Borrowed tokens: requests granted beyond its own share, by service.
    pub slices: Vec<(Svc, u32)>,
    /// The epoch in which the controller leads; 0 if it does not lead.
    pub epoch: Epoch,
}
