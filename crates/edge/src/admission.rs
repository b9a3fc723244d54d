//! How hard a service may be pressed: its ceiling, and the budget of retry_credit tries.
use crate::edge::Edge;
use crate::metrics::Token;
use control_state::*;
use primitives::{Addr, Backoff, Epoch, Mono, Span};
use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub(crate) struct Admission {
    /// Invariant: never goes down; slices of lower epochs are not used.
    pub epoch: Epoch,
    /// Who lends now, and when it was last asked out of turn.
    lender: Option<Addr>,
    last_urgent_request: Mono,
    token_buckets: BTreeMap<Svc, TokenBucket>,
}

#[derive(Debug, Default)]
struct TokenBucket {
    /// Of the edge's own share. Starts empty.
    own: f64,
    refilled_at: Option<Mono>,
    /// Lent requests and until when each may be used.
    borrowed: Vec<Mono>,
    /// First tries since the last asking, to foretell what will be wanted.
    recent: u32,
    requested_at: Mono,
    /// Extra tries that may still be made.
    retry_credit: f64,
    /// Requests in line that the leader was reported of and has not lent for.
    reported: u32,
    /// When the leader is asked out of turn again, while some wait.
    urgent_requests: Option<UrgentRequests>,
}

/// Saved up at the most, where the deployment allows no more.
const DEFAULT_RETRY_CREDIT_MAX: f64 = 1.0;
/// Out of turn at most this often, and so often only for as long as a lender with something
/// saved up would take; after that ever more seldom.
const URGENT_REQUEST_INTERVAL: Span = Span::ms(20);
const URGENT_REQUEST_BURST: Span = Span::ms(160);
const URGENT_REQUEST_MAX_INTERVAL: Span = Span::secs(1);

/// Asking out of turn, while some wait.
#[derive(Debug)]
struct UrgentRequests {
    started: Mono,
    retry: Backoff,
}

impl TokenBucket {
    /// Earns of the own share; tells how many lent requests were not used in time.
    fn fill(&mut self, now: Mono, share: &Share, own_rate: f64) -> usize {
        let elapsed = self.refilled_at.map_or(Span(0), |t| now - t);
        self.refilled_at = Some(now);
        let cap = (own_rate * 0.1).max(1.0);
        if share.free() {
            return 0;
        }
        self.own = (self.own + own_rate * elapsed.0 as f64 / 1e6).min(cap);
        let before = self.borrowed.len();
        self.borrowed.retain(|t| *t > now);
        before - self.borrowed.len()
    }

    /// The leader is reported how many wait.
    fn note_reported(&mut self, waiting: u32) {
        self.reported = waiting;
        if waiting == 0 {
            self.urgent_requests = None;
        }
    }

    fn note_borrowed(&mut self, borrowed: u32) {
        self.note_reported(self.reported.saturating_sub(borrowed));
    }

    fn may_request_now(&mut self, now: Mono) -> bool {
        let start = || UrgentRequests {
            started: now,
            retry: Backoff::new(now, URGENT_REQUEST_BURST, URGENT_REQUEST_MAX_INTERVAL),
        };
        let urgent_requests = self.urgent_requests.get_or_insert_with(start);
        now - urgent_requests.started < URGENT_REQUEST_BURST || urgent_requests.retry.due(now)
    }
}

impl Edge {
    fn token_bucket(&mut self, now: Mono, svc: &Svc) -> Option<&mut TokenBucket> {
        let share = *self.table.shares.get(svc)?;
        let own_rate = self.table.own_rate(self.follow.env.id, &share);
        let bucket = self.admission.token_buckets.entry(svc.clone()).or_default();
        self.metrics.note_tokens(Token::LentUnused, bucket.fill(now, &share, own_rate));
        Some(bucket)
    }

    /// Takes one request's worth, valid until the point returned. Less urgent
    /// lanes leave lent requests to others while the line is long.
    pub(crate) fn spend(&mut self, now: Mono, svc: &Svc) -> Option<Mono> {
        let free = self.table.shares.get(svc).is_some_and(Share::free);
        if free {
            return Some(now + Span::secs(60));
        }
        let bucket = self.token_bucket(now, svc)?;
        let (token, until) = if !bucket.borrowed.is_empty() {
            (Token::LentUsed, bucket.borrowed.remove(0))
        } else if bucket.own >= 1.0 {
            bucket.own -= 1.0;
            (Token::OwnUsed, now + BORROWED_TOKEN_TTL)
        } else {
            return None;
        };
        self.metrics.note_tokens(token, 1);
        Some(until)
    }

    /// Gives back what was not used after all.
    pub(crate) fn refund(&mut self, now: Mono, svc: &Svc, until: Mono) {
        if self.table.shares.get(svc).is_some_and(Share::free) {
            return;
        }
        self.token_bucket(now, svc).into_iter().for_each(|bucket| {
            if until > now {
                bucket.borrowed.push(until);
            }
        });
    }

    pub(crate) fn note_first_attempt(&mut self, now: Mono, svc: &Svc) {
        let policy = &self.env.policy;
        let max = (policy.saved / self.table.edges.max(1) as f64).max(DEFAULT_RETRY_CREDIT_MAX);
        let retry_credit_per_request = policy.retry_credit_per_request;
        self.token_bucket(now, svc).into_iter().for_each(|bucket| {
            bucket.recent += 1;
            bucket.retry_credit = (bucket.retry_credit + retry_credit_per_request).min(max);
        });
    }

    pub(crate) fn take_retry_token(&mut self, now: Mono, svc: &Svc) -> bool {
        self.token_bucket(now, svc).is_some_and(|bucket| {
            let available = bucket.retry_credit >= 1.0;
            bucket.retry_credit -= available as u8 as f64;
            available
        })
    }

    /// What to ask of the leader: the line, and what is likely to come.
    pub(crate) fn wants(&mut self, now: Mono) -> Vec<(Svc, u32)> {
        let mut queued: BTreeMap<Svc, u32> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.is_queued()) {
            *queued.entry(job.svc.clone()).or_default() += 1;
        }
        let limited = self.table.shares.iter().filter(|(_, s)| !s.free());
        let shares: BTreeMap<Svc, Share> = limited.map(|(v, s)| (v.clone(), *s)).collect();
        let mut wants = vec![];
        for (svc, share) in &shares {
            let own_rate = self.table.own_rate(self.follow.env.id, share);
            let Some(bucket) = self.token_bucket(now, svc) else { continue };
            let elapsed = (now - bucket.requested_at).0 as f64 / 1e6;
            bucket.requested_at = now;
            let expected = (bucket.recent as f64 - own_rate * elapsed).max(0.0).ceil() as u32;
            bucket.recent = 0;
            bucket.note_reported(queued.get(svc).copied().unwrap_or(0));
            // With a line there is no telling what will come; without, as much as lately.
            let needed = if bucket.reported > 0 { bucket.reported } else { expected };
            let want = needed.saturating_sub(bucket.borrowed.len() as u32);
            if want > 0 {
                wants.push((svc.clone(), want));
            }
        }
        wants
    }

    /// Somebody waits in line: the holder is asked at once, not in turn. One that has nothing
    /// to lend is asked ever more seldom.
    pub(crate) fn request_tokens_now(&mut self, now: Mono, svc: &Svc, out: &mut Vec<Out>) {
        let Some(to) = self
            .admission
            .lender
            .filter(|_| now - self.admission.last_urgent_request >= URGENT_REQUEST_INTERVAL)
        else {
            return;
        };
        if !self.token_bucket(now, svc).is_some_and(|bucket| bucket.may_request_now(now)) {
            return;
        }
        self.admission.last_urgent_request = now;
        let wants = self.wants(now);
        out.push(self.follow.sub(now, to, &wants, self.admission.epoch));
    }

    pub(crate) fn accept_borrowed_tokens(&mut self, now: Mono, from: Addr, r: &Reply, out: &mut Vec<Out>) {
        if r.epoch < self.admission.epoch || r.epoch == Epoch(0) {
            return;
        }
        self.admission.epoch = r.epoch;
        self.admission.lender = Some(from);
        if r.slices.is_empty() {
            return;
        }
        for (svc, n) in &r.slices {
            let until = r.ask + BORROWED_TOKEN_TTL;
            let late = until <= now;
            self.metrics.note_tokens(if late { Token::LentLate } else { Token::Lent }, *n as usize);
            self.token_bucket(now, svc).into_iter().for_each(|bucket| {
                bucket.note_borrowed(*n);
                if !late {
                    bucket.borrowed.extend((0..*n).map(|_| until));
                    bucket.borrowed.sort();
                }
            });
        }
        self.start_queued_jobs(now, out);
    }
}
