//! Requests with an idempotency key: a quorum of the key's ledgers must grant the key, synced to
//! disk, before anything is sent to an origin.
use crate::answers::UNEXPECTED_ANSWER;
use crate::claim::Claim;
use crate::edge::Edge;
use crate::jobs::*;
use crate::outcome_deliveries::{KeyedRound, OutcomeDelivery};
use control_state::*;
use primitives::{Addr, Backoff, Birth, Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// How long after the lease expired keys may still be claimed, on an edge that serves without a
/// lease.
const CLAIM_GRACE: Span = Span::secs(5);
/// The first and the longest pause after which ledgers that have not voted are asked again.
const CLAIM_RETRY_DELAYS: (Span, Span) = (Span::ms(120), Span::ms(480));
impl Edge {
    /// Claims the key. This requires a lease that is valid or expired only recently: a ledger set
    /// stops being in force one window after every lease that knew no newer set, and claims made
    /// before must have become void by then.
    pub(crate) fn claim(&mut self, now: Mono, mut job: Job, out: &mut Vec<Out>) {
        if self.follow.lease_quorum_until() + CLAIM_GRACE <= now {
            let caller = job.callers.remove(0).caller;
            let retry_after = self.retry_after(Denied::NoLease);
            return self.answer_caller(now, &caller, Step::Deny(Denied::NoLease, retry_after), out);
        }
        // Routes of a host are added, removed and renamed while their callers' keys stay the same.
        let key = format!("{}/{}", job.site.0, job.req.key.as_deref().unwrap_or(""));
        let fingerprint = Fingerprint::of(&job.req.method, &job.req.path, &job.req.heads, &job.req.body);
        let id = self.number();
        let round = RoundId { node: self.follow.env.id, birth: self.follow.env.birth, n: id };
        let replica_sets = self.table.ledger_sets.named(&key, self.env.losses);
        let ledger_sets_version = self.table.ledger_sets_version;
        let retry = Backoff::new(now, CLAIM_RETRY_DELAYS.0, CLAIM_RETRY_DELAYS.1);
        let claim = Claim {
            round,
            key,
            fingerprint,
            replica_sets,
            ledger_sets_version,
            granted: BTreeSet::new(),
            retry,
        };
        out.extend(claim.ledgers().into_iter().map(|a| claim.ask(a)));
        job.claim = Some(claim);
        job.send_deadline = now + self.env.leave;
        job.stage = Stage::Claim(BTreeMap::new());
        job.stage_since = now;
        self.jobs.insert(id, job);
        self.count("claims");
        self.count_votes(now, id, false, out);
    }

    /// A claim or its answer may be lost with a connection. Repeating the claim changes nothing.
    pub(crate) fn retry_claim(&mut self, now: Mono, id: u64, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (Stage::Claim(votes), Some(claim)) = (&job.stage, &mut job.claim) else { return };
        if claim.retry.due(now) {
            let silent = claim.ledgers().into_iter().filter(|a| !votes.contains_key(a));
            out.extend(silent.map(|a| claim.ask(a)));
        }
    }

    /// A vote that arrives after the count changes nothing: a denied attempt was released after its
    /// claim on the same connection, and an attempt that was sent keeps its key.
    pub(crate) fn on_claimed(
        &mut self,
        now: Mono,
        from: Addr,
        round: RoundId,
        vote: Claimed,
        out: &mut Vec<Out>,
    ) {
        let Some(id) = self.own_round(round) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return self.count(UNEXPECTED_ANSWER) };
        let expected =
            job.claim.as_ref().is_some_and(|claim| claim.round == round && claim.ledgers().contains(&from));
        match &mut job.stage {
            Stage::Claim(votes) if expected => {
                votes.insert(from, vote);
                self.count_votes(now, id, false, out);
            }
            _ => self.count(UNEXPECTED_ANSWER),
        }
    }

    /// Decides the claim if the votes suffice, or if it has timed out.
    pub(crate) fn count_votes(&mut self, now: Mono, id: u64, timed_out: bool, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (Stage::Claim(votes), Some(claim)) = (&job.stage, &job.claim) else { return };
        let recorded = votes.values().find_map(|v| match v {
            Claimed::Held(Some(response)) => Some(response.clone()),
            _ => None,
        });
        let payload_mismatch = votes.values().any(|v| *v == Claimed::PayloadMismatch);
        let held = votes.values().any(|v| matches!(v, Claimed::Held(None)));
        let complete = votes.len() >= claim.ledgers().len();
        if payload_mismatch {
            self.deny(now, id, Denied::KeyReused, out);
        } else if let Some(response) = recorded {
            self.release_job(id, out);
            let step = Step::Serve(
                std::sync::Arc::new(response.without_holders()),
                AnswerSource::Record,
                Mono(u64::MAX),
            );
            self.finish(now, id, step, out);
        } else if claim.won(votes, self.env.losses) {
            self.record_grants(id);
            self.enqueue_job(now, id, out);
        } else if held && (complete || timed_out) {
            // Another attempt holds the key, and its outcome is not (yet) known.
            self.release_job(id, out);
            let has_host = self.jobs.get(&id).is_some_and(|job| job.req.host.is_some());
            if has_host {
                return self.deny(now, id, Denied::KeyAtWork, out);
            }
            self.finish(now, id, Step::OutcomeUnknown(Span::secs(1)), out);
        } else if complete || timed_out {
            self.deny(now, id, Denied::SplitVote, out);
        }
    }

    /// Stores which ledgers granted the claim.
    fn record_grants(&mut self, id: u64) {
        let Some(Job { stage: Stage::Claim(votes), claim: Some(claim), .. }) = self.jobs.get_mut(&id) else {
            return;
        };
        let grants = votes.iter().filter(|(_, vote)| **vote == Claimed::Granted);
        claim.granted = grants.map(|(a, _)| *a).collect();
    }

    fn release_job(&mut self, id: u64, out: &mut Vec<Out>) {
        if let Some(job) = self.jobs.remove(&id) {
            self.release(&job, out);
            self.jobs.insert(id, job);
        }
    }

    /// The attempt will never be sent, so its key is released.
    pub(crate) fn release(&mut self, job: &Job, out: &mut Vec<Out>) {
        if let Some(claim) = job.claim.as_ref().filter(|_| job.sent_attempts == 0) {
            let release = |a| Out::Send(a, Msg::Release { key: claim.key.clone(), round: claim.round });
            out.extend(self.holders(claim).into_iter().map(release));
        }
    }

    /// The request was executed: the outcome goes to the key's ledgers and to the caller.
    pub(crate) fn finish_keyed(
        &mut self,
        now: Mono,
        id: u64,
        response: Whole,
        step: Step,
        out: &mut Vec<Out>,
    ) {
        let claim = self.jobs.get(&id).and_then(|job| job.claim.clone());
        if let Some(claim) = claim {
            let ledgers = self.rank_outcome_holders(&claim);
            let Claim { round, key, fingerprint, .. } = claim;
            let of = KeyedRound { key, fingerprint, round };
            let delivery = if self.env.policy.near {
                // On one disk more than may be lost at once.
                OutcomeDelivery::new(now, of, response, ledgers, self.env.losses + 1)
            } else {
                OutcomeDelivery::to_all(now, of, response, ledgers)
            };
            delivery.send(out);
            self.outcome_deliveries.push(delivery);
        }
        self.finish(now, id, step, out);
    }

    /// All ledgers that may hold the grant: those at which the key was claimed, and those that took
    /// it over because the ledger sets have changed since.
    fn holders(&self, claim: &Claim) -> BTreeSet<Addr> {
        let current = self.table.ledger_sets.named(&claim.key, self.env.losses);
        claim.ledgers().into_iter().chain(current.into_iter().flatten()).collect()
    }

    /// Ledgers that may store the outcome, the preferred ones last. Ledgers that granted the key
    /// are preferred, among them those of the newest set, and among these the nearest.
    fn rank_outcome_holders(&self, claim: &Claim) -> Vec<Holder> {
        let newest = self.table.ledger_sets.named(&claim.key, self.env.losses).pop().unwrap_or_default();
        let here = &self.follow.env.zone;
        let registered = |a: &Addr| self.table.ledgers.iter().find(|l| l.addr == *a);
        let proximity = |a: &Addr| {
            let zone = registered(a).map(|l| &l.zone);
            zone.map(|z| (z.region() == here.region(), z == here)).unwrap_or_default()
        };
        let mut holders: Vec<Addr> = self.holders(claim).into_iter().collect();
        holders.sort_by_key(|a| (claim.granted.contains(a), newest.contains(a), proximity(a)));
        let birth = |a: &Addr| registered(a).map_or(Birth(0), |l| l.birth);
        holders.into_iter().map(|addr| Holder { addr, birth: birth(&addr) }).collect()
    }

    /// Sends outcomes again where due, and drops deliveries that are over.
    pub(crate) fn push_outcomes(&mut self, now: Mono, out: &mut Vec<Out>) {
        self.outcome_deliveries.iter_mut().for_each(|delivery| delivery.push(now, out));
        self.outcome_deliveries.retain(|delivery| !delivery.is_over(now));
    }

    /// A ledger acknowledged that it has stored an outcome.
    pub(crate) fn on_outcome_stored(&mut self, now: Mono, from: Addr, round: RoundId) {
        if self.own_round(round).is_none() {
            return;
        }
        self.outcome_deliveries.iter_mut().filter(|o| o.of.round == round).for_each(|o| o.note_stored(from));
        self.outcome_deliveries.retain(|delivery| !delivery.is_over(now));
    }
}
