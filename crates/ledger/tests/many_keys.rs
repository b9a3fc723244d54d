//! What a claim costs does not grow with the keys that a ledger holds.
use control_state::*;
use ledger::{Kept, Ledger, LedgerEnv};
use primitives::{Addr, Birth, Mono, NodeId, Span, Version};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Keys of a quiet deployment, and of one of ten times the size of a day.
const FEW: u64 = 500;
const MANY: u64 = 20_000;
/// Claims that are timed, and how often, for the least of the times counts.
const CLAIMS: u64 = 300;
const RUNS: u64 = 5;
/// A claim among many keys may take so many times what one among few takes. It took some 40 times
/// as long when each claim looked through all keys.
const GROWTH: u32 = 8;
const START: u64 = 1_000_000;

fn addr(port: u16) -> Addr {
    Addr(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port))
}

fn ledger() -> Ledger {
    let follow = FollowEnv {
        id: NodeId(1),
        role: Role::Ledger,
        addr: addr(1),
        http: addr(2),
        zone: "a/b".into(),
        seeds: vec![addr(3)],
        birth: Birth(7),
        life: 1,
        lease: Span::secs(10),
        serve_on: false,
    };
    let env = LedgerEnv {
        follow,
        window: Span::secs(90),
        base_after: 1 << 30,
        room: 0,
        most: 1 << 30,
        boot: 1,
        losses: 1,
        leave: control_state::LEAVE,
        sparing: true,
    };
    Ledger::start(env, vec![Kept::Birth(Birth(7)), Kept::Open], 1, Mono(START), &mut vec![])
}

fn claim(ledger: &mut Ledger, now: Mono, n: u64) {
    let round = RoundId { node: NodeId(9), birth: Birth(1), n };
    let claim = Msg::Claim { key: format!("pay/k{n}"), print: Print([1; 32]), round, roll: Version(1) };
    let mut out = vec![];
    ledger.step(now, In::Msg(addr(5), claim), &mut out);
    let granted = |o: &Out| matches!(o, Out::Send(_, Msg::Claimed { said: Claimed::Granted, .. }));
    assert!(out.iter().any(granted), "claim {n} was not granted");
}

/// The least time that some claims take beside so many keys.
fn time_beside(keys: u64) -> Duration {
    let mut ledger = ledger();
    (0..keys).for_each(|n| claim(&mut ledger, Mono(START), n));
    let run = |ledger: &mut Ledger, run: u64| {
        let began = Instant::now();
        (0..CLAIMS).for_each(|n| claim(ledger, Mono(START + 1), keys + run * CLAIMS + n));
        began.elapsed()
    };
    (0..RUNS).map(|n| run(&mut ledger, n)).min().expect("some runs")
}

#[test]
fn given_many_keys_then_a_claim_takes_little_longer_than_beside_few() {
    let (few, many) = (time_beside(FEW), time_beside(MANY));
    assert!(many < few * GROWTH, "{CLAIMS} claims take {few:?} beside {FEW} keys, {many:?} beside {MANY}");
}
