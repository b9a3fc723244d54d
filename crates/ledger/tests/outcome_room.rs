//! Outcomes that are stored at few ledgers take only the room that grants leave: the oldest are
//! evicted first.
mod common;
use common::{addr, follow, sent, step};
use control_state::*;
use ledger::{Kept, Ledger, LedgerEnv};
use primitives::{Birth, Mono, NodeId, Span, Version};

const MAX_KEY_BYTES: usize = 80_000;
const KEYS: u64 = 200;
const BODY_BYTES: usize = 2_000;

fn ledger(disk: Vec<Vec<u8>>) -> Ledger {
    let env = LedgerEnv {
        follow: follow(1),
        window: Span::secs(90),
        compact_after_bytes: 200_000,
        log_form: ledger::LogForm::Compacted,
        room: 0,
        most: MAX_KEY_BYTES,
        boot: 1,
        max_content_bytes: usize::MAX,
        losses: 1,
        leave: control_state::LEAVE,
        minimal_outcome_copies: true,
    };
    let mut records = vec![Kept::Birth(Birth(7)), Kept::Open];
    records.extend(disk.iter().filter_map(|record| Kept::decode(record)));
    Ledger::start(env, records, 1, Mono(1_000_000), &mut vec![])
}

fn round(node: u64, n: u64) -> RoundId {
    RoundId { node: NodeId(node), birth: Birth(1), n }
}

fn claim(node: u64, n: u64) -> Msg {
    Msg::Claim {
        key: format!("pay/k{n}"),
        print: Fingerprint([1; 32]),
        round: round(node, n),
        roll: Version(1),
    }
}

/// The answers to a repeated claim of each key.
fn answers_to_repeats(ledger: &mut Ledger, now: Mono) -> Vec<Claimed> {
    let answer = |message: Msg| if let Msg::Claimed { said, .. } = message { Some(said) } else { None };
    (0..KEYS).filter_map(|n| step(ledger, now, 5, claim(8, n)).into_iter().find_map(answer)).collect()
}

// Guards against a full ledger that keeps the oldest outcomes and stores no new ones, although
// retries come soon after the first request, and against one that holds more after a restart
// than fits its compacted state.
#[test]
fn given_more_outcomes_than_fit_then_the_newest_are_known_and_no_grant_is_forgotten_nor_after_a_restart() {
    let mut running = ledger(vec![]);
    let mut disk = vec![];
    for n in 0..KEYS {
        let now = Mono(1_000_000 + n * 10_000);
        let whole = Whole::new(200, "", vec![1; BODY_BYTES]);
        let (key, print) = (format!("pay/k{n}"), Fingerprint([1; 32]));
        for message in [claim(9, n), Msg::Outcome { key, print, round: round(9, n), whole }] {
            let mut out = vec![];
            running.step(now, In::Msg(addr(5), message), &mut out);
            disk.extend(out.iter().filter_map(|output| {
                if let Out::Save(record) = output {
                    Some(record.clone())
                } else {
                    None
                }
            }));
            sent(out);
        }
    }
    for mut ledger in [running, ledger(disk)] {
        let answers = answers_to_repeats(&mut ledger, Mono(4_000_000));
        let is_known = |answer: &Claimed| matches!(answer, Claimed::Held(Some(_)));
        assert_eq!(answers.len() as u64, KEYS);
        assert!(answers.iter().all(|answer| matches!(answer, Claimed::Held(_))), "a grant was forgotten");
        let first = answers.iter().position(is_known).expect("no outcome is known");
        assert!(answers[first..].iter().all(is_known), "an older outcome is known, and a newer one is not");
        let outcome_bytes = MAX_KEY_BYTES / 4 * 3;
        let size = (KEYS as usize - first) * BODY_BYTES;
        assert!((outcome_bytes / 3..outcome_bytes).contains(&size), "{size} bytes of outcomes are known");
    }
}
