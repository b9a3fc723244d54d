//! Processes: parts with a disk, a clock and the power to die.
use crate::world::{Ev, World};
use control_state::*;
use controller::Controller;
use edge::Edge;
use ledger::Ledger;
use primitives::{Addr, Mono, Span};
use std::collections::VecDeque;

pub enum Role3 {
    Controller(Box<Controller>),
    Edge(Box<Edge>),
    Ledger(Box<Ledger>),
}

impl Role3 {
    pub fn part(&mut self) -> &mut dyn Part {
        match self {
            Role3::Controller(k) => &mut **k,
            Role3::Edge(g) => &mut **g,
            Role3::Ledger(c) => &mut **c,
        }
    }
}

type Boot = Box<dyn Fn(Vec<Vec<u8>>, u64, Mono, &mut Vec<Out>) -> Role3>;

pub struct Proc {
    pub zone: Zone,
    pub role: Role,
    pub boot: Boot,
    /// None while it is down.
    pub part: Option<Role3>,
    pub life: u64,
    /// Invariant: holds only what was synced.
    pub disk: Vec<Vec<u8>>,
    pub line: VecDeque<Out>,
    pub syncing: bool,
    /// When its link is free again.
    pub link_free: Mono,
    /// When its processor is free again.
    pub processor_free: Mono,
    /// Bytes sent to it, where links are limited.
    pub bytes_to: u64,
    /// The disk does not come back from a sync while this is set.
    pub stalled: bool,
    /// What each sync takes over the plan's.
    pub slow: Span,
    pub frozen: bool,
    pub parked: Vec<Ev>,
    /// Its clock: where it started, and how fast it runs in thousandths.
    pub skew: u64,
    pub rate: u64,
}

impl Proc {
    /// This process's own monotonic clock.
    pub fn clock(&self, now: Mono) -> Mono {
        Mono(self.skew + now.0 * self.rate / 1000)
    }
}

impl World {
    pub fn add(&mut self, a: Addr, zone: Zone, role: Role, boot: Boot) {
        let d = self.plan.drift;
        let p = Proc {
            zone,
            role,
            boot,
            part: None,
            life: 0,
            disk: vec![],
            line: VecDeque::new(),
            syncing: false,
            link_free: Mono(0),
            processor_free: Mono(0),
            bytes_to: 0,
            stalled: false,
            slow: Span(0),
            frozen: false,
            parked: vec![],
            skew: self.rng.u64(0..1_000_000_000),
            rate: 1000 - d + self.rng.u64(0..=2 * d),
        };
        self.procs.insert(a, p);
    }

    /// Starts it on whatever its disk holds.
    pub fn start(&mut self, a: Addr) {
        let life = self.rng.u64(1..1 << 40);
        let now = self.now;
        let Some(p) = self.procs.get_mut(&a).filter(|p| p.part.is_none()) else { return };
        p.life = life;
        p.syncing = false;
        p.frozen = false;
        p.parked.clear();
        p.line.clear();
        let mut out = vec![];
        let clock = p.clock(now);
        p.part = Some((p.boot)(p.disk.clone(), life, clock, &mut out));
        p.line.extend(out);
        let edge = p.role == Role::Edge;
        self.flush(a);
        self.at(Span::ms(10), Ev::Tick(a, life));
        if edge {
            self.at(Span::ms(150), Ev::Probe(a, life));
        }
    }

    /// kill -9, or the power going: what was not synced is gone.
    pub fn kill(&mut self, a: Addr) {
        if let Some(p) = self.procs.get_mut(&a) {
            p.part = None;
            p.life = 0;
        }
        // Nobody will answer these any more.
        self.wants.retain(|_, (at, ..)| *at != a);
    }

    /// As a process stops that is told to: it drains, and ends once nothing is in hand.
    /// Whoever it leaves without an answer then was cut off by us.
    pub fn stop(&mut self, a: Addr) {
        let life = self.procs.get(&a).map_or(0, |p| p.life);
        self.stop_on(a, life, 0);
    }

    fn stop_on(&mut self, a: Addr, life: u64, calm: u32) {
        if self.procs.get(&a).is_none_or(|p| p.life != life || p.part.is_none()) {
            return;
        }
        let seen = self.seen.len();
        self.ask(a, crate::people::Want::Drain);
        self.later(Span::ms(50), move |w| {
            let said = w.seen[seen.min(w.seen.len())..]
                .iter()
                .rev()
                .find(|s| s.at == a && matches!(s.want, crate::people::Want::Drain));
            let busy = said.is_none_or(|s| match &s.receipt {
                NodeReply::Health(h) => h.in_hand > 0 || h.accepting_requests,
                _ => false,
            });
            // What came in the last moment was never sent anywhere.
            let late = |t: Mono| w.now - t > Span::ms(20);
            let open = w.wants.values().filter(|(at, q, t)| *at == a && q.request() && late(*t)).count();
            if busy || calm < 3 {
                return w.stop_on(a, life, if busy { 0 } else { calm + 1 });
            }
            if open > 0 {
                w.rules.broke(
                    "cut off by our own stop",
                    format!(
                        "{open} requests at {a}, such as {:?}",
                        w.wants.values().find(|(at, q, t)| *at == a && q.request() && late(*t))
                    ),
                );
            }
            w.count("orderly stops");
            w.kill(a);
        });
    }

    pub fn wipe(&mut self, a: Addr) {
        self.procs.get_mut(&a).into_iter().for_each(|p| p.disk.clear());
    }

    pub fn freeze(&mut self, a: Addr) {
        self.procs.get_mut(&a).into_iter().for_each(|p| p.frozen = true);
    }

    pub fn thaw(&mut self, a: Addr) {
        let evs = self.procs.get_mut(&a).map(|p| {
            p.frozen = false;
            std::mem::take(&mut p.parked)
        });
        evs.into_iter().flatten().for_each(|e| self.at(Span(1), e));
    }

    pub fn unstall(&mut self, a: Addr) {
        self.procs.get_mut(&a).into_iter().for_each(|p| p.stalled = false);
    }

    pub(crate) fn tick(&mut self, a: Addr, life: u64) {
        if self.procs.get(&a).is_some_and(|p| p.life == life && p.part.is_some()) {
            self.step(a, In::Tick);
            self.at(Span::ms(10), Ev::Tick(a, life));
        }
    }

    pub fn of(&self, r: Role) -> Vec<Addr> {
        self.procs.iter().filter(|(_, p)| p.role == r).map(|(a, _)| *a).collect()
    }

    pub fn controller(&self, a: Addr) -> Option<&Controller> {
        match self.procs.get(&a)?.part.as_ref()? {
            Role3::Controller(k) => Some(k),
            _ => None,
        }
    }
    pub fn edge(&self, a: Addr) -> Option<&Edge> {
        match self.procs.get(&a)?.part.as_ref()? {
            Role3::Edge(g) => Some(g),
            _ => None,
        }
    }
    pub fn ledger(&self, a: Addr) -> Option<&Ledger> {
        match self.procs.get(&a)?.part.as_ref()? {
            Role3::Ledger(c) => Some(c),
            _ => None,
        }
    }
}
