//! What a ledger hands over when it leaves in order.
mod common;
use common::*;
use control_state::*;
use ledger::{Kept, Ledger};
use primitives::{Birth, Mono, NodeId, Span, Version};

const KEYS: u64 = 40;
const BODY_BYTES: usize = 5_000;

/// A ledger of a set of two that stores outcomes at few ledgers.
fn member() -> Ledger {
    let env = trimmed_env(1);
    let mut member = Ledger::start(env, vec![Kept::Birth(Birth(1)), Kept::Open], 1, Mono(1), &mut vec![]);
    step(&mut member, Mono(1), CONTROLLER, update_with_nodes());
    member
}

/// The update of the ledger set, with both ledgers registered.
fn update_with_nodes() -> Msg {
    let Msg::Update(mut update) = update() else { unreachable!("it is an update") };
    for port in [1, 2] {
        let node = Node {
            role: Role::Ledger,
            addr: addr(port),
            http: addr(port),
            zone: "a/b".into(),
            birth: Birth(1),
            standing: Standing::Serving,
            capacity: 1,
        };
        let item = Item { ver: Version(1), body: Some(Body::Node(node)) };
        update.items.push((Key::Node(NodeId(port as u64)), item));
    }
    Msg::Update(update)
}

/// The records that the ledger hands over when it leaves after this time.
fn handed_over(holders: &[u16], after: Span) -> Vec<Held> {
    let mut member = member();
    let holders: Vec<Holder> =
        holders.iter().map(|port| Holder { addr: addr(*port), birth: Birth(1) }).collect();
    for n in 0..KEYS {
        let (key, print) = (format!("pay/k{n}"), Fingerprint([1; 32]));
        let round = RoundId { node: NodeId(9), birth: Birth(1), n };
        let whole = Whole::new(200, "", vec![1; BODY_BYTES]).with_holders(&holders);
        step(&mut member, Mono(2), 5, Msg::Claim { key: key.clone(), print, round, roll: Version(1) });
        step(&mut member, Mono(2), 5, Msg::Outcome { key, print, round, whole });
    }
    let mut out = vec![];
    member.step(Mono(3_000_000), In::Tick, &mut out);
    let mut out = vec![];
    member.step(Mono(2) + after, In::Ask(primitives::Token(1), Ask::Drain), &mut out);
    let handed_over = |message| if let Msg::HandOver { held, .. } = message { held } else { vec![] };
    sent(out).into_iter().flat_map(handed_over).collect()
}

// Guards against a planned restart that sends a whole window of outcomes to ledgers of every zone, though
// another ledger of each key holds them too.
#[test]
fn given_outcomes_that_another_ledger_holds_then_a_leaving_ledger_hands_over_their_grants_only() {
    let held = handed_over(&[1, 2], Span::secs(20));
    assert_eq!(held.len() as u64, KEYS);
    assert!(held.iter().all(|record| record.whole.is_none()), "outcomes were sent that are held elsewhere");
}

#[test]
fn given_outcomes_that_it_alone_holds_or_that_may_be_on_their_way_then_it_hands_them_over() {
    for (holders, after) in [(vec![1], 20), (vec![1, 3], 20), (vec![1, 2], 5)] {
        let held = handed_over(&holders, Span::secs(after));
        assert_eq!(held.iter().filter(|record| record.whole.is_some()).count() as u64, KEYS, "{holders:?}");
    }
}

fn claim(member: &mut Ledger, now: Mono, key: &str, n: u64) {
    let print = Fingerprint([1; 32]);
    step(member, now, 5, Msg::Claim { key: key.into(), print, round: round(n), roll: Version(1) });
}

fn outcome(member: &mut Ledger, now: Mono, key: &str, n: u64) {
    let whole = Whole::new(200, "", vec![1; BODY_BYTES]);
    let print = Fingerprint([1; 32]);
    step(member, now, 5, Msg::Outcome { key: key.into(), print, round: round(n), whole });
}

fn round(n: u64) -> RoundId {
    RoundId { node: NodeId(9), birth: Birth(1), n }
}

/// The pages that the ledger sends with a tick, or when it is told to leave.
fn pages(member: &mut Ledger, now: Mono, input: In) -> Vec<(u64, Vec<Held>)> {
    let mut out = vec![];
    member.step(now, input, &mut out);
    let page = |message| if let Msg::HandOver { ask, held } = message { Some((ask, held)) } else { None };
    sent(out).into_iter().filter_map(page).collect()
}

/// Number of keys that are still to be handed over.
fn keys_left(member: &mut Ledger, now: Mono) -> u64 {
    let mut out = vec![];
    member.step(now, In::Ask(primitives::Token(2), Ask::Ready), &mut out);
    let in_hand = |output| match output {
        Out::Tell(_, NodeReply::Health(health)) => Some(health.in_hand),
        _ => None,
    };
    out.into_iter().find_map(in_hand).expect("a report of its health")
}

// Guards against a planned stop that gives up over a slow link: each time a page was sent again, the
// acknowledgements under way no longer counted.
#[test]
fn given_acknowledgements_later_than_the_pauses_then_a_leaving_ledger_still_hands_over_all() {
    let mut member = member();
    (0..KEYS).for_each(|n| claim(&mut member, Mono(2), &format!("pay/k{n}"), n));
    let (start, round_trip) = (Mono(3_000_000), Span::ms(1300));
    let mut acknowledgements: Vec<(Mono, u64)> = vec![];
    let mut now = start;
    let mut input = In::Ask(primitives::Token(1), Ask::Drain);
    while now - start < Span::ms(1900) {
        let sent = pages(&mut member, now, input);
        acknowledgements.extend(sent.into_iter().map(|(ask, _)| (now + round_trip, ask)));
        now = now + Span::ms(10);
        let due: Vec<u64> =
            acknowledgements.iter().filter(|(at, _)| *at == now).map(|(_, ask)| *ask).collect();
        for ask in due {
            step(&mut member, now, 2, Msg::HandedOver { ask });
        }
        input = In::Tick;
    }
    assert_eq!(keys_left(&mut member, now), 0);
}

// Guards against an outcome that is lost with its ledger: it came while a page without it was under way, and
// the acknowledgement of that page counted for it.
#[test]
fn given_an_outcome_that_arrives_while_its_key_is_handed_over_then_it_is_handed_over_too() {
    let mut member = member();
    claim(&mut member, Mono(2), "pay/k", 1);
    let start = Mono(3_000_000);
    let first = pages(&mut member, start, In::Ask(primitives::Token(1), Ask::Drain));
    assert!(first.iter().all(|(_, held)| held.iter().all(|record| record.whole.is_none())));
    outcome(&mut member, start, "pay/k", 1);
    let mut now = start + Span::ms(10);
    for (ask, _) in first {
        step(&mut member, now, 2, Msg::HandedOver { ask });
    }
    assert_eq!(keys_left(&mut member, now), 1);
    let mut handed_over = vec![];
    while now - start < Span::secs(1) {
        now = now + Span::ms(10);
        handed_over.extend(pages(&mut member, now, In::Tick));
    }
    assert!(handed_over.iter().any(|(_, held)| held.iter().any(|record| record.whole.is_some())));
}
