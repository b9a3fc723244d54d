//! Virtual time: one queue of events, from one seed.
use crate::field::Bloom;
use crate::people::{Seen, Want};
pub use crate::plan::Plan;
use crate::procs::Proc;
use crate::rules::Rules;
use control_state::*;
use primitives::{Addr, Mono, Span, Token};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub enum Ev {
    Msg(Addr, Addr, Msg),
    Ask(Addr, Token, Ask),
    Synced(Addr, u64, Vec<Out>),
    Tick(Addr, u64),
    /// A round of that edge's life leaves, arrives, is answered, comes back.
    Leave(Addr, u64, Round),
    Arrive(Addr, u64, Round),
    /// Of which life and edition, and whether it gets through.
    Answer(Addr, u64, Round, (u64, u64), bool),
    OriginHeartbeat(Addr, u64),
    Probe(Addr, u64),
    /// Something a story wants done then.
    Do(Box<dyn FnOnce(&mut World)>),
}

pub struct World {
    pub plan: Plan,
    pub now: Mono,
    pub rng: fastrand::Rng,
    pub procs: BTreeMap<Addr, Proc>,
    pub blooms: BTreeMap<Addr, Bloom>,
    /// One-way cuts.
    pub cuts: BTreeSet<(Addr, Addr)>,
    pub rules: Rules,
    pub wants: BTreeMap<Token, (Addr, Want, Mono)>,
    pub seen: Vec<Seen>,
    /// Origins whose word of leaving was answered as in force.
    pub signed_off: BTreeSet<Addr>,
    /// Whoever acknowledged a beat: when that was last told.
    pub beats_taken: BTreeMap<Addr, Mono>,
    pub counts: BTreeMap<&'static str, u64>,
    /// Of messages between processes, where links are limited.
    pub bytes_between_regions: u64,
    pub bytes_between_zones: u64,
    pub next_token: u64,
    heap: BinaryHeap<Reverse<(Mono, u64)>>,
    evs: BTreeMap<u64, Ev>,
    seq: u64,
}

impl World {
    pub fn empty(plan: Plan, seed: u64) -> World {
        World {
            plan,
            now: Mono(1_000_000),
            rng: fastrand::Rng::with_seed(seed),
            procs: BTreeMap::new(),
            blooms: BTreeMap::new(),
            cuts: BTreeSet::new(),
            rules: Rules::default(),
            wants: BTreeMap::new(),
            seen: vec![],
            signed_off: BTreeSet::new(),
            beats_taken: BTreeMap::new(),
            counts: BTreeMap::new(),
            bytes_between_regions: 0,
            bytes_between_zones: 0,
            next_token: 0,
            heap: BinaryHeap::new(),
            evs: BTreeMap::new(),
            seq: 0,
        }
    }

    pub fn at(&mut self, after: Span, ev: Ev) {
        self.seq += 1;
        self.heap.push(Reverse((self.now + after, self.seq)));
        self.evs.insert(self.seq, ev);
    }

    /// Does something later.
    pub fn later(&mut self, after: Span, f: impl FnOnce(&mut World) + 'static) {
        self.at(after, Ev::Do(Box::new(f)));
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(Reverse((t, id))) = self.heap.peek().copied().filter(|Reverse((t, _))| *t <= end) {
            self.heap.pop();
            self.now = t;
            let ev = self.evs.remove(&id).expect("queued with its id");
            self.handle(ev);
        }
        self.now = end;
    }

    /// Runs until it holds, at most so long; false if it never did.
    pub fn until(&mut self, most: Span, f: impl Fn(&World) -> bool) -> bool {
        let end = self.now + most;
        while self.now < end {
            if f(self) {
                return true;
            }
            self.run(Span::ms(20));
        }
        f(self)
    }

    fn handle(&mut self, ev: Ev) {
        // What reaches a frozen process waits until it thaws.
        let to = match &ev {
            Ev::Msg(_, to, _) | Ev::Ask(to, ..) | Ev::Tick(to, _) | Ev::Leave(to, ..) => Some(*to),
            Ev::Synced(to, ..) | Ev::Probe(to, _) => Some(*to),
            _ => None,
        };
        let frozen = to.and_then(|a| self.procs.get_mut(&a)).filter(|p| p.frozen);
        if let Some(p) = frozen {
            return p.parked.push(ev);
        }
        match ev {
            Ev::Msg(from, to, m) => self.step(to, In::Msg(from, m)),
            Ev::Ask(to, t, a) => self.step(to, In::Ask(t, a)),
            Ev::Tick(a, life) => self.tick(a, life),
            Ev::Synced(a, life, batch) => self.synced(a, life, batch),
            Ev::Leave(g, life, r) => self.leave(g, life, r),
            Ev::Arrive(g, life, r) => self.arrive(g, life, r),
            Ev::Answer(g, life, r, of, whole) => self.answer(g, life, r, of, whole),
            Ev::OriginHeartbeat(a, life) => self.beat(a, life),
            Ev::Probe(a, life) => self.probe(a, life),
            Ev::Do(f) => f(self),
        }
    }

    /// One-way time between two addresses, with a little jitter.
    pub fn distance(&mut self, a: Addr, b: Addr) -> Span {
        let zone = |x: Addr| {
            let p = self.procs.get(&x).map(|p| p.zone.clone());
            p.or(self.blooms.get(&x).map(|b| b.zone.clone())).unwrap_or_default()
        };
        let (za, zb) = (zone(a), zone(b));
        let base = match (za == zb, za.region() == zb.region()) {
            (true, _) => self.plan.away[0],
            (_, true) => self.plan.away[1],
            _ => self.plan.away[2],
        };
        Span(base + self.rng.u64(0..base / 4 + 50))
    }

    pub fn cut(&mut self, a: Addr, b: Addr) {
        self.cuts.insert((a, b));
        self.cuts.insert((b, a));
    }
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Cuts a set of addresses off from all others (not from origins or people).
    pub fn isolate(&mut self, set: &[Addr]) {
        let all: Vec<Addr> = self.procs.keys().copied().collect();
        for a in set {
            for b in all.iter().filter(|b| !set.contains(b)) {
                self.cut(*a, *b);
            }
        }
    }

    pub fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }
}
