//! How far a follower holds the updates of each controller, piece by piece.
//!
//! One controller sends items whole; the others announce larger ones by their versions. So a
//! piece counts once all that it announces is held, whoever sent it.
use crate::items::{Item, Key};
use crate::subscription::Update;
use primitives::{Addr, Version};
use std::collections::BTreeMap;

/// Pieces of one controller that may wait for items; it sends them again if they are dropped.
const MAX_WAITING_PIECES: usize = 256;

/// Numbers that a piece stands for, and what it announces that may not be held yet.
#[derive(Clone, Debug)]
struct Piece {
    feed: u64,
    from: u64,
    to: u64,
    starts: bool,
    /// It says something, so that its sender waits for an acknowledgement.
    acknowledged: bool,
    announced: Vec<(Key, Version)>,
}

impl Piece {
    fn of(update: &Update) -> Piece {
        Piece {
            feed: update.feed,
            from: update.from,
            to: update.to,
            starts: update.full,
            acknowledged: !update.items.is_empty() || !update.announced.is_empty(),
            announced: update.announced.clone(),
        }
    }

    fn is_held(&self, items: &BTreeMap<Key, Item>) -> bool {
        let held = |(key, version): &(Key, Version)| items.get(key).is_some_and(|it| it.ver >= *version);
        self.announced.iter().all(held)
    }
}

/// What is held of one controller's updates.
#[derive(Clone, Debug, Default)]
struct Feed {
    id: u64,
    /// The last number held without a gap.
    got: u64,
    waiting: Vec<Piece>,
}

impl Feed {
    fn follows(&self, piece: &Piece) -> bool {
        piece.starts || (piece.feed == self.id && piece.from <= self.got)
    }

    /// The next piece that counts now, if there is one.
    fn next(&mut self, items: &BTreeMap<Key, Item>) -> Option<Piece> {
        let at = self.waiting.iter().position(|p| self.follows(p) && p.is_held(items))?;
        let piece = self.waiting.remove(at);
        self.got = if piece.feed == self.id { piece.to.max(self.got) } else { piece.to };
        self.id = piece.feed;
        let (id, got) = (self.id, self.got);
        self.waiting.retain(|p| p.starts || (p.feed == id && p.to > got));
        Some(piece)
    }
}

/// An acknowledgement that is due.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct Held {
    pub by: Addr,
    pub feed: u64,
    pub got: u64,
}

/// What is held of each controller's updates.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateStreams {
    by_controller: BTreeMap<Addr, Feed>,
}

impl UpdateStreams {
    /// A controller's feed, and the last number held of it without a gap.
    pub(crate) fn position(&self, of: &Addr) -> (u64, u64) {
        self.by_controller.get(of).map_or((0, 0), |f| (f.id, f.got))
    }

    /// Whether something was announced that is not held.
    pub(crate) fn has_missing_items(&self) -> bool {
        self.by_controller.values().flat_map(|feed| &feed.waiting).any(|p| !p.announced.is_empty())
    }

    /// An update came, and its items were taken in.
    pub(crate) fn take(&mut self, from: Addr, update: &Update) {
        let feed = self.by_controller.entry(from).or_default();
        if feed.waiting.len() == MAX_WAITING_PIECES {
            feed.waiting.remove(0);
        }
        feed.waiting.push(Piece::of(update));
    }

    /// What can be acknowledged with these items.
    pub(crate) fn settle(&mut self, items: &BTreeMap<Key, Item>) -> Vec<Held> {
        let mut due = vec![];
        for (by, feed) in &mut self.by_controller {
            let mut said = false;
            while let Some(piece) = feed.next(items) {
                said |= piece.acknowledged;
            }
            // Out of order, or of a feed that is over.
            feed.waiting.retain(|p| !p.announced.is_empty());
            if said {
                due.push(Held { by: *by, feed: feed.id, got: feed.got });
            }
        }
        due
    }
}
