//! What a controller writes to its ring.
use caesar::LogRecord;
use control_state::{Cmd, ControlState, Era};
use primitives::Birth;
use serde::{Deserialize, Serialize};

/// One record of a controller's log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Kept {
    /// This disk's life; none of an agreement yet.
    Unjoined(Birth),
    /// The state an era starts from. Invariant: together with the `Agreement` records
    /// of the same era after it, all that this disk ever promised.
    Base(Birth, Box<ControlState>),
    /// A promise or decision of the agreement, in that era.
    Agreement(Era, LogRecord<Cmd>),
    /// All of an era so far, in short.
    Whole(Birth, Box<ControlState>, Vec<LogRecord<Cmd>>),
    /// This disk began with the deployment itself.
    First,
}

impl Kept {
    /// The bytes of the record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data always encodes")
    }
    /// The record of these bytes, if they are one.
    pub fn decode(b: &[u8]) -> Option<Kept> {
        postcard::from_bytes(b).ok()
    }
}
