//! The handle through which other threads reach the actor of a part.
use super::inbox::Inbox;
use control_state::*;
use primitives::Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What other threads send to the actor of a part.
pub enum Event {
    /// A message with its sender and the time it was received.
    Msg(Addr, Msg, Instant),
    /// A request, and where its reply goes.
    Ask(Ask, Sender<NodeReply>),
    /// The disk thread has finished a batch; false if the write failed.
    Synced(bool),
    /// Stop the actor.
    Stop,
}

/// Sends requests to a running part, from any thread.
#[derive(Clone)]
pub struct Handle(Inbox, Arc<AtomicBool>);

impl Handle {
    pub(super) fn new(events: Inbox) -> Handle {
        Handle(events, Arc::default())
    }

    /// Sends a request and waits for its reply, at most for `timeout`; `None` if there is none.
    pub fn ask(&self, ask: Ask, timeout: Duration) -> Option<NodeReply> {
        let (reply_to, reply) = channel();
        self.0.send(Event::Ask(ask, reply_to));
        reply.recv_timeout(timeout).ok()
    }

    /// The limits for callers; `None` if the part sets none or does not reply within 200 ms.
    pub fn limits(&self) -> Option<CallerLimits> {
        match self.ask(Ask::Limits, Duration::from_millis(200)) {
            Some(NodeReply::Limits(limits)) => limits,
            _ => None,
        }
    }

    /// Whether `stop` was called. By then no request is in flight and none is started, so that a
    /// request without a reply was never sent anywhere.
    pub fn stopping(&self) -> bool {
        self.1.load(Ordering::SeqCst)
    }

    /// Stops the actor after the events that are already waiting.
    pub fn stop(&self) {
        self.1.store(true, Ordering::SeqCst);
        self.0.send(Event::Stop);
    }
}
