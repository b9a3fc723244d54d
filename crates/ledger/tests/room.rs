//! A ledger's grants never outgrow the file that its compacted state must fit.
mod common;
use common::{addr, follow};
use control_state::*;
use ledger::{Kept, Ledger, LedgerEnv};
use primitives::{Birth, Mono, NodeId, Span, Version};

fn ledger() -> Ledger {
    let window = Span::secs(90);
    let env = LedgerEnv {
        follow: follow(1),
        window,
        compact_after_bytes: 20_000,
        log_form: ledger::LogForm::Compacted,
        room: 1000,
        most: 40_000,
        boot: 1,
        max_content_bytes: usize::MAX,
        losses: 1,
        leave: control_state::LEAVE,
        minimal_outcome_copies: false,
    };
    Ledger::start(env, vec![Kept::Birth(Birth(7)), Kept::Open], 1, Mono(1_000_000), &mut vec![])
}

#[test]
fn given_more_keys_and_answers_than_fit_then_it_grants_no_more_and_its_compacted_state_stays_small() {
    let mut ledger = ledger();
    let (mut granted, mut refused, mut largest) = (0, 0, 0);
    for n in 0..400u64 {
        let now = Mono(1_000_000 + n * 10_000);
        let round = RoundId { node: NodeId(9), birth: Birth(1), n };
        let key = format!("pay/k{n}");
        let mut out = vec![];
        ledger.step(
            now,
            In::Msg(
                addr(5),
                Msg::Claim { key: key.clone(), print: Fingerprint([1; 32]), round, roll: Version(1) },
            ),
            &mut out,
        );
        let is_granted = out
            .iter()
            .any(|output| matches!(output, Out::Send(_, Msg::Claimed { said: Claimed::Granted, .. })));
        granted += is_granted as u32;
        refused += !is_granted as u32;
        if is_granted {
            let size = if n == 3 { 9000 } else { 600 };
            let whole = Whole::new(200, "", vec![1; size]);
            ledger.step(
                now,
                In::Msg(addr(5), Msg::Outcome { key, print: Fingerprint([1; 32]), round, whole }),
                &mut out,
            );
        }
        ledger.step(now, In::Tick, &mut out);
        let compacted_sizes = out.iter().filter_map(|output| match output {
            Out::Base(encoded) => Some(encoded.len()),
            _ => None,
        });
        largest = compacted_sizes.max().unwrap_or(0).max(largest);
    }
    assert!(granted > 30 && refused > 300, "{granted} granted, {refused} refused");
    assert!(largest > 0 && largest < 45_000, "a compacted state of {largest} bytes");
    // Once the window is over there is room again.
    let later = Mono(200_000_000);
    let round = RoundId { node: NodeId(9), birth: Birth(1), n: 1000 };
    let mut out = vec![];
    ledger.step(
        later,
        In::Msg(
            addr(5),
            Msg::Claim { key: "pay/new".into(), print: Fingerprint([1; 32]), round, roll: Version(1) },
        ),
        &mut out,
    );
    assert!(out
        .iter()
        .any(|output| matches!(output, Out::Send(_, Msg::Claimed { said: Claimed::Granted, .. }))));
}
