//! Calls that a node passes on to a controller, and what comes back.
use crate::cmd::Change;
use crate::digest::ItemsDigest;
use crate::items::Beat;
use crate::part::Receipt;
use crate::state::{ControlState, Verdict};
use primitives::Span;
use serde::{Deserialize, Serialize};

/// What any node may be asked of the control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    Change(Change),
    Beat(Beat),
    SignOff(String),
    /// The whole state, unless it is what the asker holds.
    Read(ItemsDigest),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallAnswer {
    Change(Verdict),
    Took,
    NotNow(String),
    Table(Box<ControlState>, Vec<(Beat, Span)>),
    Unchanged,
}

impl CallAnswer {
    pub fn of(r: Receipt) -> CallAnswer {
        match r {
            Receipt::Change(v) => CallAnswer::Change(v),
            Receipt::Table(p, b) => CallAnswer::Table(p, b),
            Receipt::Unchanged => CallAnswer::Unchanged,
            Receipt::NotNow(why) => CallAnswer::NotNow(why.to_string()),
            _ => CallAnswer::Took,
        }
    }
    pub fn receipt(self) -> Receipt {
        match self {
            CallAnswer::Change(v) => Receipt::Change(v),
            CallAnswer::Table(p, b) => Receipt::Table(p, b),
            CallAnswer::Unchanged => Receipt::Unchanged,
            CallAnswer::NotNow(_) => Receipt::NotNow("a controller cannot answer now"),
            CallAnswer::Took => Receipt::Took,
        }
    }
}
