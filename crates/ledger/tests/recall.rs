//! An answer to a recall comes in pages, one for each request, and counts with its last page.
mod common;
use common::*;
use control_state::*;
use ledger::Ledger;
use primitives::{Birth, Mono, NodeId, Span, Version};

/// A member of the set that granted this number of keys and holds outcomes of this size.
fn member_with_keys(keys: u64, size: usize, now: Mono) -> Ledger {
    let mut member = ledger(1, 1, 1 << 24);
    step(&mut member, Mono(1), CONTROLLER, update());
    for n in 0..keys {
        let (key, print) = (format!("pay/k{n}"), Fingerprint([1; 32]));
        let round = RoundId { node: NodeId(9), birth: Birth(1), n };
        let whole = Whole::new(200, "", vec![1; size]);
        step(&mut member, now, 5, Msg::Claim { key: key.clone(), print, round, roll: Version(1) });
        step(&mut member, now, 5, Msg::Outcome { key, print, round, whole });
    }
    member
}

/// Ticks the ledger once; the recall that it sends.
fn recall_sent(member: &mut Ledger, now: Mono) -> Msg {
    let mut out = vec![];
    member.step(now, In::Tick, &mut out);
    sent(out).into_iter().find(|message| matches!(message, Msg::Recall { .. })).expect("no recall was sent")
}

fn is_recall(message: &Msg) -> bool {
    matches!(message, Msg::Recall { .. })
}

/// Guards against a ledger that opens although it has not seen all records: a page is lost, one comes
/// twice, and one comes late that a repeated request has replaced.
#[test]
fn given_an_answer_of_many_pages_when_one_is_lost_then_the_ledger_asks_again_and_opens_with_the_last_one() {
    let (mut member, mut recovering) = (member_with_keys(100, 20_000, Mono(2)), ledger(2, 2, 1 << 24));
    step(&mut recovering, Mono(1), CONTROLLER, update());
    let mut now = Mono(6_000_000);
    let mut request = recall_sent(&mut recovering, now);
    let mut pages = 0;
    loop {
        pages += 1;
        let lost = step(&mut member, now, 2, request);
        assert_eq!(lost.len(), 1, "one page for one request");
        assert!(postcard::to_stdvec(&lost[0]).unwrap().len() <= 256 << 10, "a page is too large");
        assert!(!recovering.is_open(), "opened although a page is missing");
        now = now + Span::ms(300);
        let repeated = recall_sent(&mut recovering, now);
        let page = step(&mut member, now, 2, repeated).remove(0);
        let next: Vec<Msg> =
            step(&mut recovering, now, 1, page.clone()).into_iter().filter(is_recall).collect();
        // Neither the same page again nor the lost one counts for the next page.
        for late in [page, lost[0].clone()] {
            assert!(!step(&mut recovering, now, 1, late).iter().any(is_recall), "asked twice");
        }
        match next.into_iter().next() {
            Some(message) => request = message,
            None => break,
        }
    }
    assert!(pages > 5, "{pages} pages");
    assert_eq!((recovering.is_open(), recovering.held()), (true, 100));
}

#[test]
fn given_more_keys_to_recall_than_fit_then_the_ledger_waits_for_the_window() {
    let (mut member, mut recovering) = (member_with_keys(100, 20_000, Mono(2)), ledger(2, 2, 100_000));
    step(&mut recovering, Mono(1), CONTROLLER, update());
    let now = Mono(6_000_000);
    let request = recall_sent(&mut recovering, now);
    step(&mut member, now, 2, request).into_iter().for_each(|part| {
        step(&mut recovering, now, 1, part);
    });
    assert!(!recovering.is_open());
}

/// A recalled key is held until the time at which its first grant ends, neither shorter nor
/// longer.
#[test]
fn given_a_recalled_key_then_it_keeps_its_age() {
    let (mut member, mut recovering) = (member_with_keys(1, 10, Mono(10_000_000)), ledger(2, 2, 1 << 20));
    step(&mut recovering, Mono(1), CONTROLLER, update());
    let now = Mono(95_000_000);
    let request = recall_sent(&mut recovering, now);
    step(&mut member, now, 2, request).into_iter().for_each(|part| {
        step(&mut recovering, now, 1, part);
    });
    let claim = |n| {
        let round = RoundId { node: NodeId(9), birth: Birth(2), n };
        Msg::Claim { key: "pay/k0".into(), print: Fingerprint([1; 32]), round, roll: Version(1) }
    };
    let granted = |message: Vec<Msg>| matches!(message[0], Msg::Claimed { said: Claimed::Granted, .. });
    assert!(!granted(step(&mut recovering, Mono(99_000_000), 5, claim(1))), "freed too early");
    assert!(granted(step(&mut recovering, Mono(101_000_000), 5, claim(1))), "held too long");
}

#[test]
fn given_a_member_that_may_not_grant_or_follows_another_ledger_set_version_then_it_does_not_answer() {
    let (mut member, mut recovering) = (member_with_keys(1, 10, Mono(2)), ledger(2, 2, 1 << 20));
    step(&mut recovering, Mono(1), CONTROLLER, update());
    let purpose = RecallPurpose::AfterDiskLoss;
    let request = |n| Msg::Recall { ask: n, roll: Version(n), purpose, after: None };
    let answers = |member: &mut Ledger, n| step(member, Mono(9), 2, request(n)).len();
    assert_eq!([answers(&mut member, 1), answers(&mut member, 2), answers(&mut recovering, 1)], [1, 0, 0]);
}
