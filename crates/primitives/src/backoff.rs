//! When to repeat what may have been lost.
use crate::{Mono, Span};

/// Paces repeats: the first after `first`, each later one after twice the pause before it, up
/// to `longest`.
///
/// A repeat at a fixed pace multiplies the load of a peer that is slow rather than lost: the
/// slower it answers, the more it is asked.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Backoff {
    pause: Span,
    longest: Span,
    next: Mono,
}

impl Backoff {
    /// Sent for the first time now.
    pub fn new(now: Mono, first: Span, longest: Span) -> Backoff {
        Backoff { pause: first, longest, next: now + first }
    }

    /// Whether it is time for a repeat, which is then counted as sent.
    pub fn due(&mut self, now: Mono) -> bool {
        if now < self.next {
            return false;
        }
        self.pause = self.pause.times(2).min(self.longest);
        self.next = now + self.pause;
        true
    }
}
