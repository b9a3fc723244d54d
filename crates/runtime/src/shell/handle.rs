//! How other threads reach a part's actor.
use super::inbox::Inbox;
use control_state::*;
use primitives::Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What reaches a part's actor from other threads.
pub enum Event {
    /// With the time of its arrival.
    Msg(Addr, Msg, Instant),
    Ask(Ask, Sender<NodeReply>),
    Synced(bool),
    Stop,
}

/// Speaks to a shell from any thread.
#[derive(Clone)]
pub struct Handle(Inbox, Arc<AtomicBool>);

impl Handle {
    pub(super) fn new(events: Inbox) -> Handle {
        Handle(events, Arc::default())
    }
    /// Asks and waits for the receipt, at most so long.
    pub fn ask(&self, a: Ask, wait: Duration) -> Option<NodeReply> {
        let (tx, rx) = channel();
        self.0.send(Event::Ask(a, tx));
        rx.recv_timeout(wait).ok()
    }
    /// What callers may send, where the part says so.
    pub fn limits(&self) -> Option<CallerLimits> {
        match self.ask(Ask::Limits, Duration::from_millis(200)) {
            Some(NodeReply::Limits(l)) => l,
            _ => None,
        }
    }
    /// Nothing is in hand any more and nothing new is begun: what now finds no
    /// answer here was never sent anywhere.
    pub fn stopping(&self) -> bool {
        self.1.load(Ordering::SeqCst)
    }
    pub fn stop(&self) {
        self.1.store(true, Ordering::SeqCst);
        self.0.send(Event::Stop);
    }
}
