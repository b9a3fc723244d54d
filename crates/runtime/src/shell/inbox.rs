//! The way into a part's actor, with a count of what waits there.
use super::Event;
use crate::net::Counts;
use control_state::Msg;
use primitives::Addr;
use stakker::sync::Channel;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Instant;

/// Events that may wait; no more messages are taken beside them.
const MAX_WAITING_PIECES: usize = 4096;

/// Events sent to an actor and not yet handled.
#[derive(Clone, Default)]
pub(super) struct Waiting(Arc<AtomicUsize>);

impl Waiting {
    pub(super) fn count(&self) -> usize {
        self.0.load(Relaxed)
    }

    /// One was handled.
    pub(super) fn done(&self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// Sends events to an actor, from any thread.
#[derive(Clone)]
pub(super) struct Inbox {
    events: Channel<Event>,
    waiting: Waiting,
}

impl Inbox {
    pub(super) fn new(events: Channel<Event>, waiting: Waiting) -> Inbox {
        Inbox { events, waiting }
    }

    /// A message that arrived; it is dropped if the actor has fallen far behind, for any
    /// message may be lost. False once the actor is gone.
    pub(super) fn offer(&self, from: Addr, message: Msg, counts: &Counts) -> bool {
        if self.waiting.count() >= MAX_WAITING_PIECES {
            counts.inbox_full.fetch_add(1, Relaxed);
            return true;
        }
        self.send(Event::Msg(from, message, Instant::now()))
    }

    /// False once the actor is gone.
    pub(super) fn send(&self, event: Event) -> bool {
        self.waiting.0.fetch_add(1, Relaxed);
        self.events.send(event)
    }
}
