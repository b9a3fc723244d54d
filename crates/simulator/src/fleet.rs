//! Construction of a fleet with fixed controllers, its origins and its table of routes.
use crate::processes::RoleProcess;
use crate::world::{Plan, World};
use control_state::*;
use primitives::{Addr, Birth, Mono, NodeId, Span};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Bytes of link capacity per answer, from which the capacity of an edge is computed.
const BYTES_AN_ANSWER: u64 = 24_000;

/// Port of a machine's controller.
const CONTROLLER_PORT: u16 = 1;

/// The address of a simulated process or origin.
pub fn addr(machine: u8, port: u16) -> Addr {
    Addr(SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, machine)), port))
}

/// A row of the table with weight 1 and rank 3.
pub fn row(ceiling: u32, kind: Kind, ttl: Span) -> Row {
    Row { weight: 1, ceiling, rank: 3, kind, ttl }
}

/// The addresses of the processes and origins of a fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub controllers: Vec<Addr>,
    pub edges: Vec<Addr>,
    pub ledgers: Vec<Addr>,
    /// Origins of the service `pages`.
    pub pages: Vec<Addr>,
    /// Origins of the service `desk`.
    pub desks: Vec<Addr>,
}

fn follower_env(id: u16, role: Role, a: Addr, zone: &str, seeds: &[Addr], plan: &Plan) -> FollowerEnv {
    FollowerEnv {
        id: NodeId(id as u64),
        role,
        addr: a,
        http: a,
        zone: zone.into(),
        seeds: seeds.to_vec(),
        birth: Birth(0),
        life: 0,
        capacity: plan.links.get(&a).map_or(1, |rate| (rate / BYTES_AN_ANSWER) as u32),
        lease: plan.lease,
        serve_without_lease: plan.serve_without_lease,
    }
}

impl World {
    /// Adds a controller without storage, which only forwards.
    pub fn add_diskless_controller(&mut self, a: Addr, zone: &str, seeds: Vec<Addr>) {
        let open = self.plan.open;
        self.plan.open = open.map(|o| controller::Open { keeps: false, ..o });
        self.add_controller(a, zone, seeds, false);
        self.plan.open = open;
    }

    /// Adds a controller that is down.
    pub fn add_controller(&mut self, a: Addr, zone: &str, seeds: Vec<Addr>, found: bool) {
        let env = controller::ControllerEnv {
            addr: a,
            http: a,
            zone: zone.into(),
            seeds,
            found,
            open: self.plan.open,
            lease: self.plan.lease,
            cut_at: self.plan.cut_at,
            window: self.plan.window,
            vanish: Span::secs(3),
            compact_after_bytes: 20_000,
            contact_by_echo: self.plan.contact_by_echo,
            room: self.plan.controller_room,
            pace: caesar::ReplicaConfig { initial_rtt: Span::ms(60), ..caesar::ReplicaConfig::default() },
        };
        // Only the first start of a controller is an initial start.
        let starts = std::cell::Cell::new(0);
        let boot = move |disk: Vec<Vec<u8>>, life: u64, now: Mono, out: &mut Vec<Out>| {
            let kept = disk.iter().filter_map(|b| controller::Kept::decode(b)).collect();
            starts.set(starts.get() + 1);
            let open = env.open.map(|o| controller::Open { initial: o.initial && starts.get() == 1, ..o });
            let env = controller::ControllerEnv { open, ..env.clone() };
            RoleProcess::Controller(Box::new(controller::Controller::start(env, kept, life, now, out)))
        };
        self.add(a, zone.into(), Role::Controller, Box::new(boot));
    }

    /// Adds an edge that is down.
    pub fn add_edge(&mut self, id: u16, a: Addr, zone: &str, seeds: &[Addr]) {
        let f = follower_env(id, Role::Edge, a, zone, seeds, &self.plan);
        let (hands, grace) = (self.plan.max_requests, self.plan.grace);
        let policy = self.plan.policy.clone();
        let (losses, disk_cache, copies) = (self.plan.losses, self.plan.disk_cache, self.plan.copies);
        let beside = Addr(SocketAddr::new(a.0.ip(), CONTROLLER_PORT));
        let controller = self.plan.open.map(|_| beside);
        let boot = move |_: Vec<Vec<u8>>, life: u64, _: Mono, _: &mut Vec<Out>| {
            let env = edge::EdgeEnv {
                follow: FollowerEnv { birth: Birth(life), life, ..f.clone() },
                fresh: Span::ms(1000),
                patience: Span::secs(5),
                copies,
                hands,
                grace,
                policy: policy.clone(),
                losses,
                disk_cache,
                leave: LEAVE,
                controller,
            };
            RoleProcess::Edge(Box::new(edge::Edge::new(env)))
        };
        self.add(a, zone.into(), Role::Edge, Box::new(boot));
    }

    /// Adds a ledger that is down.
    pub fn add_ledger(&mut self, id: u16, a: Addr, zone: &str, seeds: &[Addr]) {
        let f = follower_env(id, Role::Ledger, a, zone, seeds, &self.plan);
        let (window, losses) = (self.plan.window, self.plan.losses);
        let minimal_outcome_copies = self.plan.policy.near;
        let room = if self.plan.disk_cache { 1 << 17 } else { 0 };
        let trims = minimal_outcome_copies && room == 0;
        let (ledger_log, max_content_bytes) = (self.plan.ledger_log, self.plan.ledger_contents);
        let trimmed = ledger::LogForm::Trimmed { capacity: ledger_log };
        let log_form = if trims { trimmed } else { ledger::LogForm::Compacted };
        let boot = move |disk: Vec<Vec<u8>>, life: u64, now: Mono, out: &mut Vec<Out>| {
            let kept = disk.iter().filter_map(|b| ledger::Kept::decode(b)).collect();
            let follow = FollowerEnv { life, ..f.clone() };
            let (compact_after_bytes, most) = (1 << 18, if trims { ledger_log } else { 1 << 18 });
            let env = ledger::LedgerEnv {
                follow,
                window,
                compact_after_bytes,
                log_form,
                room,
                most,
                max_content_bytes,
                boot: 1,
                losses,
                leave: LEAVE,
                minimal_outcome_copies,
            };
            RoleProcess::Ledger(Box::new(ledger::Ledger::start(env, kept, life, now, out)))
        };
        self.add(a, zone.into(), Role::Ledger, Box::new(boot));
    }

    /// Four controllers with the edges and ledgers of the plan, none of them started.
    pub fn build_fleet(plan: Plan, seed: u64) -> (World, Fleet) {
        let mut w = World::empty(plan, seed);
        let z = w.plan.zones;
        let controllers: Vec<Addr> = (1..=4).map(|m| addr(m, 1)).collect();
        for (i, k) in controllers.iter().enumerate() {
            let seeds = controllers.iter().copied().filter(|o| o != k).collect();
            w.add_controller(*k, z[i], seeds, true);
        }
        let edges: Vec<Addr> = (0..w.plan.edges as u8).map(|i| addr(i + 1, 2)).collect();
        for (i, g) in edges.iter().enumerate() {
            w.add_edge(100 + i as u16, *g, z[i % 4], &controllers[..3]);
        }
        let ledgers: Vec<Addr> =
            [1, 2, 3, 4, 14, 15, 16, 17][..w.plan.ledgers].iter().map(|m| addr(*m, 3)).collect();
        for (i, c) in ledgers.iter().enumerate() {
            w.add_ledger(200 + i as u16, *c, z[[0, 1, 2, 3, 0, 2, 1, 3][i]], &controllers[1..]);
        }
        let pages = (0..3).map(|i| addr(50 + i, 80)).collect();
        let desks = (0..4).map(|i| addr(60 + i, 80)).collect();
        (w, Fleet { controllers, edges, ledgers, pages, desks })
    }

    /// Starts all processes that are down.
    pub fn start_all(&mut self) {
        let all: Vec<Addr> = self.procs.keys().copied().collect();
        all.into_iter().for_each(|a| self.start(a));
    }

    /// A fleet that serves: founded, its origins known and its table in force.
    pub fn running_fleet(plan: Plan, seed: u64) -> (World, Fleet) {
        let (mut w, f) = World::build_fleet(plan, seed);
        w.start_all();
        let z = w.plan.zones;
        f.pages.iter().enumerate().for_each(|(i, a)| w.add_origin(*a, "pages", z[i % 4]));
        f.desks.iter().enumerate().for_each(|(i, a)| w.add_origin(*a, "desk", z[i % 4]));
        let founded = |w: &World| f.ledgers.iter().all(|c| w.ledger(*c).is_some_and(|c| c.is_open()));
        assert!(w.until(Span::secs(20), founded), "the fleet was not founded");
        w.allow("read", "pages", 200, Span::secs(5));
        w.allow("ask", "desk", 400, Span(0));
        w.allow("pay", "desk", 400, Span(0));
        let k = f.controllers[0];
        w.set_row(k, "t1", "read", "pages", 0, row(200, Kind::Read, Span::secs(5)));
        w.set_row(k, "t2", "ask", "desk", 0, row(400, Kind::Plain, Span(0)));
        w.set_row(k, "t3", "pay", "desk", 0, row(400, Kind::Keyed, Span(0)));
        assert!(w.until(Span::secs(20), |w| w.changes().count() == 3), "the table was not accepted");
        w.run(Span::secs(1));
        (w, f)
    }

    /// Registers a row with the rules; must precede the change that sets it.
    pub fn allow(&mut self, lane: &str, svc: &str, ceiling: u32, ttl: Span) {
        self.rules.allowed.insert((lane.into(), svc.into()));
        self.rules.ceilings.insert(svc.into(), ceiling);
        self.rules.ttl.insert(lane.into(), ttl);
    }

    /// Checks, after each step of an edge, the configuration by which it would serve.
    pub(crate) fn check_edge(&mut self, a: Addr, served: bool) {
        let now = self.now;
        let Some(p) = self.procs.get(&a) else { return };
        let clock = p.clock(now);
        let Some(RoleProcess::Edge(g)) = &p.part else { return };
        // Checked whether or not the edge ought to serve.
        let items = g.items();
        let has = |k: &Key| items.get(k).map_or(primitives::Version(0), |it| it.ver);
        let detached = self.plan.serve_without_lease && !g.in_touch(clock);
        if detached {
            self.rules.detached.insert(a);
            self.rules.check_no_rollback(a, p.life, has);
        } else if g.leased(clock) || served {
            self.rules.detached.remove(&a);
            self.rules.check_effective(now, a, has);
        }
    }
}
