//! Admission of requests to services: rate ceilings, borrowed tokens and the retry budget.
use crate::edge::Edge;
use crate::metrics::Token;
use control_state::*;
use primitives::{Addr, Backoff, Epoch, Mono, Span};
use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub(crate) struct Admission {
    /// Invariant: never decreases; grants of lower epochs are not used.
    pub epoch: Epoch,
    /// The leader that lends tokens, and when it was last asked outside the regular updates.
    lender: Option<Addr>,
    last_urgent_request: Mono,
    token_buckets: BTreeMap<Svc, TokenBucket>,
}

#[derive(Debug, Default)]
struct TokenBucket {
    /// Tokens of the edge's own share. Starts empty.
    own: f64,
    refilled_at: Option<Mono>,
    /// Borrowed tokens: until when each may be used.
    borrowed: Vec<Mono>,
    /// First attempts since tokens were last requested, to estimate the demand.
    recent: u32,
    requested_at: Mono,
    /// Retries that may still be made.
    retry_credit: f64,
    /// Queued requests that were reported to the leader and for which it has not lent tokens.
    reported: u32,
    /// When the leader may be asked again at once, while requests are queued.
    urgent_requests: Option<UrgentRequests>,
}

/// Upper limit of the saved retry credit, unless the deployment allows more.
const DEFAULT_RETRY_CREDIT_MAX: f64 = 1.0;
/// Minimum time between two urgent token requests. This rate holds only for the burst, which is as
/// long as a leader that has tokens to lend would take to answer; after that the requests back off
/// up to the maximum interval.
const URGENT_REQUEST_INTERVAL: Span = Span::ms(20);
const URGENT_REQUEST_BURST: Span = Span::ms(160);
const URGENT_REQUEST_MAX_INTERVAL: Span = Span::secs(1);

/// Urgent token requests, made while requests are queued.
#[derive(Debug)]
struct UrgentRequests {
    started: Mono,
    retry: Backoff,
}

impl TokenBucket {
    /// Adds tokens of the own share. Returns how many borrowed tokens expired unused.
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

    /// Records how many queued requests the leader was told of.
    fn note_reported(&mut self, waiting: u32) {
        self.reported = waiting;
        if waiting == 0 {
            self.urgent_requests = None;
        }
    }

    /// The leader lent tokens for some of the reported requests.
    fn note_borrowed(&mut self, borrowed: u32) {
        self.note_reported(self.reported.saturating_sub(borrowed));
    }

    /// Whether an urgent token request is allowed now.
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

    /// Takes one token. Returns until when it is valid, or `None` if there is none.
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

    /// Returns a token that was not used.
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

    /// Counts a first attempt, which also earns retry credit.
    pub(crate) fn note_first_attempt(&mut self, now: Mono, svc: &Svc) {
        let policy = &self.env.policy;
        let max = (policy.saved / self.table.edges.max(1) as f64).max(DEFAULT_RETRY_CREDIT_MAX);
        let retry_credit_per_request = policy.retry_credit_per_request;
        self.token_bucket(now, svc).into_iter().for_each(|bucket| {
            bucket.recent += 1;
            bucket.retry_credit = (bucket.retry_credit + retry_credit_per_request).min(max);
        });
    }

    /// Spends the credit for one retry, if there is enough.
    pub(crate) fn take_retry_token(&mut self, now: Mono, svc: &Svc) -> bool {
        self.token_bucket(now, svc).is_some_and(|bucket| {
            let available = bucket.retry_credit >= 1.0;
            bucket.retry_credit -= available as u8 as f64;
            available
        })
    }

    /// Tokens to request from the leader: for the queued requests and the expected ones.
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
            // While requests are queued the demand cannot be estimated, so only they count. Without
            // a queue the recent demand is expected to continue.
            let needed = if bucket.reported > 0 { bucket.reported } else { expected };
            let want = needed.saturating_sub(bucket.borrowed.len() as u32);
            if want > 0 {
                wants.push((svc.clone(), want));
            }
        }
        wants
    }

    /// A request is queued: asks the leader at once instead of with the next regular update. A
    /// leader that has nothing to lend is asked at growing intervals.
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

    /// Takes the tokens lent in a controller's reply and starts queued jobs.
    pub(crate) fn accept_borrowed_tokens(
        &mut self,
        now: Mono,
        from: Addr,
        reply: &Reply,
        out: &mut Vec<Out>,
    ) {
        if reply.epoch < self.admission.epoch || reply.epoch == Epoch(0) {
            return;
        }
        self.admission.epoch = reply.epoch;
        self.admission.lender = Some(from);
        if reply.slices.is_empty() {
            return;
        }
        for (svc, n) in &reply.slices {
            let until = reply.ask + BORROWED_TOKEN_TTL;
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
