//! Who there is: a founded fleet whose controllers already hold it all, so that no time goes
//! into joining.
use crate::plan::*;
use caesar::Kid;
use control_state::*;
use controller::{Controller, ControllerEnv};
use edge::{Edge, EdgeEnv};
use ledger::{Ledger, LedgerEnv};
use primitives::{Addr, Birth, Mono, NodeId, Span, Version};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const LEASE: Span = Span::secs(10);
const WINDOW: Span = Span::secs(90);

/// What a process of the fleet runs.
pub(crate) enum Body3 {
    Controller(Box<Controller>),
    Edge(Box<Edge>),
    Ledger(Box<Ledger>),
    /// Says and hears what an edge does for its feeds and leases, and holds nothing.
    Thin(Box<Follow>),
}

impl Body3 {
    pub(crate) fn step(&mut self, now: Mono, i: In, out: &mut Vec<Out>) {
        match (self, i) {
            (Body3::Controller(k), i) => k.step(now, i, out),
            (Body3::Edge(g), i) => g.step(now, i, out),
            (Body3::Ledger(c), i) => c.step(now, i, out),
            (Body3::Thin(f), In::Tick) if f.due(now) => f.subscribe(now, &[], primitives::Epoch(0), out),
            (Body3::Thin(f), In::Msg(from, Msg::News(n))) => {
                f.on_news(from, &n, out);
                f.items.clear();
            }
            (Body3::Thin(_), _) => (),
        }
    }

    pub(crate) fn leased(&self, now: Mono) -> bool {
        match self {
            Body3::Edge(g) => g.leased(now),
            Body3::Thin(f) => f.leased(now),
            Body3::Controller(_) | Body3::Ledger(_) => true,
        }
    }
}

fn addr(net: u8, i: usize) -> Addr {
    let ip = Ipv4Addr::new(10, net, (i / 250) as u8, (i % 250 + 1) as u8);
    Addr(SocketAddr::new(IpAddr::V4(ip), 7101))
}

/// Two or three zones a region, as even as can be.
pub(crate) fn place(i: usize) -> (usize, usize) {
    let z = i % ZONES;
    (z % REGIONS, z)
}

fn zone(i: usize) -> Zone {
    let (r, z) = place(i);
    Zone(format!("region-{r:02}/zone-{z:02}"))
}

pub(crate) fn controller_addr(i: usize) -> Addr {
    addr(0, i)
}
pub(crate) fn node_addr(i: usize) -> Addr {
    addr(1, i)
}

/// The first nodes are ledgers, the rest edges.
pub(crate) fn role(p: &Plan, i: usize) -> Role {
    if i < p.ledgers() {
        Role::Ledger
    } else {
        Role::Edge
    }
}

fn birth(i: usize) -> Birth {
    Birth(1_000_000_007 * (i as u64 + 1))
}

pub(crate) fn svc(i: usize) -> Svc {
    Svc(format!("service-{i:04}"))
}
pub(crate) fn lane(i: usize) -> Lane {
    Lane(format!("lane-{i:04}"))
}
pub(crate) fn row(ceiling: u32) -> Row {
    Row { weight: 1, ceiling, rank: 3, kind: Kind::Read, ttl: Span::secs(60) }
}

pub(crate) fn beat(p: &Plan, i: usize) -> Beat {
    let (svc, zone) = (svc(i % p.services()), zone(i));
    Beat {
        svc,
        addr: addr(2, i),
        birth: birth(i),
        zone,
        cap: 256,
        occupancy: 7,
        mood: Mood::Serving,
        seq: 0,
        tag: String::new(),
    }
}

/// The state that the controllers' disks hold.
fn picture(p: &Plan) -> Picture {
    let member = |i| Member {
        kid: Kid(i as u16),
        addr: controller_addr(i),
        http: controller_addr(i),
        zone: zone(i),
        birth: birth(i),
    };
    let members: Vec<Member> = (0..CONTROLLERS).map(member).collect();
    let put = |k: Key, b: Body| (k, Item { ver: Version(1), body: Some(b) });
    let node = |i: usize| {
        let (a, z, birth) = (node_addr(i), zone(i), birth(i));
        let n = Node { role: role(p, i), addr: a, http: a, zone: z, birth, standing: Standing::Serving };
        put(Key::Node(NodeId(i as u64)), Body::Node(n))
    };
    let origin = |i: usize| {
        let b = beat(p, i);
        let o = Origin {
            svc: b.svc,
            birth: b.birth,
            zone: b.zone,
            cap: b.cap,
            tag: b.tag,
            standing: Standing::Serving,
        };
        put(Key::Origin(b.addr), Body::Origin(o))
    };
    let seat = |i: usize| Seat { id: NodeId(i as u64), addr: node_addr(i), zone: zone(i), birth: birth(i) };
    let mut seats: Vec<Seat> = (0..p.ledgers()).map(seat).collect();
    seats.sort();
    let rows = (0..p.services()).map(|i| put(Key::Row(lane(i), svc(i)), Body::Row(row(1_000_000))));
    let items = (0..p.nodes).map(node).chain((0..p.origins()).map(origin)).chain(rows);
    let items = items.chain([put(Key::Roll, Body::Roll(Roll { sets: vec![seats] }))]).collect();
    Picture { era: Era(1), members, next_kid: CONTROLLERS as u16, items, ..Picture::default() }
}

pub(crate) fn controllers(p: &Plan, now: Mono) -> Vec<(Body3, Vec<Out>)> {
    let pic = picture(p);
    let one = |i: usize| {
        let env = ControllerEnv {
            addr: controller_addr(i),
            http: controller_addr(i),
            zone: zone(i),
            seeds: (0..CONTROLLERS).filter(|k| *k != i).map(controller_addr).collect(),
            found: true,
            open: None,
            lease: LEASE,
            cut_at: 256,
            window: WINDOW,
            vanish: Span::secs(3),
            base_after: 128 << 18,
            room: 192 << 20,
            pace: caesar::Pace::default(),
        };
        let mut out = vec![];
        let kept = vec![controller::Kept::Base(birth(i), Box::new(pic.clone()))];
        let k = Controller::start(env, kept, i as u64 + 1, now, &mut out);
        (Body3::Controller(Box::new(k)), out)
    };
    (0..CONTROLLERS).map(one).collect()
}

/// A node as it starts; `whole` runs the real part.
pub(crate) fn node(p: &Plan, i: usize, whole: bool, now: Mono) -> (Body3, Vec<Out>) {
    let role = role(p, i);
    let follow = FollowEnv {
        id: NodeId(i as u64),
        role,
        addr: node_addr(i),
        http: node_addr(i),
        zone: zone(i),
        seeds: (0..3).map(|k| controller_addr((i + k) % CONTROLLERS)).collect(),
        birth: birth(i),
        life: i as u64 + 1,
        lease: LEASE,
        serve_on: false,
    };
    let mut out = vec![];
    let body = match (role, whole) {
        (Role::Ledger, _) => {
            let (base_after, room, most) = (128 << 18, 128 << 16, 20 << 20);
            let env = LedgerEnv {
                follow,
                window: WINDOW,
                base_after,
                room,
                most,
                boot: 1,
                losses: 1,
                leave: control_state::LEAVE,
                sparing: false,
            };
            let kept = vec![ledger::Kept::Birth(birth(i))];
            Body3::Ledger(Box::new(Ledger::start(env, kept, i as u64 + 1, now, &mut out)))
        }
        (_, false) => Body3::Thin(Box::new(Follow::new(follow))),
        (_, true) => Body3::Edge(Box::new(Edge::new(EdgeEnv {
            follow,
            fresh: Span::secs(1),
            patience: Span::secs(5),
            copies: 64 << 20,
            hands: (256, 1024),
            grace: Span::secs(1),
            losses: 1,
            stock: true,
            leave: control_state::LEAVE,
            policy: edge::EdgePolicy::default(),
        }))),
    };
    (body, out)
}
