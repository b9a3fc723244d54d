//! Stand-in origins, and the requests that edges send to them.
use crate::requests::who;
use crate::world::{Event, World};
use control_state::*;
use primitives::{Addr, Birth, Mono, Span, Token};
use std::collections::BTreeMap;

/// A simulated origin, with settings for its load and its failures.
#[derive(Clone, Debug)]
pub struct StandInOrigin {
    pub svc: Svc,
    pub zone: Zone,
    pub birth: Birth,
    /// An origin that is down answers nothing and sends no heartbeats.
    pub up: bool,
    pub mood: Mood,
    /// How long it works on each request.
    pub work: Span,
    /// Probability that it runs a request and the answer is lost.
    pub lose: f64,
    /// Probability that an answer is truncated.
    pub cut: f64,
    /// Probability that an answer has a corrupted byte.
    pub wrong: f64,
    /// Since when it was known to be leaving or gone.
    pub left: Option<Mono>,
    /// Requests that it is working on or that wait for a slot.
    pub in_hand: u32,
    /// Version of its content; grows whenever the content changes.
    pub edition: u64,
    /// Index, modulo their number, of the receiver of its heartbeats.
    pub controller: usize,
    /// Requests that it runs at once; 0 is unlimited.
    pub slots: usize,
    /// Requests that may wait for a slot; it refuses more.
    pub queue: usize,
    /// When each admitted request ends.
    pub taken: Vec<Mono>,
    /// Refuses all requests.
    pub refuses: bool,
    /// Sends entity tags made from the edition, answers conditional requests with 304, and
    /// tags its answers for purges.
    pub tags: bool,
    /// Number of heartbeats sent; counted only in an open deployment.
    pub seq: u64,
    pub hits: BTreeMap<String, u64>,
    /// Additional headers of its answers. An answer that is not public is made for one
    /// caller, and its body names that caller.
    pub heads: Headers,
    /// Honours the method, conditions and range of each request.
    pub selective: bool,
    /// Runs each request and answers 500; of a selective origin only.
    pub fails: bool,
}

impl World {
    /// Starts an origin with a new incarnation, in place of any earlier one at this address.
    pub fn add_origin(&mut self, a: Addr, svc: &str, zone: &str) {
        let birth = Birth(self.rng.u64(1..1 << 40));
        let controller = self.rng.usize(0..4);
        let b = StandInOrigin {
            svc: svc.into(),
            zone: zone.into(),
            birth,
            up: true,
            mood: Mood::Serving,
            work: Span::ms(8),
            lose: 0.0,
            cut: 0.0,
            wrong: 0.0,
            left: None,
            in_hand: 0,
            edition: 1,
            controller,
            slots: 0,
            queue: 0,
            taken: vec![],
            refuses: false,
            tags: false,
            seq: 0,
            hits: BTreeMap::new(),
            heads: Headers::default(),
            selective: false,
            fails: false,
        };
        self.origins.insert(a, b);
        self.at(Span::ms(1), Event::OriginHeartbeat(a, birth.0));
    }

    pub(crate) fn send_origin_heartbeats(&mut self, a: Addr, life: u64) {
        let targets = self.heartbeat_targets();
        let Some(b) = self.origins.get_mut(&a).filter(|b| b.up && b.birth.0 == life) else { return };
        let to = targets[b.controller % targets.len()];
        // If the receiver is frozen or down, the next heartbeats go to another one.
        let unreachable = self.procs[&to].frozen || self.procs[&to].part.is_none();
        if unreachable {
            b.controller += 1;
        } else {
            self.send_heartbeat(a, to);
        }
        self.at(Span::ms(200), Event::OriginHeartbeat(a, life));
    }

    /// Sends one `OriginHeartbeat` with the present state of the origin.
    pub fn send_heartbeat(&mut self, a: Addr, to: Addr) {
        let named = self.plan.open.is_some();
        let Some(b) = self.origins.get_mut(&a) else { return };
        b.seq += named as u64;
        let origin_heartbeat = OriginHeartbeat {
            seq: b.seq,
            tag: if named { b.birth.to_string() } else { String::new() },
            svc: b.svc.clone(),
            addr: a,
            birth: b.birth,
            zone: b.zone.clone(),
            cap: if b.slots > 0 { b.slots as u32 } else { 64 },
            occupancy: b.in_hand,
            mood: b.mood,
        };
        let leaving = b.mood.ends();
        self.next_token += 1;
        let t = Token(self.next_token);
        self.pending.insert(t, (to, crate::requests::Want::OriginHeartbeat(a, leaving), self.now));
        let d = self.distance(a, to);
        self.at(d, Event::Ask(to, t, Ask::OriginHeartbeat(origin_heartbeat, None)));
    }

    /// Sends the request, unless its deadline has passed when the executor checks it last.
    pub(crate) fn leave(&mut self, g: Addr, life: u64, r: Round) {
        let live = self.procs.get(&g).filter(|p| p.life == life && p.part.is_some());
        let Some(clock) = live.map(|p| p.clock(self.now)) else { return };
        if clock >= r.until || self.abandoned.contains(&(g, r.n)) {
            return self.report(g, life, r.n, FetchOutcome::NotSent);
        }
        let d = self.distance(g, r.addr);
        self.at(d, Event::Arrive(g, life, r));
    }

    pub(crate) fn arrive(&mut self, g: Addr, life: u64, r: Round) {
        let there = self.origins.get(&r.addr).filter(|b| b.up).cloned();
        let Some(b) = there else {
            // Nothing listens there: the connection attempt times out after 800 ms.
            return self.report_in(Span::ms(800), g, life, r.n, FetchOutcome::NotSent);
        };
        self.rules.reached(self.now, &b, &r);
        if b.birth != r.birth {
            // The request names another incarnation: refused, and nothing runs.
            self.count("meant for another life");
            let f = if r.tag.is_empty() { FetchOutcome::NotSent } else { FetchOutcome::WrongIncarnation };
            return self.report(g, life, r.n, f);
        }
        let Some(wait) = self.admitted(&r) else {
            self.count("refused");
            let back = self.distance(r.addr, g);
            return self.report_in(back, g, life, r.n, FetchOutcome::Refused);
        };
        let whole = self.rng.f64() >= b.lose;
        self.rules.ran(self.now, &b, &r);
        let path = r.req.path.clone();
        self.origins.entry(r.addr).and_modify(|b| {
            b.in_hand += 1;
            *b.hits.entry(path).or_default() += 1;
        });
        self.at(wait + b.work, Event::Answer(g, life, r, (b.birth.0, b.edition), whole));
    }

    pub(crate) fn answer(&mut self, g: Addr, life: u64, r: Round, (birth, edition): (u64, u64), whole: bool) {
        let b = self.origins.get_mut(&r.addr).filter(|b| b.up && b.birth.0 == birth);
        let Some(b) = b else { return self.report(g, life, r.n, FetchOutcome::Lost) };
        b.in_hand = b.in_hand.saturating_sub(1);
        let whole = whole && !self.abandoned.remove(&(g, r.n));
        let host = r.req.heads.get("host").unwrap_or_default();
        let name = format!("\"{host}{}-{edition}\"", r.req.path);
        if b.tags && r.req.heads.get("if-none-match") == Some(&name) {
            return self.unchanged(g, life, &r, edition);
        }
        // The body names service, path, edition, time of creation, caller, and host if one was sent.
        let open = b.heads.get("cache-control").is_some_and(|c| c.contains("public"));
        let who = if open { String::new() } else { who(&r.req) };
        let body = format!("{}|{}|{}|{}|{who}|{host}", b.svc, r.req.path, edition, self.now.0);
        let body = body.trim_end_matches('|').as_bytes().to_vec();
        if b.selective {
            let etag = format!("\"{edition}\"");
            let heads = b.heads.clone().with("content-digest", digest(&body));
            let answer = b.represent(&r.req, &etag, heads, body);
            let outcome = if whole { FetchOutcome::Whole(answer) } else { FetchOutcome::Lost };
            return self.report(g, life, r.n, outcome);
        }
        let mut heads = b.heads.clone().with("content-digest", digest(&body));
        if b.tags {
            // The tag is the first word of the last path segment.
            let last = r.req.path.rsplit('/').next().unwrap_or_default();
            heads.push("lanewing-tags", last.split('-').next().unwrap_or_default());
            heads.push("etag", name);
            // Same as a 304: copies under this entity tag are as new as this answer.
            self.rules.confirmed_current(self.now, &r, edition);
        }
        let (cut, wrong) = (b.cut, b.wrong);
        self.count("whole answers");
        let mut sent = body.clone();
        if self.rng.f64() < cut {
            sent.truncate(body.len() / 2);
        }
        if self.rng.f64() < wrong {
            sent[0] ^= 1;
        }
        // The executor checks length and digest of what arrived.
        let bare = r.req.method == "HEAD";
        let good = whole && (bare || (sent.len() == body.len() && content_digests_match(&heads, 200, &sent)));
        let sent = if bare { vec![] } else { sent };
        let w = Whole { heads, ..Whole::new(200, "text/plain", sent) };
        let f = if good { FetchOutcome::Whole(w) } else { FetchOutcome::Lost };
        self.report(g, life, r.n, f);
    }

    pub(crate) fn report(&mut self, g: Addr, life: u64, n: u64, f: FetchOutcome) {
        self.report_in(Span(300), g, life, n, f);
    }

    pub(crate) fn report_in(&mut self, after: Span, g: Addr, life: u64, n: u64, f: FetchOutcome) {
        if self.procs.get(&g).is_some_and(|p| p.life == life) {
            self.next_token += 1;
            let t = Token(self.next_token);
            self.at(after, Event::Ask(g, t, Ask::Done(n, f)));
        }
    }

    /// Asks the edge which origins to probe, since their heartbeats do not arrive.
    pub(crate) fn probe(&mut self, g: Addr, life: u64) {
        if self.procs.get(&g).is_some_and(|p| p.life == life && p.part.is_some()) {
            self.next_token += 1;
            let t = Token(self.next_token);
            self.pending.insert(t, (g, crate::requests::Want::Probes, self.now));
            self.at(Span(0), Event::Ask(g, t, Ask::Probes));
            self.at(Span::ms(300), Event::Probe(g, life));
        }
    }

    /// Probes these origins and reports each result to the edge.
    pub(crate) fn probe_all(&mut self, g: Addr, all: Vec<Addr>) {
        let began = self.procs[&g].clock(self.now);
        for a in all {
            let observed = self.origins.get(&a).filter(|b| b.up);
            let observed = observed.map(|b| (b.svc.clone(), b.birth, b.mood == Mood::Serving));
            self.next_token += 1;
            let t = Token(self.next_token);
            self.at(Span::ms(3), Event::Ask(g, t, Ask::ProbeResult(a, observed, began)));
        }
    }
}
