//! The safety rules of the specification, checked from outside at every step.
use crate::numbers::Numbers;
use crate::requests::{who, Exchange, Want, TRY};
use crate::scope::Scope;
use crate::stand_in_origins::StandInOrigin;
use control_state::*;
use primitives::{Addr, Mono, Span, Version};
use std::collections::{BTreeMap, BTreeSet};

/// How long a request may reach an origin that has left.
const GRACE: Span = Span::secs(2);

/// The checks of a run, and what they must remember.
#[derive(Debug, Default)]
pub struct Rules {
    /// Violations found so far, as `rule: details`.
    pub violations: BTreeSet<String>,
    /// Routes to services that any version of the table ever allowed.
    pub allowed: BTreeSet<(Lane, Svc)>,
    /// Most requests per second at each service.
    pub ceilings: BTreeMap<Svc, u32>,
    /// Arrivals at each service: when, and whether of an attempt after the first.
    pub arrivals: BTreeMap<Svc, Vec<(Mono, bool)>>,
    /// When each request that must run only once was run, by key or path.
    runs: BTreeMap<String, Vec<Mono>>,
    /// Attempts that were answered as denied.
    denied: BTreeSet<String>,
    /// Attempts, other than GET, that ran at an origin.
    tried: BTreeSet<String>,
    /// Acknowledged versions, and from when on each must be in force.
    pub acked: BTreeMap<Key, (Version, Mono)>,
    /// Acknowledged purges: service, scope, lowest edition that may be served, and since when.
    purged: Vec<(Svc, Scope, u64, Mono)>,
    /// When an origin last confirmed that this edition of a path is current.
    current: BTreeMap<(Svc, String, u64), Mono>,
    /// Requests that reached origins, run or refused: when, and which attempt.
    pub reached: Vec<(Mono, String)>,
    /// Edges that go on serving without contact: later changes do not bind them.
    pub detached: BTreeSet<Addr>,
    /// Version that an edge last served by. By address: it binds the edge also after a restart.
    shown_versions: BTreeMap<(Addr, Key), Version>,
    /// The same for edges without contact, since their last start.
    shown_since_start: BTreeMap<(Addr, u64, Key), Version>,
    /// Time-to-live of cached copies, by route.
    pub ttl: BTreeMap<Lane, Span>,
    /// The edition of all origins of a service, and since when.
    pub editions: BTreeMap<Svc, (u64, Mono)>,
    /// What operators learned of the versions of entries.
    numbers: Numbers,
}

impl Rules {
    /// Records that an origin confirmed this edition as current.
    pub(crate) fn confirmed_current(&mut self, now: Mono, r: &Round, edition: u64) {
        self.current.insert((r.svc.clone(), r.req.path.clone(), edition), now);
    }

    pub fn violated(&mut self, rule: &str, what: String) {
        self.violations.insert(format!("{rule}: {what}"));
    }

    pub fn arrived(&mut self, now: Mono, b: &StandInOrigin, r: &Round) {
        self.reached(now, b, r);
        self.ran(now, b, r);
    }

    /// A request reached an origin, whether or not it runs there.
    pub fn reached(&mut self, now: Mono, b: &StandInOrigin, r: &Round) {
        self.reached.push((now, r.req.heads.get(TRY).unwrap_or_default().to_string()));
        if b.svc != r.svc || !self.allowed.contains(&(r.req.lane.clone(), b.svc.clone())) {
            self.violated(
                "service never allowed",
                format!("{} reached {} meant for {}", r.req.lane, b.svc, r.svc),
            );
        }
        if b.left.is_some_and(|t| now - t > GRACE) {
            let late = b.left.map_or(0, |t| (now - t).as_ms());
            self.violated("leaving or gone", format!("{} reached {} {late} ms after", r.req.path, r.addr));
        }
    }

    /// A request is run at an origin.
    pub fn ran(&mut self, now: Mono, b: &StandInOrigin, r: &Round) {
        let once = !["GET", "HEAD"].contains(&r.req.method.as_str());
        let name = r.req.key.clone().unwrap_or(format!("{}/{}", r.req.lane, r.req.path));
        if once {
            let t = self.runs.entry(name.clone()).or_default();
            let twice = t.last().is_some_and(|l| now - *l < Span::secs(60));
            t.push(now);
            if twice {
                self.violated("ran twice", name.clone());
            }
            let tag = r.req.heads.get(TRY).unwrap_or(&name).to_string();
            if self.denied.contains(&tag) {
                self.violated("ran after it was denied", name);
            }
            self.tried.insert(tag);
        }
        let extra = r.extra;
        self.arrivals.entry(b.svc.clone()).or_default().push((now, extra));
    }

    /// Checks a reply to a caller or operator.
    pub fn check_reply(&mut self, s: &Exchange) {
        let wrong = self.numbers.check_reply(s);
        wrong.into_iter().for_each(|what| self.violated("one number, one content", what));
        match (&s.want, &s.receipt) {
            (Want::Request(q), NodeReply::Step(Step::Serve(w, from, _))) => self.served(s, q, w, *from),
            (Want::Request(q), NodeReply::Step(Step::Deny(..))) if q.method != "GET" => {
                let name = q.key.clone().unwrap_or(format!("{}/{}", q.lane, q.path));
                let tag = q.heads.get(TRY).unwrap_or(&name).to_string();
                if self.tried.contains(&tag) {
                    self.violated("denied though it ran", name);
                }
                self.denied.insert(tag);
            }
            (Want::Change(c), NodeReply::Change(Verdict::Done(keys))) => self.change(s, c, keys),
            (Want::Table | Want::Read, NodeReply::Table(p, _)) => self.read_back(s.asked, p),
            _ => (),
        }
    }

    fn change(&mut self, exchange: &Exchange, c: &Change, keys: &[(Key, Version)]) {
        let now = exchange.answered;
        // Purges are checked by what is served, since their entries are removed in time. Configuration
        // entries must have this version or a higher one, whoever set it.
        let edits: Vec<(Key, Version)> = match &c.op {
            Op::Edit(es) => es.iter().map(|e| (e.key(), e.ver)).collect(),
            _ => vec![],
        };
        let purge = |k: &Key| matches!(k, Key::Purge(..) | Key::PurgeBy(_));
        for (k, v) in keys.iter().chain(&edits).filter(|(k, _)| !purge(k)) {
            let was = self.acked.entry(k.clone()).or_insert((*v, now));
            if *v > was.0 {
                *was = (*v, now);
            }
        }
        let named = |all: &Vec<(Svc, String)>| {
            all.iter().map(|(s, p)| (s.clone(), Scope::Prefix(p.clone()))).collect::<Vec<_>>()
        };
        let any = |by: &PurgeBy| {
            let by = by.clone();
            self.editions.keys().map(move |s| (s.clone(), Scope::By(by.clone())))
        };
        let scopes = match &c.op {
            Op::Purge(all) => named(all),
            Op::PurgeBy(all) => all.iter().flat_map(any).collect(),
            _ => vec![],
        };
        for (svc, scope) in scopes {
            let (e, since) = self.editions.get(&svc).copied().unwrap_or((1, Mono(0)));
            // Binds only content changed before the purge was sent; forwarding may have taken long.
            let sent = if matches!(scope, Scope::By(_)) { exchange.asked } else { now };
            if since <= sent {
                self.purged.push((svc, scope, e, now));
            }
        }
    }

    fn read_back(&mut self, asked: Mono, p: &ControlState) {
        let lost = |(k, (v, at)): &(&Key, &(Version, Mono))| *at <= asked && p.item(k).ver < *v;
        let missing: Vec<_> = self.acked.iter().filter(lost).map(|(k, v)| format!("{k:?} {v:?}")).collect();
        missing.into_iter().for_each(|m| self.violated("missing at read-back", m));
    }

    fn served(&mut self, exchange: &Exchange, q: &CallerRequest, w: &Whole, from: AnswerSource) {
        let now = exchange.answered;
        if from == AnswerSource::Own || q.method == "HEAD" || crate::representations::is_selected(w) {
            return;
        }
        let s = String::from_utf8_lossy(&w.body).to_string();
        let parts: Vec<&str> = s.split('|').collect();
        let mine = parts.get(4).is_none_or(|w| w.is_empty() || *w == who(q));
        let of_host = parts.get(5).is_none_or(|host| q.heads.get("host") == Some(*host));
        let right = (4..=6).contains(&parts.len())
            && mine
            && of_host
            && parts[1] == q.path
            && self.allowed.contains(&(q.lane.clone(), Svc(parts[0].to_string())));
        if !right {
            return self.violated("not its origin's whole answer", format!("{} got {s}", q.path));
        }
        let (edition, made): (u64, u64) = (parts[2].parse().unwrap_or(0), parts[3].parse().unwrap_or(0));
        let confirmed = self.current.get(&(Svc(parts[0].to_string()), q.path.clone(), edition));
        let made = made.max(confirmed.map_or(0, |t| t.0));
        let ttl = self.ttl.get(&q.lane).copied().unwrap_or_default();
        if matches!(from, AnswerSource::Copy(_)) && now - Mono(made) > ttl + Span::secs(2) {
            self.violated(
                "copy outlived its lifetime",
                format!("{} by {} ms", q.path, (now - Mono(made)).as_ms()),
            );
        }
        let stale = |(svc, p, e, at): &&(Svc, Scope, u64, Mono)| {
            svc.0 == parts[0] && edition < *e && now - *at > Span::secs(2) && p.covers(q, w)
        };
        let bound = from != AnswerSource::Record && !self.detached.contains(&exchange.at);
        if bound && self.purged.iter().any(|x| stale(&x)) {
            self.violated("purged content served", format!("{} edition {edition}", q.path));
        }
    }

    /// An edge without contact never returns to older versions until it is restarted.
    pub fn check_no_rollback(&mut self, a: Addr, life: u64, has: impl Fn(&Key) -> Version) {
        self.shown_since_start.retain(|(b, l, _), _| *b != a || *l == life);
        for k in self.acked.keys() {
            let v = has(k);
            let was = self.shown_since_start.entry((a, life, k.clone())).or_insert(v);
            if v < *was {
                self.violations.insert(format!("went back: {a} {k:?} from {was} to {v}"));
            }
            *was = v;
        }
    }

    /// Checks, whenever an edge may serve, that what was acknowledged is in force there.
    pub fn check_effective(&mut self, now: Mono, a: Addr, has: impl Fn(&Key) -> Version) {
        let lags = |(k, (v, at)): &(&Key, &(Version, Mono))| now - *at > Span::ms(0) && has(k) < *v;
        let late: Vec<_> = self.acked.iter().filter(lags).map(|(k, v)| format!("{a} {k:?} {v:?}")).collect();
        late.into_iter().for_each(|m| self.violated("acknowledged but not in force", m));
        for k in self.acked.keys().cloned().collect::<Vec<_>>() {
            let v = has(&k);
            let was = self.shown_versions.entry((a, k.clone())).or_insert(v);
            if v < *was {
                let was = *was;
                self.violated("went back", format!("{a} {k:?} from {was} to {v}"));
            } else {
                *was = v;
            }
        }
    }

    /// Checks ceilings (10 % tolerance, over 5 s) and extra attempts (a fifth and 10, over 10 s).
    pub fn check_rates(&mut self) {
        for (svc, a) in self.arrivals.clone() {
            let most = self.ceilings.get(&svc).copied().unwrap_or(u32::MAX) as f64 * 5.0 * 1.1;
            for (i, (t, _)) in a.iter().enumerate() {
                let within = |s: u64| a[i..].iter().take_while(move |(u, _)| *u - *t < Span::secs(s));
                let n = within(5).count();
                let tries = within(10).count();
                let extra = within(10).filter(|(_, e)| *e).count();
                if n as f64 > most {
                    self.violated("over the ceiling", format!("{svc}: {n} in 5 s"));
                }
                if extra as f64 > tries as f64 / 5.0 + 10.0 {
                    self.violated("too many extra tries", format!("{svc}: {extra} of {tries} in 10 s"));
                }
            }
        }
    }
}
