//! Records that a controller writes to its log ring.
use caesar::LogRecord;
use control_state::{Cmd, ControlState, Era};
use primitives::Birth;
use serde::{Deserialize, Serialize};

/// One record of a controller's log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Kept {
    /// The incarnation of this disk, which is not a member of any era yet.
    Unjoined(Birth),
    /// The state from which an era starts. Invariant: with the `Agreement` records of the same era
    /// that follow, it holds everything this disk ever promised.
    Base(Birth, Box<ControlState>),
    /// A promise or decision of the agreement protocol in that era.
    Agreement(Era, LogRecord<Cmd>),
    /// All records of an era so far, compacted.
    Whole(Birth, Box<ControlState>, Vec<LogRecord<Cmd>>),
    /// This disk was initialised at the first start of the deployment.
    First,
}

impl Kept {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data always encodes")
    }
    /// Decodes a record; `None` if the bytes are not a valid one.
    pub fn decode(bytes: &[u8]) -> Option<Kept> {
        postcard::from_bytes(bytes).ok()
    }
}
