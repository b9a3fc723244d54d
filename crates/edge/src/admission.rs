//! How hard a service may be pressed: its ceiling, and the budget of extra tries.
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
    holder: Option<Addr>,
    last_urgent_request: Mono,
    token_buckets: BTreeMap<Svc, TokenBucket>,
}

#[derive(Debug, Default)]
struct TokenBucket {
    /// Of the edge's own share. Starts empty.
    own: f64,
    at: Option<Mono>,
    /// Lent requests and until when each may be used.
    lent: Vec<Mono>,
    /// First tries since the last asking, to foretell what will be wanted.
    recent: u32,
    asked: Mono,
    /// Extra tries that may still be made.
    extra: f64,
    /// Requests in line that the leader was told of and has not lent for.
    told: u32,
    /// When the leader is asked out of turn again, while some wait.
    urgent_requests: Option<UrgentRequests>,
}

/// Saved up at the most, where the deployment allows no more.
const EXTRA_MOST: f64 = 1.0;
/// Out of turn at most this often, and so often only for as long as a lender with something
/// saved up would take; after that ever more seldom.
const URGENT_REQUEST_INTERVAL: Span = Span::ms(20);
const URGENT_REQUEST_BURST: Span = Span::ms(160);
const URGENT_REQUEST_MAX_INTERVAL: Span = Span::secs(1);

/// Asking out of turn, while some wait.
#[derive(Debug)]
struct UrgentRequests {
    since: Mono,
    again: Backoff,
}

impl TokenBucket {
    /// Earns of the own share; tells how many lent requests were not used in time.
    fn fill(&mut self, now: Mono, s: &Share, own: f64) -> usize {
        let since = self.at.map_or(Span(0), |t| now - t);
        self.at = Some(now);
        let cap = (own * 0.1).max(1.0);
        if s.free() {
            return 0;
        }
        self.own = (self.own + own * since.0 as f64 / 1e6).min(cap);
        let before = self.lent.len();
        self.lent.retain(|t| *t > now);
        before - self.lent.len()
    }

    /// The leader is told how many wait.
    fn tell(&mut self, waiting: u32) {
        self.told = waiting;
        if waiting == 0 {
            self.urgent_requests = None;
        }
    }

    fn note_lent(&mut self, lent: u32) {
        self.tell(self.told.saturating_sub(lent));
    }

    fn may_request_now(&mut self, now: Mono) -> bool {
        let begin = || UrgentRequests {
            since: now,
            again: Backoff::new(now, URGENT_REQUEST_BURST, URGENT_REQUEST_MAX_INTERVAL),
        };
        let urgent_requests = self.urgent_requests.get_or_insert_with(begin);
        now - urgent_requests.since < URGENT_REQUEST_BURST || urgent_requests.again.due(now)
    }
}

impl Edge {
    fn token_bucket(&mut self, now: Mono, svc: &Svc) -> Option<&mut TokenBucket> {
        let s = *self.table.shares.get(svc)?;
        let own = self.table.own_rate(self.follow.env.id, &s);
        let p = self.press.token_buckets.entry(svc.clone()).or_default();
        self.metrics.note_tokens(Token::LentUnused, p.fill(now, &s, own));
        Some(p)
    }

    /// Takes one request's worth, valid until the point returned. Less urgent
    /// lanes leave lent requests to others while the line is long.
    pub(crate) fn spend(&mut self, now: Mono, svc: &Svc) -> Option<Mono> {
        let free = self.table.shares.get(svc).is_some_and(Share::free);
        if free {
            return Some(now + Span::secs(60));
        }
        let p = self.token_bucket(now, svc)?;
        let (token, until) = if !p.lent.is_empty() {
            (Token::LentUsed, p.lent.remove(0))
        } else if p.own >= 1.0 {
            p.own -= 1.0;
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
        self.token_bucket(now, svc).into_iter().for_each(|p| {
            if until > now {
                p.lent.push(until);
            }
        });
    }

    pub(crate) fn note_first_attempt(&mut self, now: Mono, svc: &Svc) {
        let e = &self.env.policy;
        let most = (e.saved / self.table.edges.max(1) as f64).max(EXTRA_MOST);
        let retry_credit_per_request = e.retry_credit_per_request;
        self.token_bucket(now, svc).into_iter().for_each(|p| {
            p.recent += 1;
            p.extra = (p.extra + retry_credit_per_request).min(most);
        });
    }

    pub(crate) fn take_retry_token(&mut self, now: Mono, svc: &Svc) -> bool {
        self.token_bucket(now, svc).is_some_and(|p| {
            let ok = p.extra >= 1.0;
            p.extra -= ok as u8 as f64;
            ok
        })
    }

    /// What to ask of the leader: the line, and what is likely to come.
    pub(crate) fn wants(&mut self, now: Mono) -> Vec<(Svc, u32)> {
        let mut line: BTreeMap<Svc, u32> = BTreeMap::new();
        for j in self.jobs.values().filter(|j| j.in_line()) {
            *line.entry(j.svc.clone()).or_default() += 1;
        }
        let bound = self.table.shares.iter().filter(|(_, s)| !s.free());
        let shares: BTreeMap<Svc, Share> = bound.map(|(v, s)| (v.clone(), *s)).collect();
        let mut v = vec![];
        for (svc, s) in &shares {
            let own = self.table.own_rate(self.follow.env.id, s);
            let Some(p) = self.token_bucket(now, svc) else { continue };
            let gone = (now - p.asked).0 as f64 / 1e6;
            p.asked = now;
            let more = (p.recent as f64 - own * gone).max(0.0).ceil() as u32;
            p.recent = 0;
            p.tell(line.get(svc).copied().unwrap_or(0));
            // With a line there is no telling what will come; without, as much as lately.
            let ask = if p.told > 0 { p.told } else { more };
            let want = ask.saturating_sub(p.lent.len() as u32);
            if want > 0 {
                v.push((svc.clone(), want));
            }
        }
        v
    }

    /// Somebody waits in line: the holder is asked at once, not in turn. One that has nothing
    /// to lend is asked ever more seldom.
    pub(crate) fn request_tokens_now(&mut self, now: Mono, svc: &Svc, out: &mut Vec<Out>) {
        let Some(to) =
            self.press.holder.filter(|_| now - self.press.last_urgent_request >= URGENT_REQUEST_INTERVAL)
        else {
            return;
        };
        if !self.token_bucket(now, svc).is_some_and(|p| p.may_request_now(now)) {
            return;
        }
        self.press.last_urgent_request = now;
        let wants = self.wants(now);
        out.push(self.follow.sub(now, to, &wants, self.press.epoch));
    }

    pub(crate) fn accept_borrowed_tokens(&mut self, now: Mono, from: Addr, r: &Reply, out: &mut Vec<Out>) {
        if r.epoch < self.press.epoch || r.epoch == Epoch(0) {
            return;
        }
        self.press.epoch = r.epoch;
        self.press.holder = Some(from);
        if r.slices.is_empty() {
            return;
        }
        for (svc, n) in &r.slices {
            let until = r.ask + BORROWED_TOKEN_TTL;
            let late = until <= now;
            self.metrics.note_tokens(if late { Token::LentLate } else { Token::Lent }, *n as usize);
            self.token_bucket(now, svc).into_iter().for_each(|p| {
                p.note_lent(*n);
                if !late {
                    p.lent.extend((0..*n).map(|_| until));
                    p.lent.sort();
                }
            });
        }
        self.start_queued_jobs(now, out);
    }
}
