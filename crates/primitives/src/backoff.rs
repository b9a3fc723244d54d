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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn given_no_answer_then_repeats_come_ever_more_seldom() {
        let mut backoff = Backoff::new(Mono(0), Span::ms(50), Span::ms(400));
        let repeats: Vec<u64> = (0..2000).filter(|at| backoff.due(Mono(0) + Span::ms(*at))).collect();
        assert_eq!(repeats, [50, 150, 350, 750, 1150, 1550, 1950]);
    }
}
