//! Calls that a node passes on to a controller, and what comes back.
use crate::command::Change;
use crate::digest::ItemsDigest;
use crate::items::OriginHeartbeat;
use crate::part::NodeReply;
use crate::state::ControlState;
use crate::verdict::Verdict;
use primitives::Span;
use serde::{Deserialize, Serialize};

/// What any node may be asked of the control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    Change(Change),
    OriginHeartbeat(OriginHeartbeat),
    SignOff(String),
    /// The whole state, unless it is what the asker holds.
    Read(ItemsDigest),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallAnswer {
    Change(Verdict),
    Acknowledged,
    Unavailable(String),
    Table(Box<ControlState>, Vec<(OriginHeartbeat, Span)>),
    Unchanged,
}

impl CallAnswer {
    pub fn of(r: NodeReply) -> CallAnswer {
        match r {
            NodeReply::Change(v) => CallAnswer::Change(v),
            NodeReply::Table(p, b) => CallAnswer::Table(p, b),
            NodeReply::Unchanged => CallAnswer::Unchanged,
            NodeReply::Unavailable(why) => CallAnswer::Unavailable(why.to_string()),
            _ => CallAnswer::Acknowledged,
        }
    }
    pub fn receipt(self) -> NodeReply {
        match self {
            CallAnswer::Change(v) => NodeReply::Change(v),
            CallAnswer::Table(p, b) => NodeReply::Table(p, b),
            CallAnswer::Unchanged => NodeReply::Unchanged,
            CallAnswer::Unavailable(_) => NodeReply::Unavailable("a controller cannot answer now"),
            CallAnswer::Acknowledged => NodeReply::Acknowledged,
        }
    }
}
