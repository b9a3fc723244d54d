//! Stand-in origins, and the rounds that reach them.
use crate::people::who;
use crate::world::{Ev, World};
use control_state::*;
use primitives::{Addr, Birth, Mono, Span, Token};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct Bloom {
    pub svc: Svc,
    pub zone: Zone,
    pub birth: Birth,
    /// Down origins answer nothing and beat no more.
    pub up: bool,
    pub mood: Mood,
    pub work: Span,
    /// Runs the request and loses the answer.
    pub lose: f64,
    /// Hands out bytes that break off, or are not the right ones.
    pub cut: f64,
    pub wrong: f64,
    /// Since when it was known to be leaving or gone.
    pub left: Option<Mono>,
    pub in_hand: u32,
    /// Content's generation by path prefix "": grows when content changes.
    pub edition: u64,
    pub controller: usize,
    /// Requests it runs at once, and those that may wait for it; it refuses more. With
    /// no slots it takes all.
    pub slots: usize,
    pub queue: usize,
    /// Until when each slot is taken.
    pub taken: Vec<Mono>,
    /// Takes nothing at all.
    pub refuses: bool,
    /// Names its answers by their edition, says so if a copy still is what it has, and
    /// tags them.
    pub tags: bool,
    /// Its beats so far.
    pub seq: u64,
    pub hits: BTreeMap<String, u64>,
    /// What its answers say besides. An answer that is not public is made for its
    /// caller, and says for whom.
    pub heads: Headers,
}

impl World {
    pub fn bloom(&mut self, a: Addr, svc: &str, zone: &str) {
        let birth = Birth(self.rng.u64(1..1 << 40));
        let controller = self.rng.usize(0..4);
        let b = Bloom {
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
        };
        self.blooms.insert(a, b);
        self.at(Span::ms(1), Ev::OriginHeartbeat(a, birth.0));
    }

    pub(crate) fn beat(&mut self, a: Addr, life: u64) {
        let doors = self.doors();
        let Some(b) = self.blooms.get_mut(&a).filter(|b| b.up && b.birth.0 == life) else { return };
        let to = doors[b.controller % doors.len()];
        // Whoever does not take the beat is left for the next one.
        let deaf = self.procs[&to].frozen || self.procs[&to].part.is_none();
        if deaf {
            b.controller += 1;
        } else {
            self.say_beat(a, to);
        }
        self.at(Span::ms(200), Ev::OriginHeartbeat(a, life));
    }

    /// One beat as things are now, on its way.
    pub fn say_beat(&mut self, a: Addr, to: Addr) {
        let named = self.plan.open.is_some();
        let Some(b) = self.blooms.get_mut(&a) else { return };
        b.seq += named as u64;
        let beat = OriginHeartbeat {
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
        let last_word = b.mood.ends();
        self.next_token += 1;
        let t = Token(self.next_token);
        self.wants.insert(t, (to, crate::people::Want::OriginHeartbeat(a, last_word), self.now));
        let d = self.distance(a, to);
        self.at(d, Ev::Ask(to, t, Ask::OriginHeartbeat(beat, None)));
    }

    /// The executor's last look at the clock, then the bytes leave.
    pub(crate) fn leave(&mut self, g: Addr, life: u64, r: Round) {
        let live = self.procs.get(&g).filter(|p| p.life == life && p.part.is_some());
        let Some(clock) = live.map(|p| p.clock(self.now)) else { return };
        if clock >= r.until {
            return self.report(g, life, r.n, FetchOutcome::NotSent);
        }
        let d = self.distance(g, r.addr);
        self.at(d, Ev::Arrive(g, life, r));
    }

    pub(crate) fn arrive(&mut self, g: Addr, life: u64, r: Round) {
        let there = self.blooms.get(&r.addr).filter(|b| b.up).cloned();
        let Some(b) = there else {
            // Nobody there: the connection is given up after a while.
            return self.report_in(Span::ms(800), g, life, r.n, FetchOutcome::NotSent);
        };
        self.rules.reached(self.now, &b, &r);
        if b.birth != r.birth {
            // It reads for whom the request was meant, and refuses: nothing runs.
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
        self.blooms.entry(r.addr).and_modify(|b| {
            b.in_hand += 1;
            *b.hits.entry(path).or_default() += 1;
        });
        self.at(wait + b.work, Ev::Answer(g, life, r, (b.birth.0, b.edition), whole));
    }

    pub(crate) fn answer(&mut self, g: Addr, life: u64, r: Round, (birth, edition): (u64, u64), whole: bool) {
        let b = self.blooms.get_mut(&r.addr).filter(|b| b.up && b.birth.0 == birth);
        let Some(b) = b else { return self.report(g, life, r.n, FetchOutcome::Lost) };
        b.in_hand = b.in_hand.saturating_sub(1);
        let host = r.req.heads.get("host").unwrap_or_default();
        let name = format!("\"{host}{}-{edition}\"", r.req.path);
        if b.tags && r.req.heads.get("if-none-match") == Some(&name) {
            return self.unchanged(g, life, &r, edition);
        }
        // Whose answer, to what, of which edition, made when, and of which host if it was told one.
        let open = b.heads.get("cache-control").is_some_and(|c| c.contains("public"));
        let who = if open { String::new() } else { who(&r.req) };
        let body = format!("{}|{}|{}|{}|{who}|{host}", b.svc, r.req.path, edition, self.now.0);
        let body = body.trim_end_matches('|').as_bytes().to_vec();
        let mut heads = b.heads.clone().with("content-digest", digest(&body));
        if b.tags {
            // Its tag is the first word of the last part of its path.
            let last = r.req.path.rsplit('/').next().unwrap_or_default();
            heads.push("lanewing-tags", last.split('-').next().unwrap_or_default());
            heads.push("etag", name);
            // As much as "unchanged" says: copies under this tag are as new as this answer.
            self.rules.same(self.now, &r, edition);
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
        // The executor's own look at what came.
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
            self.at(after, Ev::Ask(g, t, Ask::Done(n, f)));
        }
    }

    /// The edge's own look at origins whose beats do not come through.
    pub(crate) fn probe(&mut self, g: Addr, life: u64) {
        if self.procs.get(&g).is_some_and(|p| p.life == life && p.part.is_some()) {
            self.next_token += 1;
            let t = Token(self.next_token);
            self.wants.insert(t, (g, crate::people::Want::Probes, self.now));
            self.at(Span(0), Ev::Ask(g, t, Ask::Probes));
            self.at(Span::ms(300), Ev::Probe(g, life));
        }
    }

    pub(crate) fn probe_all(&mut self, g: Addr, all: Vec<Addr>) {
        let began = self.procs[&g].clock(self.now);
        for a in all {
            let said = self.blooms.get(&a).filter(|b| b.up);
            let said = said.map(|b| (b.svc.clone(), b.birth, b.mood == Mood::Serving));
            self.next_token += 1;
            let t = Token(self.next_token);
            self.at(Span::ms(3), Ev::Ask(g, t, Ask::ProbeResult(a, said, began)));
        }
    }
}
