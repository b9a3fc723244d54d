//! Outcomes on their way to the ledgers that are to hold them.
use control_state::*;
use primitives::{Addr, Backoff, Mono, Span};
use std::collections::BTreeSet;

/// How long a ledger that is to hold an outcome may keep silent.
const ACKNOWLEDGEMENT_TIMEOUT: Span = Span::secs(1);
/// How long an outcome is offered.
const DELIVERY_TIMEOUT: Span = Span::secs(8);
/// The first and the longest pause after which an outcome not known to be kept is sent again.
const RESEND_DELAYS: (Span, Span) = (Span::ms(250), Span::secs(2));

/// What an outcome is of.
#[derive(Clone, Debug)]
pub(crate) struct KeyedRound {
    pub key: String,
    pub print: Fingerprint,
    pub round: RoundId,
}

/// An outcome, the ledgers that are to hold it, and those that have not said that they do.
#[derive(Debug)]
pub(crate) struct OutcomeDelivery {
    pub of: KeyedRound,
    whole: Whole,
    chosen: Vec<Holder>,
    silent: BTreeSet<Addr>,
    /// Chosen in place of those that keep silent; the next one last.
    others: Vec<Holder>,
    began: Mono,
    chosen_at: Mono,
    send_again: Backoff,
}

impl OutcomeDelivery {
    /// To so many of the ledgers, the best of which come last.
    pub(crate) fn new(
        now: Mono,
        of: KeyedRound,
        whole: Whole,
        ledgers: Vec<Holder>,
        copies: usize,
    ) -> OutcomeDelivery {
        let mut others = ledgers;
        let chosen = others.split_off(others.len().saturating_sub(copies));
        let silent = chosen.iter().map(|h| h.addr).collect();
        let send_again = Backoff::new(now, RESEND_DELAYS.0, RESEND_DELAYS.1);
        OutcomeDelivery { of, whole, chosen, silent, others, began: now, chosen_at: now, send_again }
    }

    /// To all of them alike, which need not know of one another.
    pub(crate) fn to_all(now: Mono, of: KeyedRound, whole: Whole, ledgers: Vec<Holder>) -> OutcomeDelivery {
        let copies = ledgers.len();
        OutcomeDelivery { chosen: vec![], ..OutcomeDelivery::new(now, of, whole, ledgers, copies) }
    }

    /// What is to be sent now, if anything.
    pub(crate) fn push(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.choose_again(now) || self.send_again.due(now) {
            self.send(out);
        }
    }

    pub(crate) fn send(&self, out: &mut Vec<Out>) {
        let whole =
            if self.chosen.is_empty() { self.whole.clone() } else { self.whole.with_holders(&self.chosen) };
        let KeyedRound { key, print, round } = &self.of;
        let outcome =
            || Msg::Outcome { key: key.clone(), print: *print, round: *round, whole: whole.clone() };
        out.extend(self.silent.iter().map(|to| Out::Send(*to, outcome())));
    }

    /// Turns from ledgers that kept silent for long to others; whether it did. Those that hold it
    /// already are told who holds it now.
    fn choose_again(&mut self, now: Mono) -> bool {
        if now - self.chosen_at < ACKNOWLEDGEMENT_TIMEOUT || self.others.is_empty() {
            return false;
        }
        self.chosen_at = now;
        for holder in self.chosen.iter_mut().filter(|h| self.silent.contains(&h.addr)) {
            *holder = self.others.pop().unwrap_or(*holder);
        }
        self.silent = self.chosen.iter().map(|h| h.addr).collect();
        true
    }

    pub(crate) fn note_stored(&mut self, by: Addr) {
        self.silent.remove(&by);
    }

    /// Nobody is left to be told, or there was no telling them.
    pub(crate) fn is_over(&self, now: Mono) -> bool {
        self.silent.is_empty() || now - self.began >= DELIVERY_TIMEOUT
    }
}
