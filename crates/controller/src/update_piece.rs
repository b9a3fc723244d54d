//! Batches of changed keys, and the pieces in which a stream sends them.
use caesar::CommandId;
use control_state::*;
use primitives::{Mono, Version};
use std::sync::Arc;

/// Items of at most this many bytes are always sent in full: an announcement is no shorter.
const MAX_INLINE_BYTES: usize = 40;

/// Changed keys under consecutive sequence numbers; the list of keys is shared by all streams.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    /// Sequence number of the first key.
    pub first: u64,
    pub keys: Arc<[Key]>,
    /// The command that changed the keys; `None` for the state that a stream starts with.
    pub cid: Option<CommandId>,
}

impl Batch {
    /// Sequence number of the last key.
    pub fn last(&self) -> u64 {
        self.first + self.keys.len() as u64 - 1
    }

    /// Keys with sequence numbers greater than `after`.
    pub fn above(&self, after: u64) -> &[Key] {
        let skipped = (after + 1).saturating_sub(self.first) as usize;
        self.keys.get(skipped..).unwrap_or_default()
    }
}

/// Updates that are sent in one message.
#[derive(Clone, Debug, PartialEq)]
pub struct Piece {
    /// The piece covers the sequence numbers `from + 1 ..= to`.
    pub from: u64,
    /// The last sequence number that it covers.
    pub to: u64,
    /// This is the first piece of a stream.
    pub starts: bool,
    /// Changed keys with their current items.
    pub items: Vec<(Key, Item)>,
    /// Changed keys of larger items, with the current version only.
    pub announced: Vec<(Key, Version)>,
}

impl Piece {
    /// Replaces each item by its version, except items that are no longer than an announcement.
    pub(crate) fn announce(self) -> Piece {
        let (items, larger): (Vec<_>, Vec<_>) =
            self.items.into_iter().partition(|(_, item)| item.size() <= MAX_INLINE_BYTES);
        let announced = larger.into_iter().map(|(key, item)| (key, item.ver)).collect();
        Piece { items, announced, ..self }
    }
}

/// A piece that was sent and is not acknowledged yet.
#[derive(Copy, Clone, Debug)]
pub(crate) struct InFlightPiece {
    /// The last sequence number that it covers.
    pub to: u64,
    /// Its size as counted against the window.
    pub bytes: usize,
    pub sent: Mono,
}
