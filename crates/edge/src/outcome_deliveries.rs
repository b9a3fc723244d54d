//! Delivery of outcomes to the ledgers that are to store them.
use control_state::*;
use primitives::{Addr, Backoff, Mono, Span};
use std::collections::BTreeSet;

/// A ledger that has not acknowledged an outcome within this time is replaced by another one.
const ACKNOWLEDGEMENT_TIMEOUT: Span = Span::secs(1);
/// How long the delivery of an outcome is attempted.
const DELIVERY_TIMEOUT: Span = Span::secs(8);
/// The first and the longest pause after which an unacknowledged outcome is sent again.
const RESEND_DELAYS: (Span, Span) = (Span::ms(250), Span::secs(2));

/// The attempt that an outcome belongs to.
#[derive(Clone, Debug)]
pub(crate) struct KeyedRound {
    pub key: String,
    pub fingerprint: Fingerprint,
    pub round: RoundId,
}

/// An outcome, the ledgers that are to store it, and those that have not acknowledged it.
#[derive(Debug)]
pub(crate) struct OutcomeDelivery {
    pub of: KeyedRound,
    response: Whole,
    chosen: Vec<Holder>,
    pending: BTreeSet<Addr>,
    /// Replacements for ledgers that do not answer; the next one is last.
    fallbacks: Vec<Holder>,
    started_at: Mono,
    chosen_at: Mono,
    resend: Backoff,
}

impl OutcomeDelivery {
    /// Delivers to `copies` of the ledgers; the preferred ones are last in the list.
    pub(crate) fn new(
        now: Mono,
        of: KeyedRound,
        response: Whole,
        ledgers: Vec<Holder>,
        copies: usize,
    ) -> OutcomeDelivery {
        let mut fallbacks = ledgers;
        let chosen = fallbacks.split_off(fallbacks.len().saturating_sub(copies));
        let pending = chosen.iter().map(|h| h.addr).collect();
        let resend = Backoff::new(now, RESEND_DELAYS.0, RESEND_DELAYS.1);
        OutcomeDelivery { of, response, chosen, pending, fallbacks, started_at: now, chosen_at: now, resend }
    }

    /// Delivers to all of the ledgers alike. They need not know of one another.
    pub(crate) fn to_all(
        now: Mono,
        of: KeyedRound,
        response: Whole,
        ledgers: Vec<Holder>,
    ) -> OutcomeDelivery {
        let copies = ledgers.len();
        OutcomeDelivery { chosen: vec![], ..OutcomeDelivery::new(now, of, response, ledgers, copies) }
    }

    /// Sends whatever is due now.
    pub(crate) fn push(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.replace_silent_ledgers(now) || self.resend.due(now) {
            self.send(out);
        }
    }

    /// Sends the outcome to all ledgers that have not acknowledged it.
    pub(crate) fn send(&self, out: &mut Vec<Out>) {
        let whole = if self.chosen.is_empty() {
            self.response.clone()
        } else {
            self.response.with_holders(&self.chosen)
        };
        let KeyedRound { key, fingerprint, round } = &self.of;
        let outcome =
            || Msg::Outcome { key: key.clone(), print: *fingerprint, round: *round, whole: whole.clone() };
        out.extend(self.pending.iter().map(|to| Out::Send(*to, outcome())));
    }

    /// Replaces ledgers that have not acknowledged for too long. Returns whether it did. Ledgers
    /// that already store the outcome are told its new holders.
    fn replace_silent_ledgers(&mut self, now: Mono) -> bool {
        if now - self.chosen_at < ACKNOWLEDGEMENT_TIMEOUT || self.fallbacks.is_empty() {
            return false;
        }
        self.chosen_at = now;
        for holder in self.chosen.iter_mut().filter(|h| self.pending.contains(&h.addr)) {
            *holder = self.fallbacks.pop().unwrap_or(*holder);
        }
        self.pending = self.chosen.iter().map(|h| h.addr).collect();
        true
    }

    /// The ledger has stored the outcome.
    pub(crate) fn note_stored(&mut self, from: Addr) {
        self.pending.remove(&from);
    }

    /// Whether all ledgers have acknowledged, or delivery has timed out.
    pub(crate) fn is_over(&self, now: Mono) -> bool {
        self.pending.is_empty() || now - self.started_at >= DELIVERY_TIMEOUT
    }
}
