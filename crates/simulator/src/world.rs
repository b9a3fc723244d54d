//! Virtual time: one queue of events, determined by one seed.
pub use crate::plan::Plan;
use crate::processes::Proc;
use crate::requests::{Exchange, Want};
use crate::rules::Rules;
use crate::stand_in_origins::StandInOrigin;
use control_state::*;
use primitives::{Addr, Mono, Span, Token};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// A scheduled event.
pub enum Event {
    Msg(Addr, Addr, Msg),
    Ask(Addr, Token, Ask),
    /// The caller of this request closes its connection.
    CallerGone(Addr, Token),
    Synced(Addr, u64, Vec<Out>),
    /// The disk of this process instance has read the records that a message lacks.
    Read(Addr, u64, Box<StoredMessage>, Vec<Option<Vec<u8>>>),
    Tick(Addr, u64),
    /// An origin request of an edge is sent; the number is the edge's process instance.
    Leave(Addr, u64, Round),
    /// The request arrives at the origin.
    Arrive(Addr, u64, Round),
    /// The origin answers: its incarnation and edition, and whether the answer gets through.
    Answer(Addr, u64, Round, (u64, u64), bool),
    OriginHeartbeat(Addr, u64),
    Probe(Addr, u64),
    /// An action that a test scheduled.
    Do(Box<dyn FnOnce(&mut World)>),
}

/// A simulated fleet with its origins, clients, network and virtual clock.
pub struct World {
    pub plan: Plan,
    pub now: Mono,
    pub rng: fastrand::Rng,
    pub procs: BTreeMap<Addr, Proc>,
    pub origins: BTreeMap<Addr, StandInOrigin>,
    /// Cut links, as (sender, receiver).
    pub cuts: BTreeSet<(Addr, Addr)>,
    pub rules: Rules,
    /// Requests without a reply: where they were sent, what, and when.
    pub pending: BTreeMap<Token, (Addr, Want, Mono)>,
    pub exchanges: Vec<Exchange>,
    /// Origins whose deregistration was acknowledged as in force.
    pub signed_off: BTreeSet<Addr>,
    /// Attempts that edges have abandoned.
    pub(crate) abandoned: BTreeSet<(Addr, u64)>,
    /// When each process last acknowledged an `OriginHeartbeat`.
    pub heartbeats_acknowledged: BTreeMap<Addr, Mono>,
    pub counts: BTreeMap<&'static str, u64>,
    /// Bytes of messages between processes; counted only where links are limited.
    pub bytes_between_regions: u64,
    pub bytes_between_zones: u64,
    pub next_token: u64,
    schedule: BinaryHeap<Reverse<(Mono, u64)>>,
    events: BTreeMap<u64, Event>,
    seq: u64,
}

impl World {
    pub fn empty(plan: Plan, seed: u64) -> World {
        World {
            plan,
            now: Mono(1_000_000),
            rng: fastrand::Rng::with_seed(seed),
            procs: BTreeMap::new(),
            origins: BTreeMap::new(),
            cuts: BTreeSet::new(),
            rules: Rules::default(),
            pending: BTreeMap::new(),
            exchanges: vec![],
            signed_off: BTreeSet::new(),
            abandoned: BTreeSet::new(),
            heartbeats_acknowledged: BTreeMap::new(),
            counts: BTreeMap::new(),
            bytes_between_regions: 0,
            bytes_between_zones: 0,
            next_token: 0,
            schedule: BinaryHeap::new(),
            events: BTreeMap::new(),
            seq: 0,
        }
    }

    /// Schedules an event.
    pub fn at(&mut self, after: Span, ev: Event) {
        self.seq += 1;
        self.schedule.push(Reverse((self.now + after, self.seq)));
        self.events.insert(self.seq, ev);
    }

    /// Schedules an action.
    pub fn later(&mut self, after: Span, f: impl FnOnce(&mut World) + 'static) {
        self.at(after, Event::Do(Box::new(f)));
    }

    /// Advances virtual time by `span` and handles all events up to then.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(Reverse((t, id))) = self.schedule.peek().copied().filter(|Reverse((t, _))| *t <= end) {
            self.schedule.pop();
            self.now = t;
            let ev = self.events.remove(&id).expect("queued with its id");
            self.handle(ev);
        }
        self.now = end;
    }

    /// Runs until `f` holds, for at most `limit`; returns whether it holds.
    pub fn until(&mut self, limit: Span, f: impl Fn(&World) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if f(self) {
                return true;
            }
            self.run(Span::ms(20));
        }
        f(self)
    }

    fn handle(&mut self, ev: Event) {
        // Events for a frozen process wait until it is thawed.
        let to = match &ev {
            Event::Msg(_, to, _) | Event::Ask(to, ..) | Event::Tick(to, _) | Event::Leave(to, ..) => {
                Some(*to)
            }
            Event::Synced(to, ..) | Event::Read(to, ..) | Event::Probe(to, _) | Event::CallerGone(to, _) => {
                Some(*to)
            }
            _ => None,
        };
        let frozen = to.and_then(|a| self.procs.get_mut(&a)).filter(|p| p.frozen);
        if let Some(p) = frozen {
            return p.parked.push(ev);
        }
        match ev {
            Event::Msg(from, to, m) => self.step(to, In::Msg(from, m)),
            Event::Ask(to, t, a) => self.step(to, In::Ask(t, a)),
            Event::Tick(a, life) => self.tick(a, life),
            Event::CallerGone(to, t) => self.step(to, In::CallerGone(t)),
            Event::Synced(a, life, batch) => self.synced(a, life, batch),
            Event::Read(a, life, message, records) => self.on_read(a, life, message, records),
            Event::Leave(g, life, r) => self.leave(g, life, r),
            Event::Arrive(g, life, r) => self.arrive(g, life, r),
            Event::Answer(g, life, r, of, whole) => self.answer(g, life, r, of, whole),
            Event::OriginHeartbeat(a, life) => self.send_origin_heartbeats(a, life),
            Event::Probe(a, life) => self.probe(a, life),
            Event::Do(f) => f(self),
        }
    }

    /// One-way delay between two addresses, with up to a quarter and 50 µs of jitter.
    pub fn distance(&mut self, a: Addr, b: Addr) -> Span {
        let zone = |x: Addr| {
            let p = self.procs.get(&x).map(|p| p.zone.clone());
            p.or(self.origins.get(&x).map(|b| b.zone.clone())).unwrap_or_default()
        };
        let (za, zb) = (zone(a), zone(b));
        let base = match (za == zb, za.region() == zb.region()) {
            (true, _) => self.plan.one_way_us[0],
            (_, true) => self.plan.one_way_us[1],
            _ => self.plan.one_way_us[2],
        };
        Span(base + self.rng.u64(0..base / 4 + 50))
    }

    /// Cuts the link between two addresses in both directions.
    pub fn cut(&mut self, a: Addr, b: Addr) {
        self.cuts.insert((a, b));
        self.cuts.insert((b, a));
    }

    /// Restores all cut links.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Cuts a set of processes off from all others (not from origins, callers or operators).
    pub fn isolate(&mut self, set: &[Addr]) {
        let all: Vec<Addr> = self.procs.keys().copied().collect();
        for a in set {
            for b in all.iter().filter(|b| !set.contains(b)) {
                self.cut(*a, *b);
            }
        }
    }

    /// Increments a named counter of the run.
    pub fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }
}
