//! Outcomes on their way to the ledgers that are to hold them.
use control_state::*;
use primitives::{Addr, Backoff, Mono, Span};
use std::collections::BTreeSet;

/// How long a ledger that is to hold an outcome may keep pending.
const ACKNOWLEDGEMENT_TIMEOUT: Span = Span::secs(1);
/// How long an outcome is offered.
const DELIVERY_TIMEOUT: Span = Span::secs(8);
/// The first and the longest pause after which an outcome not known to be kept is sent again.
const RESEND_DELAYS: (Span, Span) = (Span::ms(250), Span::secs(2));

/// What an outcome is of.
#[derive(Clone, Debug)]
pub(crate) struct KeyedRound {
    pub key: String,
    pub fingerprint: Fingerprint,
    pub round: RoundId,
}

/// An outcome, the ledgers that are to hold it, and those that have not said that they do.
#[derive(Debug)]
pub(crate) struct OutcomeDelivery {
    pub of: KeyedRound,
    response: Whole,
    chosen: Vec<Holder>,
    pending: BTreeSet<Addr>,
    /// Chosen in place of those that keep pending; the next one last.
    fallbacks: Vec<Holder>,
    started_at: Mono,
    chosen_at: Mono,
    resend: Backoff,
}

impl OutcomeDelivery {
    /// To so many of the ledgers, the best of which come last.
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

    /// To all of them alike, which need not know of one another.
    pub(crate) fn to_all(
        now: Mono,
        of: KeyedRound,
        response: Whole,
        ledgers: Vec<Holder>,
    ) -> OutcomeDelivery {
        let copies = ledgers.len();
        OutcomeDelivery { chosen: vec![], ..OutcomeDelivery::new(now, of, response, ledgers, copies) }
    }

    /// What is to be sent now, if anything.
    pub(crate) fn push(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.replace_silent_ledgers(now) || self.resend.due(now) {
            self.send(out);
        }
    }

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

    /// Turns from ledgers that kept pending for long to fallbacks; whether it did. Those that hold it
    /// already are told who holds it now.
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

    pub(crate) fn note_stored(&mut self, from: Addr) {
        self.pending.remove(&from);
    }

    /// Nobody is left to be told, or there was no telling them.
    pub(crate) fn is_over(&self, now: Mono) -> bool {
        self.pending.is_empty() || now - self.started_at >= DELIVERY_TIMEOUT
    }
}
