//! Simulated processes: a state machine with a disk and a clock, which can be killed, frozen
//! and restarted.
use crate::world::{Event, World};
use control_state::*;
use controller::Controller;
use edge::Edge;
use ledger::Ledger;
use primitives::{Addr, Mono, Span};
use std::collections::VecDeque;

/// The state machine of a process, by role.
pub enum RoleProcess {
    Controller(Box<Controller>),
    Edge(Box<Edge>),
    Ledger(Box<Ledger>),
}

impl RoleProcess {
    pub fn part(&mut self) -> &mut dyn Part {
        match self {
            RoleProcess::Controller(k) => &mut **k,
            RoleProcess::Edge(g) => &mut **g,
            RoleProcess::Ledger(c) => &mut **c,
        }
    }
}

type Boot = Box<dyn Fn(Vec<Vec<u8>>, u64, Mono, &mut Vec<Out>) -> RoleProcess>;

/// A process of the fleet, running or down.
pub struct Proc {
    pub zone: Zone,
    pub role: Role,
    /// Creates the state machine from the records on the disk.
    pub boot: Boot,
    /// `None` while the process is down.
    pub part: Option<RoleProcess>,
    /// Identifies this run of the process; 0 while it is down.
    pub life: u64,
    /// Records on the disk. Invariant: holds only what was synced.
    pub disk: Vec<Vec<u8>>,
    /// Records that were trimmed from the disk since the last start.
    pub trimmed_records: u64,
    /// Outputs that wait for the next sync, in order.
    pub outbox: VecDeque<Out>,
    pub syncing: bool,
    /// When its link has transmitted all messages queued so far.
    pub link_free: Mono,
    /// When its processor has handled all messages that have arrived.
    pub processor_free: Mono,
    /// Bytes sent to it; counted only where links are limited.
    pub bytes_to: u64,
    /// While set, no disk sync completes.
    pub stalled: bool,
    /// Added to the duration of each sync.
    pub slow: Span,
    pub frozen: bool,
    /// Events that arrived while the process was frozen.
    pub parked: Vec<Event>,
    /// Offset of its clock from virtual time, in microseconds.
    pub skew: u64,
    /// Rate of its clock in thousandths of virtual time.
    pub rate: u64,
}

impl Proc {
    /// The reading of this process's monotonic clock at virtual time `now`.
    pub fn clock(&self, now: Mono) -> Mono {
        Mono(self.skew + now.0 * self.rate / 1000)
    }
}

impl World {
    /// Adds a process that is down, with an empty disk.
    pub fn add(&mut self, a: Addr, zone: Zone, role: Role, boot: Boot) {
        let d = self.plan.drift;
        let p = Proc {
            zone,
            role,
            boot,
            part: None,
            life: 0,
            disk: vec![],
            trimmed_records: 0,
            outbox: VecDeque::new(),
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

    /// Starts a process that is down from what its disk holds.
    pub fn start(&mut self, a: Addr) {
        let life = self.rng.u64(1..1 << 40);
        let now = self.now;
        let Some(p) = self.procs.get_mut(&a).filter(|p| p.part.is_none()) else { return };
        p.life = life;
        p.syncing = false;
        p.frozen = false;
        p.parked.clear();
        p.outbox.clear();
        p.trimmed_records = 0;
        let mut out = vec![];
        let clock = p.clock(now);
        p.part = Some((p.boot)(p.disk.clone(), life, clock, &mut out));
        p.outbox.extend(out);
        let edge = p.role == Role::Edge;
        self.flush(a);
        self.at(Span::ms(10), Event::Tick(a, life));
        if edge {
            self.at(Span::ms(150), Event::Probe(a, life));
        }
    }

    /// `kill -9` or a power failure: what was not synced is lost.
    pub fn kill(&mut self, a: Addr) {
        if let Some(p) = self.procs.get_mut(&a) {
            p.part = None;
            p.life = 0;
        }
        // These requests will never be answered.
        self.pending.retain(|_, (at, ..)| *at != a);
    }

    /// Orderly stop: the process drains and ends once no request is in flight. Ending it while
    /// a request is still unanswered breaks a rule.
    pub fn stop(&mut self, a: Addr) {
        let life = self.procs.get(&a).map_or(0, |p| p.life);
        self.stop_on(a, life, 0);
    }

    fn stop_on(&mut self, a: Addr, life: u64, idle_checks: u32) {
        if self.procs.get(&a).is_none_or(|p| p.life != life || p.part.is_none()) {
            return;
        }
        let earlier = self.exchanges.len();
        self.ask(a, crate::requests::Want::Drain);
        self.later(Span::ms(50), move |w| {
            let reply = w.exchanges[earlier.min(w.exchanges.len())..]
                .iter()
                .rev()
                .find(|s| s.at == a && matches!(s.want, crate::requests::Want::Drain));
            let busy = reply.is_none_or(|s| match &s.receipt {
                NodeReply::Health(h) => h.in_hand > 0 || h.accepting_requests,
                _ => false,
            });
            // Requests of the last 20 ms were not yet sent to any origin.
            let late = |t: Mono| w.now - t > Span::ms(20);
            let open = w.pending.values().filter(|(at, q, t)| *at == a && q.request() && late(*t)).count();
            if busy || idle_checks < 3 {
                return w.stop_on(a, life, if busy { 0 } else { idle_checks + 1 });
            }
            if open > 0 {
                w.rules.violated(
                    "cut off by our own stop",
                    format!(
                        "{open} requests at {a}, such as {:?}",
                        w.pending.values().find(|(at, q, t)| *at == a && q.request() && late(*t))
                    ),
                );
            }
            w.count("orderly stops");
            w.kill(a);
        });
    }

    /// Erases the disk; the process should be down.
    pub fn wipe(&mut self, a: Addr) {
        self.procs.get_mut(&a).into_iter().for_each(|p| p.disk.clear());
    }

    /// Suspends the process; its events wait, its clock goes on.
    pub fn freeze(&mut self, a: Addr) {
        self.procs.get_mut(&a).into_iter().for_each(|p| p.frozen = true);
    }

    /// Resumes a frozen process, which then handles the events that waited.
    pub fn thaw(&mut self, a: Addr) {
        let parked = self.procs.get_mut(&a).map(|p| {
            p.frozen = false;
            std::mem::take(&mut p.parked)
        });
        parked.into_iter().flatten().for_each(|e| self.at(Span(1), e));
    }

    /// Lets the syncs of a stalled disk complete.
    pub fn unstall(&mut self, a: Addr) {
        self.procs.get_mut(&a).into_iter().for_each(|p| p.stalled = false);
    }

    pub(crate) fn tick(&mut self, a: Addr, life: u64) {
        if self.procs.get(&a).is_some_and(|p| p.life == life && p.part.is_some()) {
            self.step(a, In::Tick);
            self.at(Span::ms(10), Event::Tick(a, life));
        }
    }

    /// The addresses of all processes of a role, running or down.
    pub fn of(&self, r: Role) -> Vec<Addr> {
        self.procs.iter().filter(|(_, p)| p.role == r).map(|(a, _)| *a).collect()
    }

    /// The controller at `a`, if it is running.
    pub fn controller(&self, a: Addr) -> Option<&Controller> {
        match self.procs.get(&a)?.part.as_ref()? {
            RoleProcess::Controller(k) => Some(k),
            _ => None,
        }
    }

    /// The edge at `a`, if it is running.
    pub fn edge(&self, a: Addr) -> Option<&Edge> {
        match self.procs.get(&a)?.part.as_ref()? {
            RoleProcess::Edge(g) => Some(g),
            _ => None,
        }
    }

    /// The ledger at `a`, if it is running.
    pub fn ledger(&self, a: Addr) -> Option<&Ledger> {
        match self.procs.get(&a)?.part.as_ref()? {
            RoleProcess::Ledger(c) => Some(c),
            _ => None,
        }
    }
}
