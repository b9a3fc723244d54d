//! Tracks up to which update a follower holds the update stream of each controller.
//!
//! One controller sends complete items; the others announce larger items by their versions. So an
//! update is complete once all items that it announces are held, whichever controller sent them.
use crate::items::{Item, Key};
use crate::subscription::Update;
use primitives::{Addr, Version};
use std::collections::BTreeMap;

/// Updates of one controller that may wait for items; updates that are dropped are sent again.
const MAX_WAITING_UPDATES: usize = 256;

/// An update by its numbers, and the items it announces, which may not be held yet.
#[derive(Clone, Debug)]
struct PendingUpdate {
    feed: u64,
    from: u64,
    to: u64,
    /// It starts the stream, with the complete state.
    starts: bool,
    /// It contains or announces items, so its sender waits for an acknowledgement.
    needs_acknowledgement: bool,
    announced: Vec<(Key, Version)>,
}

impl PendingUpdate {
    fn of(update: &Update) -> PendingUpdate {
        PendingUpdate {
            feed: update.feed,
            from: update.from,
            to: update.to,
            starts: update.full,
            needs_acknowledgement: !update.items.is_empty() || !update.announced.is_empty(),
            announced: update.announced.clone(),
        }
    }

    fn is_held(&self, items: &BTreeMap<Key, Item>) -> bool {
        let held = |(key, version): &(Key, Version)| items.get(key).is_some_and(|item| item.ver >= *version);
        self.announced.iter().all(held)
    }
}

/// Position in the update stream of one controller.
#[derive(Clone, Debug, Default)]
struct Stream {
    /// Id of the stream, as in `Update::feed`.
    id: u64,
    /// The last number up to which there is no gap.
    held_to: u64,
    /// Updates that do not follow yet or lack announced items.
    waiting: Vec<PendingUpdate>,
}

impl Stream {
    /// Whether the update leaves no gap.
    fn follows(&self, update: &PendingUpdate) -> bool {
        update.starts || (update.feed == self.id && update.from <= self.held_to)
    }

    /// Advances over the next complete update, if there is one.
    fn advance(&mut self, items: &BTreeMap<Key, Item>) -> Option<PendingUpdate> {
        let index =
            self.waiting.iter().position(|pending| self.follows(pending) && pending.is_held(items))?;
        let update = self.waiting.remove(index);
        self.held_to = if update.feed == self.id { update.to.max(self.held_to) } else { update.to };
        self.id = update.feed;
        let (id, held_to) = (self.id, self.held_to);
        self.waiting.retain(|pending| pending.starts || (pending.feed == id && pending.to > held_to));
        Some(update)
    }
}

/// An acknowledgement to send.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct Acknowledgement {
    pub to: Addr,
    pub feed: u64,
    pub got: u64,
}

/// Positions in the update streams of all controllers.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateStreams {
    by_controller: BTreeMap<Addr, Stream>,
}

impl UpdateStreams {
    /// The id of a controller's stream, and the last number up to which there is no gap.
    pub(crate) fn position(&self, controller: &Addr) -> (u64, u64) {
        self.by_controller.get(controller).map_or((0, 0), |stream| (stream.id, stream.held_to))
    }

    /// Whether there are announced items that are not held.
    pub(crate) fn has_missing_items(&self) -> bool {
        self.by_controller
            .values()
            .flat_map(|stream| &stream.waiting)
            .any(|pending| !pending.announced.is_empty())
    }

    /// Records an update whose items have been merged.
    pub(crate) fn record(&mut self, from: Addr, update: &Update) {
        let stream = self.by_controller.entry(from).or_default();
        if stream.waiting.len() == MAX_WAITING_UPDATES {
            stream.waiting.remove(0);
        }
        stream.waiting.push(PendingUpdate::of(update));
    }

    /// Advances all streams over the updates that are complete with these items; returns the
    /// acknowledgements to send.
    pub(crate) fn advance_all(&mut self, items: &BTreeMap<Key, Item>) -> Vec<Acknowledgement> {
        let mut due = vec![];
        for (controller, stream) in &mut self.by_controller {
            let mut needs_acknowledgement = false;
            while let Some(update) = stream.advance(items) {
                needs_acknowledgement |= update.needs_acknowledgement;
            }
            // Updates that announce nothing and do not follow: out of order, or of an earlier stream.
            stream.waiting.retain(|pending| !pending.announced.is_empty());
            if needs_acknowledgement {
                due.push(Acknowledgement { to: *controller, feed: stream.id, got: stream.held_to });
            }
        }
        due
    }
}
