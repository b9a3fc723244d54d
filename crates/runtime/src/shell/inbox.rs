//! The way into a part's actor, with a count of what waits there.
use super::Event;
use stakker::sync::Channel;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

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

    /// False once the actor is gone.
    pub(super) fn send(&self, event: Event) -> bool {
        self.waiting.0.fetch_add(1, Relaxed);
        self.events.send(event)
    }
}
