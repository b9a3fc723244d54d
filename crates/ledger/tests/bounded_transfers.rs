//! A ledger that holds a whole window of outcomes gives them to others a page at a time.
mod common;
use common::*;
use control_state::*;
use ledger::{Kept, Ledger, LedgerEnv};
use primitives::{Birth, Mono, NodeId, Span, Token, Version};

/// Outcomes of a ledger on a machine of little memory, and the bytes of each.
const KEYS: u64 = 400;
const BODY_BYTES: usize = 20_000;
/// Bytes that one other ledger may make a ledger put into its send queue at a time.
const MAX_BYTES_AT_ONCE: usize = 512 << 10;
/// The same where nothing leaves the queue for as long as a message may wait in it.
const MAX_BYTES_WHILE_STALLED: usize = 2 << 20;
const STALL: Span = Span::secs(10);
const TICK: Span = Span::ms(10);

/// A ledger that stores outcomes at all of a key's ledgers.
fn full_ledger() -> Ledger {
    let env = LedgerEnv { minimal_outcome_copies: false, ..trimmed_env(1) };
    let mut full = Ledger::start(env, vec![Kept::Birth(Birth(1)), Kept::Open], 1, Mono(1), &mut vec![]);
    step(&mut full, Mono(1), CONTROLLER, update());
    for n in 0..KEYS {
        let (key, print) = (format!("pay/k{n:04}"), Fingerprint([1; 32]));
        let round = RoundId { node: NodeId(9), birth: Birth(1), n };
        let whole = Whole::new(200, "", vec![1; BODY_BYTES]);
        step(&mut full, Mono(2), 5, Msg::Claim { key: key.clone(), print, round, roll: Version(1) });
        step(&mut full, Mono(2), 5, Msg::Outcome { key, print, round, whole });
    }
    full
}

fn bytes(messages: &[Msg]) -> usize {
    messages.iter().map(|m| postcard::to_stdvec(m).expect("it can be encoded").len()).sum()
}

fn ticked(ledger: &mut Ledger, now: Mono) -> Vec<Msg> {
    let mut out = vec![];
    ledger.step(now, In::Tick, &mut out);
    sent(out)
}

fn recalls(messages: Vec<Msg>) -> Vec<Msg> {
    messages.into_iter().filter(|m| matches!(m, Msg::Recall { .. })).collect()
}

/// Guards against processes that end over their memory (LOST): a ledger answered a recall with all that it
/// held, at once.
#[test]
fn given_a_ledger_full_of_outcomes_when_another_recalls_them_then_it_sends_them_a_page_at_a_time() {
    let (mut full, mut recovering) = (full_ledger(), ledger(2, 2, 1 << 24));
    step(&mut recovering, Mono(1), CONTROLLER, update());
    let mut now = Mono(6_000_000);
    let mut requests = recalls(ticked(&mut recovering, now));
    assert_eq!(requests.len(), 1);
    let mut pages = 0;
    while let Some(request) = requests.pop() {
        now = now + TICK;
        let answers = step(&mut full, now, 2, request);
        let at_once = bytes(&answers);
        assert!(at_once <= MAX_BYTES_AT_ONCE, "{at_once} bytes in answer to one message");
        pages += answers.len();
        for answer in answers {
            requests.extend(recalls(step(&mut recovering, now, 1, answer)));
        }
    }
    assert!(pages as u64 >= KEYS * BODY_BYTES as u64 / MAX_BYTES_AT_ONCE as u64);
    assert_eq!((recovering.is_open(), recovering.held() as u64), (true, KEYS));
}

/// Guards against the same where the link stands still: the recall was sent again three times a second, and
/// each time all of the answer was put into the queue once more.
#[test]
fn given_answers_that_do_not_get_through_then_repeated_recalls_do_not_fill_the_queue() {
    let (mut full, mut recovering) = (full_ledger(), ledger(2, 2, 1 << 24));
    step(&mut recovering, Mono(1), CONTROLLER, update());
    let start = Mono(6_000_000);
    let mut queued = 0;
    let mut now = start;
    while now - start < STALL {
        for request in recalls(ticked(&mut recovering, now)) {
            queued += bytes(&step(&mut full, now, 2, request));
        }
        now = now + TICK;
    }
    assert!(queued > 0 && queued <= MAX_BYTES_WHILE_STALLED, "{queued} bytes queued");
}

/// Guards against the same at a planned stop.
#[test]
fn given_a_ledger_full_of_outcomes_when_it_leaves_then_it_hands_them_over_a_page_at_a_time() {
    let (mut full, mut other) = (full_ledger(), ledger(2, 2, 1 << 24));
    step(&mut other, Mono(1), CONTROLLER, update());
    let (start, mut out) = (Mono(3_000_000), vec![]);
    full.step(start, In::Ask(Token(1), Ask::Drain), &mut out);
    let handed_over = |all: Vec<Msg>| -> Vec<Msg> {
        all.into_iter().filter(|m| matches!(m, Msg::HandOver { .. })).collect()
    };
    let mut pages = handed_over(sent(out));
    let mut now = start;
    while now - start < Span::secs(2) {
        now = now + TICK;
        let at_once = bytes(&pages);
        assert!(at_once <= MAX_BYTES_AT_ONCE, "{at_once} bytes at once");
        let confirmations: Vec<Msg> =
            pages.drain(..).flat_map(|page| step(&mut other, now, 1, page)).collect();
        let next = confirmations.into_iter().flat_map(|m| step(&mut full, now, 2, m)).collect();
        pages = handed_over(next);
        pages.extend(handed_over(ticked(&mut full, now)));
    }
    assert_eq!(other.held() as u64, KEYS);
}
