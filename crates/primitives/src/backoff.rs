//! Exponential backoff for repeated messages.
use crate::{Mono, Span};

/// Schedules the repeats of a message that may have been lost: the first one after an initial
/// interval, each later one after twice the interval before it, up to a maximum.
///
/// Repeats at a fixed interval would multiply the load of a peer that is slow rather than
/// unreachable: the slower it answers, the more messages it receives.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Backoff {
    interval: Span,
    max_interval: Span,
    next_repeat: Mono,
}

impl Backoff {
    /// The schedule of a message that is sent for the first time at `now`.
    pub fn new(now: Mono, initial_interval: Span, max_interval: Span) -> Backoff {
        Backoff { interval: initial_interval, max_interval, next_repeat: now + initial_interval }
    }

    /// Returns true if a repeat is due at `now`, and then schedules the one after it: the caller
    /// must send the message.
    pub fn due(&mut self, now: Mono) -> bool {
        if now < self.next_repeat {
            return false;
        }
        self.interval = self.interval.times(2).min(self.max_interval);
        self.next_repeat = now + self.interval;
        true
    }
}
