//! Orderly leaving: this ledger hands its records to the other ledgers of each key, so that
//! it does not stop while it is the only holder of a grant or an outcome.
use crate::grant::Grant;
use crate::ledger::Ledger;
use crate::outgoing::{self, OutgoingRecord};
use crate::page::{Page, MAX_PAGE_BYTES};
use control_state::*;
use primitives::{Addr, Backoff, Epoch, Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// The first and the longest pause after which a page that was not acknowledged is sent again.
const RETRY_INTERVALS: (Span, Span) = (Span::ms(300), Span::ms(1200));
/// How long a leaving ledger waits for others to take its keys.
const LEAVE_TIMEOUT: Span = Span::secs(2);
/// By this time after its grant all holders that an outcome names have stored it, or were replaced.
const OUTCOME_DELIVERY_TIME: Span = Span::secs(12);

/// A page as it was sent. Its keys are those whose records have not changed since.
#[derive(Clone, Debug)]
struct SentPage {
    keys: BTreeSet<String>,
    last_key: Option<String>,
    /// Whether further pages follow.
    more: bool,
}

/// How far the records were handed to one other ledger: one page at a time, in the order of keys.
#[derive(Clone, Debug)]
struct HandOver {
    /// The page in flight begins after this key.
    after: Option<String>,
    /// The page in flight, by the number of each request that it was sent with. Any of them may be
    /// acknowledged. Empty once all pages were acknowledged.
    sent: BTreeMap<u64, SentPage>,
    retry: Backoff,
    /// Each other ledger gets all records once, and then those that no ledger has acknowledged.
    first_pass: bool,
}

/// State of this ledger's leaving: the keys that are still to be handed over.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leaving {
    since: Option<Mono>,
    last_request: u64,
    /// Keys that no other ledger has acknowledged.
    keys: BTreeSet<String>,
    hand_overs: BTreeMap<Addr, HandOver>,
}

impl Leaving {
    /// Adds a key that was granted, or whose outcome arrived, while this ledger leaves. Pages that were
    /// sent before do not hand it over.
    pub(crate) fn add_key(&mut self, key: &str) {
        if self.since.is_none() {
            return;
        }
        self.keys.insert(key.to_string());
        let sent = self.hand_overs.values_mut().flat_map(|pass| pass.sent.values_mut());
        sent.for_each(|page| {
            page.keys.remove(key);
        });
    }

    /// Number of keys that are still to be handed over.
    pub(crate) fn left(&self) -> usize {
        self.keys.len()
    }
}

impl Ledger {
    pub(crate) fn start_leaving(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.leaving.since.is_some() {
            return;
        }
        self.grants.drop_old(now, self.env.window);
        self.leaving.since = Some(now);
        self.follow.standing = Standing::Leaving;
        self.follow.subscribe(now, &[], Epoch(0), out);
        self.leaving.keys = self.grants.iter().map(|(key, _)| key.clone()).collect();
        self.hand_over(now, out);
    }

    pub(crate) fn hand_over(&mut self, now: Mono, out: &mut Vec<Out>) {
        let Some(since) = self.leaving.since else { return };
        let others = self.other_ledgers();
        if now - since >= LEAVE_TIMEOUT || others.is_empty() {
            self.leaving.keys.clear();
        }
        if self.leaving.keys.is_empty() {
            return;
        }
        self.leaving.keys.retain(|key| self.grants.contains(key));
        for other in others {
            let pass = self.leaving.hand_overs.get_mut(&other);
            match pass.map(|pass| (pass.retry.due(now), pass.sent.is_empty())) {
                None => self.start_pass(now, other, true, out),
                Some((true, true)) => self.start_pass(now, other, false, out),
                Some((true, false)) => self.send_page(now, other, out),
                Some((false, _)) => (),
            }
        }
    }

    /// Begins to hand over the records of the other ledger's keys, from the first one on.
    fn start_pass(&mut self, now: Mono, other: Addr, first_pass: bool, out: &mut Vec<Out>) {
        let retry = Backoff::new(now, RETRY_INTERVALS.0, RETRY_INTERVALS.1);
        let pass = HandOver { after: None, sent: BTreeMap::new(), retry, first_pass };
        self.leaving.hand_overs.insert(other, pass);
        self.send_page(now, other, out);
    }

    /// Sends the page of this pass that is in flight, or comes next.
    fn send_page(&mut self, now: Mono, other: Addr, out: &mut Vec<Out>) {
        let Some(pass) = self.leaving.hand_overs.get(&other) else { return };
        let (after, first_pass) = (pass.after.clone(), pass.first_pass);
        let ledger_sets = Roll::of(&self.follow.items);
        let losses = self.env.losses;
        let is_due = |key: &String| {
            (first_pass || self.leaving.keys.contains(key))
                && ledger_sets.named(key, losses).iter().any(|set| set.contains(&other))
        };
        let grants = self.grants.after(after.as_deref()).filter(|(key, _)| is_due(key));
        let page = Page::of(
            grants.map(|(key, grant)| self.handed_over_record(now, &ledger_sets, key, grant)),
            MAX_PAGE_BYTES,
        );
        self.leaving.last_request += 1;
        let request = self.leaving.last_request;
        let Some(pass) = self.leaving.hand_overs.get_mut(&other) else { return };
        if page.records.is_empty() {
            pass.sent.clear();
            return;
        }
        let keys = page.keys();
        let last_key = keys.last().cloned();
        pass.sent.insert(request, SentPage { keys: keys.into_iter().collect(), last_key, more: page.more });
        outgoing::send(other, Msg::HandOver { ask: request, held: page.records }, page.missing, out);
    }

    /// The record with its outcome, also where the other replicas usually hold none, for the copy on
    /// this ledger goes away; without it if another replica holds it as well.
    fn handed_over_record(&self, now: Mono, ledger_sets: &Roll, key: &str, grant: &Grant) -> OutgoingRecord {
        let replicas = ledger_sets.named(key, self.env.losses).pop().unwrap_or_default();
        let holders = grant.outcome.iter().flat_map(|outcome| self.replication.live_holders(outcome));
        let mut others = holders.filter(|holder| holder.addr != self.follow.env.addr);
        let is_delivered = now - grant.granted_at > OUTCOME_DELIVERY_TIME;
        if is_delivered && others.any(|holder| replicas.contains(&holder.addr)) {
            self.shared_record(now, key, grant)
        } else {
            grant.show(now, key)
        }
    }

    /// Another ledger hands over its records: they are saved before they are acknowledged.
    pub(crate) fn on_hand_over(
        &mut self,
        now: Mono,
        from: Addr,
        ask: u64,
        held: Vec<Held>,
        out: &mut Vec<Out>,
    ) {
        held.into_iter().for_each(|record| self.adopt_record(now, record, out));
        out.push(Out::Send(from, Msg::HandedOver { ask }));
    }

    /// Another ledger has saved a page: the next one follows.
    pub(crate) fn on_handed_over(&mut self, now: Mono, from: Addr, ask: u64, out: &mut Vec<Out>) {
        let Some(pass) = self.leaving.hand_overs.get_mut(&from) else { return };
        let Some(page) = pass.sent.remove(&ask) else { return };
        pass.sent.clear();
        pass.after = page.last_key;
        pass.retry = Backoff::new(now, RETRY_INTERVALS.0, RETRY_INTERVALS.1);
        for key in &page.keys {
            self.leaving.keys.remove(key);
        }
        if page.more {
            self.send_page(now, from, out);
        }
    }
}
