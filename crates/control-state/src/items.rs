//! The things the control state holds. Each is an item under a key, with its
//! own version.
use crate::configuration::{CallerLimits, LaneEntry, PurgeBy, Section, ServiceEntry};
use crate::stored_node::StoredNode;
use primitives::{Addr, Birth, Mono, NodeId, Span, Version};
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub String);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl From<&str> for $name {
            fn from(s: &str) -> $name {
                $name(s.to_string())
            }
        }
    };
}

name!(
    /// A lane: one kind of request.
    Lane
);
name!(
    /// A service: what a set of like origins serves.
    Svc
);
name!(
    /// A zone of a deployment, written `region/zone`.
    Zone
);
name!(
    /// An operator's id for one change; the same id is the same change.
    ChangeId
);

impl Zone {
    pub fn region(&self) -> &str {
        self.0.split('/').next().unwrap_or("")
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    Row(Lane, Svc),
    /// By address: whoever takes an address over follows its last holder in order.
    Origin(Addr),
    Node(NodeId),
    Purge(Svc, String),
    /// Which ledgers keep the ledger of keys.
    Roll,
    /// One entry of the operator's configuration.
    Entry(Section, String),
    PurgeBy(PurgeBy),
}

/// What requests of a lane are. Where rows of one lane differ, the strictest
/// (last in this list) holds for the whole lane.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Readable content: copies are shared.
    Read,
    /// Asked of the origin each time.
    Plain,
    /// Asked of the origin, and run at most once.
    Once,
    /// Carries a key and runs once.
    Keyed,
}

/// One cell of the table of lanes x services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub weight: u32,
    /// Requests a second that all origins of the service together may get.
    /// Invariant: the lowest of a service's rows holds for the service.
    pub ceiling: u32,
    /// Urgency; 0 goes first.
    pub rank: u8,
    pub kind: Kind,
    /// How long a copy lives.
    pub ttl: Span,
}

#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    Serving,
    Leaving,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    pub svc: Svc,
    /// Which life of which process; an address alone is not an identity.
    pub birth: Birth,
    pub zone: Zone,
    /// How many requests at once it says it holds.
    pub cap: u32,
    /// What it calls its life itself, if it does.
    pub tag: String,
    pub standing: Standing,
}

#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    Controller,
    Edge,
    Ledger,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredNode", into = "StoredNode")]
pub struct Node {
    pub role: Role,
    pub addr: Addr,
    pub http: Addr,
    pub zone: Zone,
    /// An edge's life, or the life of a ledger's disk.
    pub birth: Birth,
    pub standing: Standing,
    /// Answers a second that it can hand to other nodes, as far as its machine goes.
    pub capacity: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    Row(Row),
    Origin(Origin),
    Node(Node),
    Purge,
    Roll(crate::roll::Roll),
    Lane(LaneEntry),
    Service(ServiceEntry),
    Limits(CallerLimits),
}

/// Invariant: `ver` grows by one with each change of the item, also across its
/// deletion (`body` none is the tombstone), so the larger is always the newer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub ver: Version,
    pub body: Option<Body>,
}

/// What an origin says of itself in a beat.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Mood {
    Warming,
    Serving,
    Leaving,
    /// The sign-off.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginHeartbeat {
    pub svc: Svc,
    pub addr: Addr,
    pub birth: Birth,
    pub zone: Zone,
    pub cap: u32,
    /// Requests in hand.
    pub occupancy: u32,
    pub mood: Mood,
    /// Grows with every word of one life; nought where its origin does not count.
    pub seq: u64,
    /// What its origin calls its life itself, if it does.
    pub tag: String,
}

impl Mood {
    /// A last word or the one before: this life does not serve again.
    pub fn ends(self) -> bool {
        matches!(self, Mood::Leaving | Mood::Gone)
    }
}

impl OriginHeartbeat {
    /// Whether this one, heard then, takes the place of what was heard before at its
    /// address: the later word counts, but a life that said it leaves never serves again,
    /// and of one life's counted words the higher is the later.
    pub fn replaces(&self, heard: Mono, was: Option<&(OriginHeartbeat, Mono)>) -> bool {
        let over = |w: &OriginHeartbeat| w.birth == self.birth && w.mood.ends() && !self.mood.ends();
        let late = |w: &OriginHeartbeat| w.birth == self.birth && self.seq < w.seq;
        was.is_none_or(|(w, t)| heard > *t && !over(w) && !late(w))
    }
}

/// A controller as a member of the agreement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub member_id: caesar::MemberId,
    pub addr: Addr,
    pub http: Addr,
    pub zone: Zone,
    pub birth: Birth,
}
