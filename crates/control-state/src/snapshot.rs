//! Messages that hand the state an era starts from to a member that lacks it.
use crate::state::Era;
use serde::{Deserialize, Serialize};

/// The largest part of a snapshot in one message: under 60 ms of a link of 9 Mbit/s.
pub const SNAPSHOT_CHUNK_BYTES: usize = 64 << 10;

/// Names the encoded state that an era starts from. Members of one era encode the same,
/// so that any of them can go on where another one stopped.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotId {
    pub era: Era,
    pub size: u64,
    /// Over the whole.
    pub digest: u64,
}

/// A snapshot is pulled: its receiver has one request under way at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotMessage {
    /// The sender has it. Stamps of the era are above `clock`.
    Offer {
        id: SnapshotId,
        clock: u64,
    },
    Request {
        id: SnapshotId,
        offset: u64,
    },
    Piece {
        id: SnapshotId,
        clock: u64,
        offset: u64,
        bytes: Vec<u8>,
    },
}
