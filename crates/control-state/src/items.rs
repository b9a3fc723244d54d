//! The items of the control state. Each is stored under a key and has a version of its own.
use crate::configuration::{CallerLimits, LaneEntry, PurgeBy, Section, ServiceEntry};
use crate::request_id::RequestId;
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
    /// Name of a route: one kind of request.
    Lane
);
name!(
    /// Name of a service: what a set of equivalent origins serves.
    Svc
);
name!(
    /// A zone of a deployment, written `region/zone`.
    Zone
);
name!(
    /// Id of a change, given by an operator or by the node that takes an operator's call. A change
    /// with the same id is a replay.
    ChangeId
);

/// Begins the ids that nodes give to calls.
const CALL_ID_PREFIX: &str = "call ";

impl ChangeId {
    /// The id of a call that a node has taken: whichever controllers it reaches, and however often, they
    /// decide it once.
    pub fn of_call(call: RequestId) -> ChangeId {
        ChangeId(format!("{CALL_ID_PREFIX}{:x} {:x}", call.birth.0, call.n))
    }

    /// Whether a node gave it to a call.
    pub fn is_call(&self) -> bool {
        self.0.starts_with(CALL_ID_PREFIX)
    }
}

impl Zone {
    /// The part before the slash.
    pub fn region(&self) -> &str {
        self.0.split('/').next().unwrap_or("")
    }
}

/// Names an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    Row(Lane, Svc),
    /// By address, so that changes of successive origins at one address are ordered.
    Origin(Addr),
    Node(NodeId),
    /// Cached copies of a service by path prefix; an empty prefix covers all of them.
    Purge(Svc, String),
    /// The ledger sets.
    Roll,
    /// An entry of the configuration, by section and name.
    Entry(Section, String),
    PurgeBy(PurgeBy),
}

/// How requests of a route are handled. If the rows of a route differ, the strictest kind (the last
/// in this list) applies to the whole route.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Content that may be cached: cached copies are shared between callers.
    Read,
    /// Each request goes to an origin.
    Plain,
    /// Each request goes to an origin, and is executed at most once.
    Once,
    /// Requests carry an idempotency key; those with the same key are executed once.
    Keyed,
}

/// One cell of the table of routes by services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Share of the route's requests that goes to this service, relative to its other rows.
    pub weight: u32,
    /// Requests per second to all origins of the service together. Invariant: the lowest ceiling
    /// of a service's rows applies to the service.
    pub ceiling: u32,
    /// Priority; 0 is the highest.
    pub rank: u8,
    pub kind: Kind,
    /// Time-to-live of a cached copy.
    pub ttl: Span,
}

/// Whether an origin or node takes part, or is being drained.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    Serving,
    Leaving,
}

/// A registered origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    pub svc: Svc,
    /// Incarnation of the process; an address alone does not identify an origin.
    pub birth: Birth,
    pub zone: Zone,
    /// Concurrent requests that it accepts, as it reports.
    pub cap: u32,
    /// The name that this incarnation gives itself; empty if it has none.
    pub tag: String,
    pub standing: Standing,
}

#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    Controller,
    Edge,
    Ledger,
}

/// A registered edge or ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredNode", into = "StoredNode")]
pub struct Node {
    pub role: Role,
    /// Address for messages between lanewing's processes.
    pub addr: Addr,
    /// Address for HTTP.
    pub http: Addr,
    pub zone: Zone,
    /// Incarnation of an edge's process, or of a ledger's disk.
    pub birth: Birth,
    pub standing: Standing,
    /// Responses per second that its machine can transfer to other nodes.
    pub capacity: u32,
}

/// Content of an item; its variant matches that of the key.
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

/// A versioned value. Without a body it is a tombstone. Invariant: `ver` increases with each change
/// of the item, also across its deletion, so of two versions the higher is the newer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub ver: Version,
    pub body: Option<Body>,
}

/// The state that an origin reports in its heartbeats.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Mood {
    Warming,
    Serving,
    Leaving,
    /// It ends its registration with this `OriginHeartbeat`.
    Gone,
}

/// One of an origin's heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginHeartbeat {
    pub svc: Svc,
    pub addr: Addr,
    pub birth: Birth,
    pub zone: Zone,
    pub cap: u32,
    /// Number of in-flight requests.
    pub occupancy: u32,
    pub mood: Mood,
    /// Increases from each of an incarnation's heartbeats to the next; 0 if the origin does not count them.
    pub seq: u64,
    /// The name that this incarnation gives itself; empty if it has none.
    pub tag: String,
}

impl Mood {
    /// Whether the origin leaves or has left: this incarnation does not serve again.
    pub fn ends(self) -> bool {
        matches!(self, Mood::Leaving | Mood::Gone)
    }
}

impl OriginHeartbeat {
    /// Whether this one, received at `heard`, replaces the previous one from its address. The later
    /// one counts; but an incarnation that reported that it leaves never serves again, and
    /// among the numbered heartbeats of one incarnation the higher number is the later.
    pub fn replaces(&self, heard: Mono, previous: Option<&(OriginHeartbeat, Mono)>) -> bool {
        let has_ended = |earlier: &OriginHeartbeat| {
            earlier.birth == self.birth && earlier.mood.ends() && !self.mood.ends()
        };
        let is_outdated = |earlier: &OriginHeartbeat| earlier.birth == self.birth && self.seq < earlier.seq;
        previous.is_none_or(|(earlier, at)| heard > *at && !has_ended(earlier) && !is_outdated(earlier))
    }
}

/// A controller as a member of the agreement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub member_id: caesar::MemberId,
    /// Address for messages between lanewing's processes.
    pub addr: Addr,
    /// Address for HTTP.
    pub http: Addr,
    pub zone: Zone,
    /// Incarnation of its disk.
    pub birth: Birth,
}
