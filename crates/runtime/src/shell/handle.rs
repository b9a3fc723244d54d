//! The handle through which other threads reach the actor of a part.
use super::inbox::Inbox;
use crate::http_server::Departure;
use control_state::*;
use primitives::{Addr, Token};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What other threads send to the actor of a part.
pub enum Event {
    /// A message with its sender and the time it was received.
    Msg(Addr, Msg, Instant),
    /// A request, and where its reply goes. Tokens are never used twice.
    Ask(Token, Ask, Sender<NodeReply>),
    /// The caller of this request has closed its connection.
    CallerGone(Token),
    /// The disk thread has finished a batch; false if the write failed.
    Synced(bool),
    /// The disk thread has read the records that the message lacks.
    Read(Box<StoredMessage>, Vec<Option<Vec<u8>>>),
    /// Stop the actor.
    Stop,
}

/// Sends requests to a running part, from any thread.
#[derive(Clone)]
pub struct Handle {
    inbox: Inbox,
    stopping: Arc<AtomicBool>,
    last_token: Arc<AtomicU64>,
}

impl Handle {
    pub(super) fn new(inbox: Inbox) -> Handle {
        Handle { inbox, stopping: Arc::default(), last_token: Arc::default() }
    }

    /// Sends a request and waits for its reply, at most for `timeout`; `None` if there is none.
    pub fn ask(&self, ask: Ask, timeout: Duration) -> Option<NodeReply> {
        self.send_ask(ask).1.recv_timeout(timeout).ok()
    }

    /// The same for a caller whose departure the part is told of.
    pub fn ask_for_caller(&self, ask: Ask, timeout: Duration, departure: &Departure) -> Option<NodeReply> {
        let (token, reply) = self.send_ask(ask);
        let inbox = self.inbox.clone();
        departure.when_gone(move || {
            let _ = inbox.send(Event::CallerGone(token));
        });
        reply.recv_timeout(timeout).ok()
    }

    fn send_ask(&self, ask: Ask) -> (Token, Receiver<NodeReply>) {
        let (reply_to, reply) = channel();
        let token = Token(self.last_token.fetch_add(1, Ordering::SeqCst) + 1);
        self.inbox.send(Event::Ask(token, ask, reply_to));
        (token, reply)
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
        self.stopping.load(Ordering::SeqCst)
    }

    /// Stops the actor after the events that are already waiting.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.inbox.send(Event::Stop);
    }
}
