//! Calls that a node forwards to a controller, and their answers.
use crate::command::Change;
use crate::digest::ItemsDigest;
use crate::items::OriginHeartbeat;
use crate::part::NodeReply;
use crate::state::ControlState;
use crate::verdict::Verdict;
use primitives::Span;
use serde::{Deserialize, Serialize};

/// A call that concerns the control state; any node accepts it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    Change(Change),
    OriginHeartbeat(OriginHeartbeat),
    /// Deregisters the origin that gives itself this name.
    SignOff(String),
    /// Asks for the complete state, unless its digest is this one.
    Read(ItemsDigest),
}

/// The answer to a forwarded call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallAnswer {
    Change(Verdict),
    Acknowledged,
    /// The controller cannot answer now, with its reason.
    Unavailable(String),
    /// The complete state, and the heartbeats of origins with their ages.
    Table(Box<ControlState>, Vec<(OriginHeartbeat, Span)>),
    /// The digest of the state is that of the request.
    Unchanged,
}

impl CallAnswer {
    /// The form in which a controller sends a reply. Replies that are no results of a forwarded call
    /// become `Acknowledged`.
    pub fn of(reply: NodeReply) -> CallAnswer {
        match reply {
            NodeReply::Change(verdict) => CallAnswer::Change(verdict),
            NodeReply::Table(state, heartbeats) => CallAnswer::Table(state, heartbeats),
            NodeReply::Unchanged => CallAnswer::Unchanged,
            NodeReply::Unavailable(reason) => CallAnswer::Unavailable(reason.to_string()),
            _ => CallAnswer::Acknowledged,
        }
    }

    /// The reply that the forwarding node gives to its caller.
    pub fn receipt(self) -> NodeReply {
        match self {
            CallAnswer::Change(verdict) => NodeReply::Change(verdict),
            CallAnswer::Table(state, heartbeats) => NodeReply::Table(state, heartbeats),
            CallAnswer::Unchanged => NodeReply::Unchanged,
            CallAnswer::Unavailable(_) => NodeReply::Unavailable("a controller cannot answer now"),
            CallAnswer::Acknowledged => NodeReply::Acknowledged,
        }
    }
}
