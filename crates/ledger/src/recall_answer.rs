//! Answers to recalls: a ledger gives its records to another one, a page at a time.
//!
//! Pages are of different moments. That is enough: what the other ledger must learn was granted here
//! before it asked for the first page, and stays here until its window is over or its round released
//! it. Each page shows all keys of its range that are held when it is made.
use crate::grant::Grant;
use crate::ledger::Ledger;
use crate::outgoing::{self, OutgoingRecord};
use crate::page::{Page, MAX_PAGE_BYTES};
use control_state::*;
use primitives::{Addr, Backoff, Mono, Span, Version};

/// The first and the longest pause after which the same page is sent again. It may still wait in the
/// queue to the other ledger, however often that one asks.
const REPEAT_INTERVALS: (Span, Span) = (Span::ms(250), Span::ms(4800));

/// A request for a page of records.
pub(crate) struct PageRequest {
    pub ask: u64,
    pub version: Version,
    pub purpose: RecallPurpose,
    pub after: Option<String>,
}

/// The last request of another ledger that was answered, and when its answer may be repeated.
#[derive(Clone, Debug)]
pub(crate) struct AnsweredRequest {
    ask: u64,
    repeat: Backoff,
}

impl Ledger {
    /// Answers with records of the keys that the requester is a replica of, including those not yet
    /// settled. A ledger that may not grant itself, or that follows another version of the ledger
    /// sets, does not answer.
    pub(crate) fn on_recall(&mut self, now: Mono, from: Addr, request: PageRequest, out: &mut Vec<Out>) {
        let PageRequest { ask, version, purpose, after } = request;
        if !self.open || version != self.ledger_set_version() || !self.may_answer(now, from, ask) {
            return;
        }
        if after.is_none() {
            self.count("recalls answered");
        }
        if purpose == RecallPurpose::Fill {
            self.raise_fence(now, version, out);
        }
        self.grants.drop_old(now, self.env.window);
        let ledger_sets = Roll::of(&self.follow.items);
        let is_replica = |k: &str| ledger_sets.named(k, self.env.losses).iter().any(|s| s.contains(&from));
        let grants = self.grants.after(after.as_deref()).filter(|(key, _)| is_replica(key));
        let records = grants.map(|(k, g)| self.recalled_record(now, purpose, &ledger_sets, k, g));
        let page = Page::of(records, MAX_PAGE_BYTES);
        let next = page.next();
        outgoing::send(from, Msg::Recalled { ask, held: page.records, next }, page.missing, out);
    }

    /// Whether the request is new, or its answer is due to be repeated.
    fn may_answer(&mut self, now: Mono, from: Addr, ask: u64) -> bool {
        match self.answered_requests.get_mut(&from).filter(|answered| answered.ask == ask) {
            Some(answered) => answered.repeat.due(now),
            None => {
                let repeat = Backoff::new(now, REPEAT_INTERVALS.0, REPEAT_INTERVALS.1);
                self.answered_requests.insert(from, AnsweredRequest { ask, repeat });
                true
            }
        }
    }

    /// The record without an outcome that is stored at few ledgers only, except where this
    /// ledger leaves the key's replicas and will not be asked for the outcome any more.
    fn recalled_record(
        &self,
        now: Mono,
        purpose: RecallPurpose,
        sets: &Roll,
        key: &str,
        g: &Grant,
    ) -> OutgoingRecord {
        let newest = sets.named(key, self.env.losses).pop().unwrap_or_default();
        let stays = newest.contains(&self.follow.env.addr);
        match purpose {
            RecallPurpose::Fill if !stays => g.show(now, key),
            _ => self.shared_record(now, key, g),
        }
    }
}
