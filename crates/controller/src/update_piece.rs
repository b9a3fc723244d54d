//! What update streams are made of.
use caesar::CommandId;
use control_state::*;
use primitives::{Mono, Version};
use std::sync::Arc;

/// Items up to this size are not announced.
const SHORT: usize = 40;

/// Changed keys under consecutive numbers, shared by all streams.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    pub first: u64,
    pub keys: Arc<[Key]>,
    /// The command that changed them; none for the state that a stream starts with.
    pub cid: Option<CommandId>,
}

impl Batch {
    pub fn last(&self) -> u64 {
        self.first + self.keys.len() as u64 - 1
    }

    /// Keys numbered above `after`.
    pub fn above(&self, after: u64) -> &[Key] {
        let skipped = (after + 1).saturating_sub(self.first) as usize;
        self.keys.get(skipped..).unwrap_or_default()
    }
}

/// Updates that travel together.
#[derive(Clone, Debug, PartialEq)]
pub struct Piece {
    /// The numbers `from + 1 ..= to`.
    pub from: u64,
    /// The last number that it holds.
    pub to: u64,
    /// The stream starts with it.
    pub starts: bool,
    /// Each key with what it stands for now.
    pub items: Vec<(Key, Item)>,
    /// The same of larger items, only by their versions.
    pub announced: Vec<(Key, Version)>,
}

impl Piece {
    /// The same, with items by their versions only, but for those that are as short themselves.
    pub(crate) fn announce(self) -> Piece {
        let (items, larger): (Vec<_>, Vec<_>) =
            self.items.into_iter().partition(|(_, it)| it.size() <= SHORT);
        let announced = larger.into_iter().map(|(key, item)| (key, item.ver)).collect();
        Piece { items, announced, ..self }
    }
}

/// A piece that was sent.
#[derive(Copy, Clone, Debug)]
pub(crate) struct InFlightPiece {
    pub to: u64,
    pub bytes: usize,
    pub sent: Mono,
}
