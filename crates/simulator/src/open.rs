//! Construction of an open deployment (no fixed list of controllers) with an operator's
//! configuration.
use crate::fleet::{addr, Fleet};
use crate::requests::{req, Want};
use crate::world::{Plan, World};
use control_state::*;
use primitives::{Addr, Span, Token, Version};

/// The only host of the initial configuration.
pub const HOST: &str = "a.example";

impl Plan {
    /// An open deployment: two machines in each of three zones, four of them with disks.
    pub fn open() -> Plan {
        let open = Some(controller::Open { initial: true, keeps: true, losses: 1 });
        let policy = edge::EdgePolicy {
            retry_credit_per_request: 0.12,
            saved: 5.0,
            home: primitives::Span::ms(100),
            near: true,
            wide_home_timeout: Span::ms(400),
            load_balanced: true,
            back: Some(Span::ms(120)),
            ..edge::EdgePolicy::default()
        };
        let zones = ["sicilia/a", "sicilia/b", "sicilia/c", "sicilia/a"];
        let lease = Span::ms(600);
        Plan {
            open,
            policy,
            zones,
            lease,
            edges: 6,
            disk_cache: false,
            serve_without_lease: true,
            ..Plan::trinacria()
        }
    }
}

/// A route of [`HOST`] whose path prefix is its name.
pub fn lane_entry(name: &str, kind: Kind, svc: &str, ttl: Span) -> LaneEntry {
    LaneEntry {
        host: HOST.into(),
        prefix: format!("/{name}/"),
        kind,
        timeout: Span::secs(5),
        aim: Span::secs(1),
        rank: 3,
        weights: vec![(svc.into(), 1000)],
        attempts: 3,
        ttl,
        said: String::new(),
    }
}

/// A service with at most `rate` requests per second; `None` is unlimited.
pub fn service_entry(rate: Option<u64>) -> ServiceEntry {
    ServiceEntry { health: "/".into(), connections: 64, dedups: false, rate, said: String::new() }
}

/// An edit of one entry; no body deletes it.
pub fn edit(section: Section, name: &str, ver: u64, body: Option<Body>) -> Edit {
    Edit::new(section, name, Version(ver), body)
}

/// An edit that sets a route.
pub fn lane_edit(name: &str, ver: u64, l: LaneEntry) -> Edit {
    edit(Section::Lanes, name, ver, Some(Body::Lane(l)))
}

/// A caller's request to the route of that name at [`HOST`].
pub fn hosted(method: &str, lane: &str, path: &str, key: Option<&str>) -> CallerRequest {
    let r = req(method, lane, &format!("/{lane}/{path}"), key);
    CallerRequest { host: Some(HOST.into()), ..r }
}

impl World {
    /// Sends a GET request.
    pub fn call(&mut self, edge: Addr, lane: &str, path: &str) -> Token {
        self.ask(edge, Want::Request(hosted("GET", lane, path, None)))
    }

    /// Sends a POST request with an idempotency key to the route `pay`.
    pub fn charge(&mut self, edge: Addr, path: &str, key: &str) -> Token {
        self.ask(edge, Want::Request(hosted("POST", "pay", path, Some(key))))
    }

    /// Sends edits of the configuration as one change.
    pub fn edit(&mut self, at: Addr, edits: Vec<Edit>) -> Token {
        self.ask(at, Want::Change(Change { id: None, op: Op::Edit(edits) }))
    }

    /// Sends a purge by page or tag.
    pub fn purge_by(&mut self, at: Addr, by: PurgeBy) -> Token {
        self.ask(at, Want::Change(Change { id: None, op: Op::PurgeBy(vec![by]) }))
    }

    /// Gives all origins of the service newer content from now on.
    pub fn revise(&mut self, svc: &str) {
        let now = self.now;
        let e = self.rules.editions.get(&Svc(svc.into())).map_or(1, |e| e.0) + 1;
        self.origins.values_mut().filter(|b| b.svc.0 == svc).for_each(|b| b.edition = e);
        self.rules.editions.insert(svc.into(), (e, now));
    }

    /// Machines 1 to 6, of which 1 and 5 have no disk; none is started.
    pub fn build_open_fleet(plan: Plan, seed: u64) -> (World, Fleet) {
        let mut w = World::empty(plan, seed);
        let seeds: Vec<Addr> = [1, 2, 3].map(|m| addr(m, 1)).to_vec();
        let zone = |w: &World, m: u8| w.plan.zones[(m as usize - 1) % 3];
        let (mut controllers, mut ledgers) = (vec![], vec![]);
        for m in 1..=6 {
            let z = zone(&w, m);
            if [1, 5].contains(&m) {
                w.add_diskless_controller(addr(m, 1), z, seeds.clone());
            } else {
                w.add_controller(addr(m, 1), z, seeds.clone(), false);
                w.add_ledger(200 + m as u16, addr(m, 3), z, &seeds);
                controllers.push(addr(m, 1));
                ledgers.push(addr(m, 3));
            }
        }
        let edges: Vec<Addr> = (1..=6).map(|m| addr(m, 2)).collect();
        for (g, m) in edges.iter().zip(1..) {
            let z = zone(&w, m);
            w.add_edge(100 + m as u16, *g, z, &seeds);
        }
        let pages = (0..3).map(|i| addr(50 + i, 80)).collect();
        let desks = (0..8).map(|i| addr(60 + i, 80)).collect();
        (w, Fleet { controllers, edges, ledgers, pages, desks })
    }

    /// A founded fleet with origins and the routes `read` (pages), `ask` and `pay` (desk).
    pub fn running_open_fleet(plan: Plan, seed: u64) -> (World, Fleet) {
        let (mut w, f) = World::build_open_fleet(plan, seed);
        w.start_all();
        let z = w.plan.zones;
        f.pages.iter().enumerate().for_each(|(i, a)| w.add_origin(*a, "pages", z[i % 3]));
        f.desks.iter().enumerate().for_each(|(i, a)| w.add_origin(*a, "desk", z[i % 3]));
        w.origins.values_mut().for_each(|b| b.tags = b.svc.0 == "pages");
        let founded = |w: &World| {
            let all = |k: &Addr| w.controller(*k).is_some_and(|k| k.state().members.len() == 4);
            f.ledgers.iter().all(|c| w.ledger(*c).is_some_and(|c| c.is_open()))
                && f.controllers.iter().all(all)
        };
        assert!(w.until(Span::secs(20), founded), "the fleet was not founded");
        w.allow("read", "pages", u32::MAX, Span::secs(5));
        w.allow("ask", "desk", u32::MAX, Span(0));
        w.allow("pay", "desk", u32::MAX, Span(0));
        let service = |n: &str| edit(Section::Services, n, 1, Some(Body::Service(service_entry(None))));
        let configuration = vec![
            service("pages"),
            service("desk"),
            lane_edit("read", 1, lane_entry("read", Kind::Read, "pages", Span::secs(5))),
            lane_edit("ask", 1, lane_entry("ask", Kind::Plain, "desk", Span(0))),
            lane_edit("pay", 1, lane_entry("pay", Kind::Keyed, "desk", Span(0))),
        ];
        // With fewer disks than the tolerated losses require, the first edit is delayed by a few seconds.
        let mut reply = None;
        for _ in 0..3 {
            let t = w.edit(f.edges[0], configuration.clone());
            assert!(
                w.until(Span::secs(20), |w| !w.pending.contains_key(&t)),
                "the configuration change was not answered"
            );
            reply = w.exchanges.last().map(|s| s.receipt.clone());
            if !matches!(reply, Some(NodeReply::Unavailable(_))) {
                break;
            }
        }
        assert!(
            matches!(reply, Some(NodeReply::Change(Verdict::Done(_)))),
            "the configuration change: {reply:?}"
        );
        w.run(Span::secs(1));
        (w, f)
    }
}
