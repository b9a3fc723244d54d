//! The cost of a claim or a comparison does not grow with the number of keys that a ledger
//! holds.
mod common;
use common::{addr, follow};
use control_state::*;
use ledger::{Kept, Ledger, LedgerEnv};
use primitives::{Birth, Mono, NodeId, Span, Version};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Keys of a quiet deployment, and of one with ten times the keys of a normal day.
const FEW_KEYS: u64 = 500;
const MANY_KEYS: u64 = 20_000;
/// Claims in one timed run, and the number of runs, of which the fastest counts.
const CLAIMS: u64 = 300;
const RUNS: u64 = 5;
/// Most times longer that a claim may take beside many keys than beside few. It took some 40
/// times as long when each claim scanned all keys.
const MAX_CLAIM_SLOWDOWN: u32 = 8;
const START: u64 = 1_000_000;

fn ledger() -> Ledger {
    ledger_with_compact_after_bytes(1 << 30)
}

fn ledger_with_compact_after_bytes(compact_after_bytes: usize) -> Ledger {
    let env = LedgerEnv {
        follow: follow(1),
        window: Span::secs(90),
        compact_after_bytes,
        log_form: ledger::LogForm::Compacted,
        room: 0,
        most: 1 << 30,
        boot: 1,
        max_content_bytes: usize::MAX,
        losses: 1,
        leave: control_state::LEAVE,
        minimal_outcome_copies: true,
    };
    Ledger::start(env, vec![Kept::Birth(Birth(7)), Kept::Open], 1, Mono(START), &mut vec![])
}

fn claim(ledger: &mut Ledger, now: Mono, n: u64) {
    let round = RoundId { node: NodeId(9), birth: Birth(1), n };
    let claim = Msg::Claim { key: format!("pay/k{n}"), print: Fingerprint([1; 32]), round, roll: Version(1) };
    let mut out = vec![];
    ledger.step(now, In::Msg(addr(5), claim), &mut out);
    let granted = |output: &Out| matches!(output, Out::Send(_, Msg::Claimed { said: Claimed::Granted, .. }));
    assert!(out.iter().any(granted), "claim {n} was not granted");
}

/// The fastest run of claims beside this number of keys.
fn claims_time(keys: u64) -> Duration {
    let mut ledger = ledger();
    (0..keys).for_each(|n| claim(&mut ledger, Mono(START), n));
    let timed = |ledger: &mut Ledger, run: u64| {
        let started = Instant::now();
        (0..CLAIMS).for_each(|n| claim(ledger, Mono(START + 1), keys + run * CLAIMS + n));
        started.elapsed()
    };
    (0..RUNS).map(|run| timed(&mut ledger, run)).min().expect("RUNS is not 0")
}

#[test]
fn given_many_keys_then_a_claim_takes_little_longer_than_with_few() {
    let (few, many) = (claims_time(FEW_KEYS), claims_time(MANY_KEYS));
    assert!(
        many < few * MAX_CLAIM_SLOWDOWN,
        "{CLAIMS} claims take {few:?} beside {FEW_KEYS} keys, {many:?} beside {MANY_KEYS}"
    );
}

#[test]
fn given_a_log_that_has_grown_then_its_compacted_state_holds_every_grant_and_outcome() {
    let mut ledger = ledger_with_compact_after_bytes(2_000);
    let mut base = None;
    for n in 0..60 {
        claim(&mut ledger, Mono(START + n), n);
        let round = RoundId { node: NodeId(9), birth: Birth(1), n };
        let (key, print) = (format!("pay/k{n}"), Fingerprint([1; 32]));
        let whole = Whole::new(200, "text/plain", vec![n as u8; 40]);
        let mut out = vec![];
        ledger.step(Mono(START + n), In::Msg(addr(5), Msg::Outcome { key, print, round, whole }), &mut out);
        ledger.step(Mono(START + n), In::Tick, &mut out);
        let last =
            out.into_iter()
                .rev()
                .find_map(|output| if let Out::Base(b) = output { Some((n, b)) } else { None });
        base = last.or(base);
    }
    let (last, record) = base.expect("no compacted state was written");
    let decoded = Kept::decode(&record).expect("the compacted state does not decode");
    let Kept::Whole(birth, open, _, grants, _) = &decoded else { panic!("{decoded:?}") };
    assert_eq!((*birth, *open, grants.len() as u64), (Birth(7), true, last + 1));
    assert!(grants.iter().all(|(.., whole)| whole.as_ref().is_some_and(|w| w.body.len() == 40)));
    assert_eq!(decoded.encode(), record, "the encoding differs from that of the decoded record");
}

/// Keys that two ledgers compare, and most times longer that a comparison may take where all of
/// them differ than where none does. It took 50 times as long when each range scanned all keys.
const COMPARED_KEYS: u64 = 6_000;
const MAX_COMPARISON_SLOWDOWN: u32 = 12;
/// When the grants are old enough to be compared.
const SETTLED_AT: Mono = Mono(START + 20_000_000);

/// The digests that this ledger sends to the other ledger of its set.
fn own_digests(ledger: &mut Ledger) -> Vec<u64> {
    let mut out = vec![];
    ledger.step(SETTLED_AT, In::Tick, &mut out);
    let to_other = out.into_iter().find_map(|output| match output {
        Out::Send(to, Msg::Digests(digests)) if to == addr(2) => Some(digests),
        _ => None,
    });
    to_other.expect("no digests were sent to the other ledger")
}

/// The ranges that the ledger sends in answer to these digests, with the bytes of each.
fn ranges_sent(ledger: &mut Ledger, now: Mono, digests: &[u64]) -> Vec<(u16, usize)> {
    let mut out = vec![];
    ledger.step(now, In::Msg(addr(2), Msg::Digests(digests.to_vec())), &mut out);
    let ranges = out.into_iter().flat_map(|output| match output {
        Out::Send(_, Msg::Ranges(ranges)) => ranges,
        _ => vec![],
    });
    ranges.map(|(range, held)| (range, held.iter().map(Held::size).sum())).collect()
}

fn comparison_time(ledger: &mut Ledger, digests: &[u64]) -> Duration {
    let mut timed = || {
        let started = Instant::now();
        ranges_sent(ledger, SETTLED_AT, digests);
        started.elapsed()
    };
    (0..RUNS).map(|_| timed()).min().expect("RUNS is not 0")
}

/// A ledger of a set of two with many keys, and its digests of them.
fn ledger_with_digests() -> (Ledger, Vec<u64>) {
    let mut ledger = common::ledger(1, 1, 1 << 30);
    ledger.step(Mono(START), In::Msg(addr(common::CONTROLLER), common::update()), &mut vec![]);
    (0..COMPARED_KEYS).for_each(|n| claim(&mut ledger, Mono(START), n));
    let digests = own_digests(&mut ledger);
    (ledger, digests)
}

#[test]
fn given_many_keys_that_all_differ_then_comparing_them_takes_little_longer_than_if_none_does() {
    let (mut ledger, equal) = ledger_with_digests();
    let differing: Vec<u64> = equal.iter().map(|d| !d).collect();
    let (none_differ, all_differ) =
        (comparison_time(&mut ledger, &equal), comparison_time(&mut ledger, &differing));
    assert!(
        all_differ < none_differ * MAX_COMPARISON_SLOWDOWN,
        "{none_differ:?} if none differs, {all_differ:?} if all do"
    );
}

#[test]
fn given_many_keys_that_all_differ_then_each_answer_is_bounded_and_all_ranges_are_sent_in_turn() {
    const MAX_BYTES: usize = 160 << 10;
    let (mut ledger, equal) = ledger_with_digests();
    assert_eq!(ranges_sent(&mut ledger, SETTLED_AT, &equal), []);
    let differing: Vec<u64> = equal.iter().map(|d| !d).collect();
    let mut ranges_seen = BTreeSet::new();
    for comparison in 0..12 {
        let now = SETTLED_AT + Span::secs(2 * comparison);
        let ranges = ranges_sent(&mut ledger, now, &differing);
        let bytes: usize = ranges.iter().map(|(_, bytes)| bytes).sum();
        assert!((1..MAX_BYTES).contains(&bytes), "{bytes} bytes in one answer");
        ranges_seen.extend(ranges.into_iter().map(|(range, _)| range));
    }
    assert_eq!(ranges_seen.len(), equal.len(), "not all ranges were sent");
}
