//! Keeps each outcome on one disk more than may be lost at once.
//!
//! An outcome names the disks that hold it. Once one of them is lost or leaves the ledger sets,
//! the first of the remaining holders sends the outcome to another ledger: one transfer for
//! each copy lost.
use crate::ledger::Ledger;
use crate::log_position::LogForm;
use crate::outcome::Outcome;
use crate::outgoing::{self, OutgoingRecord};
use crate::page::Page;
use crate::records::Kept;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of one transfer; a record that is larger is sent alone.
const MAX_PAGE_BYTES: usize = 64 << 10;
/// Time without an acknowledgement after which a transfer is abandoned and sent anew.
const RETRY_INTERVAL: Span = Span::ms(500);
/// Request numbers of transfers begin here, apart from those of a leaving ledger.
const FIRST_REQUEST: u64 = 1 << 32;

/// Outcomes that were sent to one ledger and are not yet acknowledged.
#[derive(Clone, Debug)]
struct Transfer {
    ask: u64,
    to: Holder,
    keys: Vec<String>,
    sent: Mono,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Replication {
    /// The ledgers, with their disks, against which the holders of all outcomes were last checked.
    live_ledgers: BTreeMap<Addr, Birth>,
    /// Keys whose outcome is on too few disks and that this ledger has to send to another.
    under_replicated: BTreeSet<String>,
    /// At most one for each ledger.
    transfers: BTreeMap<Addr, Transfer>,
    last_request: u64,
}

impl Replication {
    pub(crate) fn live_holders(&self, outcome: &Outcome) -> Vec<Holder> {
        let is_live = |h: &&Holder| self.live_ledgers.get(&h.addr) == Some(&h.birth);
        outcome.holders.iter().filter(is_live).copied().collect()
    }
}

impl Ledger {
    /// Called several times a second: looks for under-replicated outcomes after a change of the
    /// ledgers, and sends them on.
    pub(crate) fn replicate(&mut self, now: Mono, out: &mut Vec<Out>) {
        if !self.env.minimal_outcome_copies || self.follow.lease_quorum_until() <= now {
            return;
        }
        let live_ledgers = current_ledgers(&self.follow.items);
        if live_ledgers != self.replication.live_ledgers {
            self.replication.live_ledgers = live_ledgers;
            let under_replicated = self
                .grants
                .iter()
                .filter(|(_, g)| g.outcome.as_ref().is_some_and(|o| self.must_replicate(o)));
            self.replication.under_replicated = under_replicated.map(|(key, _)| key.clone()).collect();
        }
        self.replication.transfers.retain(|_, transfer| now - transfer.sent < RETRY_INTERVAL);
        self.send_under_replicated(now, out);
    }

    /// Checks the replication of an outcome that was just stored: its sender may not have known
    /// of the last disk loss.
    pub(crate) fn check_replication(&mut self, key: &str) {
        let outcome = self.grants.get(key).and_then(|g| g.outcome.as_ref());
        if outcome.is_some_and(|o| self.must_replicate(o)) {
            self.replication.under_replicated.insert(key.to_string());
        } else {
            self.replication.under_replicated.remove(key);
        }
    }

    /// Whether too few disks hold the outcome and this ledger is the first of its live holders.
    fn must_replicate(&self, outcome: &Outcome) -> bool {
        let holders = self.replication.live_holders(outcome);
        holders.len() <= self.env.losses && holders.first().is_some_and(|h| h.addr == self.follow.env.addr)
    }

    /// The ledger that is to hold the outcome as well: preferably a replica of the key in the
    /// newest set, and among those the nearest.
    fn next_holder(&self, key: &str, ledger_sets: &Roll, holders: &[Holder]) -> Option<Holder> {
        let own_zone = &self.follow.env.zone;
        let replicas = ledger_sets.named(key, self.env.losses).pop().unwrap_or_default();
        let zone_of = |addr: &Addr| {
            ledger_sets.seats().find(|m| m.addr == *addr).map(|m| m.zone.clone()).unwrap_or_default()
        };
        let preference = |addr: &Addr| {
            let zone = zone_of(addr);
            let distance = (zone.region() != own_zone.region(), zone != *own_zone);
            (!replicas.contains(addr), distance, primitives::hash(&(key, addr)))
        };
        let others = self
            .replication
            .live_ledgers
            .iter()
            .filter(|(addr, _)| !holders.iter().any(|h| h.addr == **addr));
        let next = others.min_by_key(|(addr, _)| preference(addr));
        next.map(|(addr, birth)| Holder { addr: *addr, birth: *birth })
    }

    fn send_under_replicated(&mut self, now: Mono, out: &mut Vec<Out>) {
        let ledger_sets = Roll::of(&self.follow.items);
        let mut keys: BTreeMap<Holder, Vec<String>> = BTreeMap::new();
        for key in &self.replication.under_replicated {
            let Some(outcome) = self.grants.get(key).and_then(|grant| grant.outcome.as_ref()) else {
                continue;
            };
            let holders = self.replication.live_holders(outcome);
            let Some(next) = self.next_holder(key, &ledger_sets, &holders) else { continue };
            if !self.replication.transfers.contains_key(&next.addr) {
                keys.entry(next).or_default().push(key.clone());
            }
        }
        for (to, keys) in keys {
            let records = keys.iter().filter_map(|key| self.replicated_record(now, key, to));
            let page = Page::of(records, MAX_PAGE_BYTES);
            self.replication.last_request += 1;
            let ask = FIRST_REQUEST + self.replication.last_request;
            self.replication.transfers.insert(to.addr, Transfer { ask, to, keys: page.keys(), sent: now });
            self.count("outcomes handed on");
            outgoing::send(to.addr, Msg::HandOver { ask, held: page.records }, page.missing, out);
        }
    }

    /// The record of an outcome for a further holder, which is named in it.
    fn replicated_record(&self, now: Mono, key: &str, to: Holder) -> Option<OutgoingRecord> {
        let grant = self.grants.get(key)?;
        let mut holders = self.replication.live_holders(grant.outcome.as_ref()?);
        holders.push(to);
        Some(grant.show(now, key).with_holders(&holders))
    }

    /// Another ledger acknowledged a transfer: it is saved as a holder of the outcomes.
    pub(crate) fn on_transfer_confirmed(&mut self, now: Mono, from: Addr, ask: u64, out: &mut Vec<Out>) {
        if self.replication.transfers.get(&from).is_none_or(|transfer| transfer.ask != ask) {
            return;
        }
        let Some(transfer) = self.replication.transfers.remove(&from) else { return };
        for key in transfer.keys {
            let Some(grant) = self.grants.get(&key) else { continue };
            let (Some(outcome), round) = (&grant.outcome, grant.round) else { continue };
            let mut holders = self.replication.live_holders(outcome);
            holders.push(transfer.to);
            let record = match (self.env.log_form, &outcome.content) {
                // Versions that open logs of this form know no record of the holders alone.
                (LogForm::Compacted, Some(whole)) => {
                    Kept::Outcome { key: key.clone(), round, whole: whole.with_holders(&holders) }
                }
                _ => Kept::Holders { key: key.clone(), round, holders },
            };
            self.save(now, record, out);
            self.check_replication(&key);
        }
        self.send_under_replicated(now, out);
    }
}
