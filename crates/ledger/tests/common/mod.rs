//! A single ledger, a ledger set of two, and an update from a controller.
#![allow(dead_code)]
use control_state::*;
use ledger::{Kept, Ledger, LedgerEnv};
use primitives::{Addr, Birth, Epoch, Mono, NodeId, Span, Version};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub fn addr(port: u16) -> Addr {
    Addr(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port))
}

pub const CONTROLLER: u16 = 9;

/// Settings by which the ledger at this port follows the controller.
pub fn follow(port: u16) -> FollowerEnv {
    FollowerEnv {
        id: NodeId(port as u64),
        role: Role::Ledger,
        addr: addr(port),
        http: addr(port),
        zone: "a/b".into(),
        seeds: vec![addr(CONTROLLER)],
        birth: Birth(0),
        life: 1,
        capacity: 1,
        lease: Span::secs(1000),
        serve_without_lease: false,
    }
}

/// Settings of a ledger at this port whose log is trimmed, with room for all that a test stores.
pub fn trimmed_env(port: u16) -> LedgerEnv {
    LedgerEnv {
        follow: follow(port),
        window: Span::secs(90),
        compact_after_bytes: 1 << 24,
        log_form: ledger::LogForm::Trimmed { capacity: 1 << 24 },
        room: 0,
        most: 1 << 24,
        boot: 1,
        max_content_bytes: usize::MAX,
        losses: 1,
        leave: control_state::LEAVE,
        minimal_outcome_copies: true,
    }
}

/// The ledger at this port, on a disk of this incarnation, with at most this many bytes of keys.
pub fn ledger(port: u16, birth: u64, max_key_bytes: usize) -> Ledger {
    let window = Span::secs(90);
    let env = LedgerEnv {
        follow: follow(port),
        window,
        compact_after_bytes: 1 << 24,
        log_form: ledger::LogForm::Compacted,
        room: 0,
        most: max_key_bytes,
        boot: 1,
        max_content_bytes: usize::MAX,
        losses: 1,
        leave: control_state::LEAVE,
        minimal_outcome_copies: false,
    };
    Ledger::start(env, vec![Kept::Birth(Birth(birth))], 1, Mono(0), &mut vec![])
}

/// An update with a ledger set of two, each with a disk of incarnation 1, and a lease.
pub fn update() -> Msg {
    let seat =
        |port: u16| Seat { id: NodeId(port as u64), addr: addr(port), zone: "a/b".into(), birth: Birth(1) };
    let ledger_sets = Roll { sets: vec![vec![seat(1), seat(2)]] };
    let controller = addr(CONTROLLER);
    let reply = Reply {
        ask: Mono(1),
        life: 1,
        member_id: Default::default(),
        lent: true,
        at: Some(Mono(1)),
        beats: vec![],
        slices: vec![],
        epoch: Epoch(0),
    };
    Msg::Update(Box::new(Update {
        feed: 1,
        from: 0,
        to: 1,
        full: true,
        items: vec![(Key::Roll, Item { ver: Version(1), body: Some(Body::Roll(ledger_sets)) })],
        announced: vec![],
        era: Era(1),
        members: vec![Member {
            member_id: Default::default(),
            addr: controller,
            http: controller,
            zone: "a/b".into(),
            birth: Birth(1),
        }],
        reply: Some(reply),
    }))
}

/// Delivers a message to the ledger; the messages that it sends.
pub fn step(ledger: &mut Ledger, now: Mono, from: u16, message: Msg) -> Vec<Msg> {
    let mut out = vec![];
    ledger.step(now, In::Msg(addr(from), message), &mut out);
    sent(out)
}

/// The messages among these outputs.
pub fn sent(out: Vec<Out>) -> Vec<Msg> {
    let message = |output| if let Out::Send(_, message) = output { Some(message) } else { None };
    out.into_iter().filter_map(message).collect()
}
