//! Messages that transfer the state that an era starts from to a member that lacks it.
use crate::state::Era;
use serde::{Deserialize, Serialize};

/// The most bytes of a snapshot in one message: less than 60 ms of a link of 9 Mbit/s.
pub const SNAPSHOT_CHUNK_BYTES: usize = 64 << 10;

/// Identifies the encoded state that an era starts from. The encoding is the same at all members of
/// the era, so that any of them can continue a transfer that another began.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotId {
    pub era: Era,
    /// Bytes.
    pub size: u64,
    /// Hash of the complete encoding.
    pub digest: u64,
}

/// A snapshot is pulled by its receiver, with one request at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotMessage {
    /// The sender has the snapshot. All timestamps of commands of the era are above `clock`.
    Offer { id: SnapshotId, clock: u64 },
    /// Asks for the piece at this offset, in bytes.
    Request { id: SnapshotId, offset: u64 },
    /// The bytes from this offset on.
    Piece { id: SnapshotId, clock: u64, offset: u64, bytes: Vec<u8> },
}
