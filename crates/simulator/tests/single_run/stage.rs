//! What the search starts from: the control state that two edges and three ledgers hold.
use control_state::*;
use edge::{Edge, EdgeEnv, EdgePolicy};
use ledger::{Kept, Ledger, LedgerEnv};
use primitives::{Addr, Birth, Epoch, Mono, NodeId, Span, Version};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub const LEDGERS: usize = 3;
pub const EDGES: usize = 2;
const CONTROLLER: usize = 9;
const ORIGIN: usize = 8;
const LONG: Span = Span::secs(100_000);
pub const WINDOW: Span = Span::secs(90);

/// Processes 0 to 2 are ledgers, 3 and 4 edges.
pub fn addr(process: usize) -> Addr {
    Addr(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), process as u16 + 1))
}

fn follow(process: usize, role: Role, birth: u64) -> FollowerEnv {
    FollowerEnv {
        id: NodeId(process as u64 + 1),
        role,
        addr: addr(process),
        http: addr(process),
        zone: "a/b".into(),
        seeds: vec![addr(CONTROLLER)],
        birth: Birth(birth),
        life: birth,
        capacity: 1,
        lease: LONG,
        serve_without_lease: false,
    }
}

/// A ledger on what its disk holds. `forgetful`: a new disk grants at once.
pub fn ledger(process: usize, disk: &[Vec<u8>], life: u64, now: Mono, forgetful: bool) -> (Ledger, Vec<Out>) {
    let mut kept: Vec<Kept> = disk.iter().filter_map(|b| Kept::decode(b)).collect();
    if forgetful && kept.is_empty() {
        kept = vec![Kept::Birth(Birth(life)), Kept::Open];
    }
    let env = LedgerEnv {
        follow: FollowerEnv { life, ..follow(process, Role::Ledger, 0) },
        window: WINDOW,
        compact_after_bytes: 1 << 24,
        log_form: ledger::LogForm::Compacted,
        room: 0,
        most: 1 << 20,
        boot: 1,
        max_content_bytes: usize::MAX,
        losses: 1,
        leave: LEAVE,
        minimal_outcome_copies: false,
    };
    let mut out = vec![];
    let mut l = Ledger::start(env, kept, life, now, &mut out);
    l.step(now, In::Msg(addr(CONTROLLER), news(life, now)), &mut out);
    (l, out)
}

pub fn edge(process: usize, now: Mono) -> Edge {
    let life = process as u64 + 100;
    let mut e = Edge::new(EdgeEnv {
        follow: follow(process, Role::Edge, life),
        fresh: LONG,
        patience: LONG,
        copies: 1 << 10,
        hands: (16, 16),
        grace: Span::secs(1),
        losses: 1,
        disk_cache: false,
        leave: LEAVE,
        controller: None,
        policy: EdgePolicy::default(),
    });
    e.step(now, In::Msg(addr(CONTROLLER), news(life, now)), &mut vec![]);
    e
}

fn entry() -> LaneEntry {
    LaneEntry {
        host: "h".into(),
        prefix: "/".into(),
        kind: Kind::Keyed,
        timeout: LONG,
        aim: LONG,
        rank: 1,
        weights: vec![("desk".into(), 1)],
        attempts: 1,
        ttl: Span(0),
        said: String::new(),
    }
}

/// All there is, under a lease that outlasts the search.
fn news(life: u64, now: Mono) -> Msg {
    let seat =
        |p: usize| Seat { id: NodeId(p as u64 + 1), addr: addr(p), zone: "a/b".into(), birth: Birth(1) };
    let service =
        ServiceEntry { health: "/".into(), connections: 9, dedups: false, rate: None, said: String::new() };
    let (svc, zone, birth): (Svc, Zone, Birth) = ("desk".into(), "a/b".into(), Birth(7));
    let origin = Origin {
        svc: svc.clone(),
        birth,
        zone: zone.clone(),
        cap: 9,
        tag: String::new(),
        standing: Standing::Serving,
    };
    let beat = OriginHeartbeat {
        svc,
        addr: addr(ORIGIN),
        birth,
        zone: zone.clone(),
        cap: 9,
        occupancy: 0,
        mood: Mood::Serving,
        seq: 1,
        tag: String::new(),
    };
    let item = |b: Body| Item { ver: Version(1), body: Some(b) };
    let items = vec![
        (Key::Roll, item(Body::Roll(Roll { sets: vec![(0..LEDGERS).map(seat).collect()] }))),
        (Key::Entry(Section::Lanes, "pay".into()), item(Body::Lane(entry()))),
        (Key::Entry(Section::Services, "desk".into()), item(Body::Service(service))),
        (Key::Origin(addr(ORIGIN)), item(Body::Origin(origin))),
    ];
    let reply = Reply {
        ask: now,
        life,
        member_id: Default::default(),
        lent: true,
        at: Some(Mono(1)),
        beats: vec![(beat, Span(0))],
        slices: vec![],
        epoch: Epoch(0),
    };
    let a = addr(CONTROLLER);
    let member = Member { member_id: Default::default(), addr: a, http: a, zone, birth: Birth(1) };
    Msg::Update(Box::new(Update {
        feed: 1,
        from: 0,
        to: 1,
        full: true,
        items,
        announced: vec![],
        era: Era(1),
        members: vec![member],
        reply: Some(reply),
    }))
}

/// The one request, as its caller sends it to whichever edge.
pub fn request() -> CallerRequest {
    CallerRequest {
        method: "POST".into(),
        host: Some("h".into()),
        path: "/sum".into(),
        key: Some("k1".into()),
        ..CallerRequest::default()
    }
}
