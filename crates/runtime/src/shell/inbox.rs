//! The inbox of a part's actor, with a count of the events that wait in it.
use super::Event;
use crate::net::Counts;
use control_state::Msg;
use primitives::Addr;
use stakker::sync::Channel;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Instant;

/// Messages are dropped while this many events are waiting; other events are always accepted.
const MAX_WAITING_EVENTS: usize = 4096;

/// The number of events sent to an actor and not yet handled; clones share it.
#[derive(Clone, Default)]
pub(super) struct Waiting(Arc<AtomicUsize>);

impl Waiting {
    pub(super) fn count(&self) -> usize {
        self.0.load(Relaxed)
    }

    /// Counts one event as handled.
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

    /// Passes on a received message. It is dropped and counted if the actor has fallen far behind,
    /// since any message may be lost. Returns false once the actor has stopped.
    pub(super) fn offer(&self, from: Addr, message: Msg, counts: &Counts) -> bool {
        if self.waiting.count() >= MAX_WAITING_EVENTS {
            counts.inbox_full.fetch_add(1, Relaxed);
            return true;
        }
        self.send(Event::Msg(from, message, Instant::now()))
    }

    /// Sends an event without a limit. Returns false once the actor has stopped.
    pub(super) fn send(&self, event: Event) -> bool {
        self.waiting.0.fetch_add(1, Relaxed);
        self.events.send(event)
    }
}
