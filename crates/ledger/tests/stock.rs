//! The disk cache of a ledger: nothing is requested, stored or served where it is turned off, and expired copies
//! are dropped.
mod common;
use common::*;
use control_state::*;
use ledger::{Kept, Ledger, LedgerEnv};
use primitives::{Birth, Mono, Span, Token};

fn request_id(n: u64) -> RequestId {
    RequestId { birth: Birth(5), n }
}

#[test]
fn given_no_disk_cache_then_the_ledger_requests_no_copy_stores_none_and_serves_none() {
    let mut ledger_without_cache = ledger(1, 1, 1 << 20);
    let now = Mono(5);
    let object = Object { service: Svc("s".into()), site: Site("l".into()), path: "p".into() };
    step(&mut ledger_without_cache, Mono(1), CONTROLLER, update());
    assert!(
        step(&mut ledger_without_cache, now, 5, Msg::DiskCacheOffer(request_id(7))).is_empty(),
        "requests a copy"
    );
    for whole in [Whole::default(), Whole::new(200, "", vec![1; 100])] {
        let shown = TransferredCopy { whole, left: Span::secs(9), current_age: Span(0), public: true };
        let put = DiskCachePut { object: object.clone(), shown, mark: 0, sure: Era(1) };
        let mut out = vec![];
        ledger_without_cache.step(
            now,
            control_state::In::Msg(addr(5), Msg::DiskCachePut(now, Box::new(put))),
            &mut out,
        );
        assert!(out.is_empty(), "stores a copy");
    }
    let answer = step(
        &mut ledger_without_cache,
        now,
        5,
        Msg::CopyQuery {
            ask: request_id(8),
            object,
            heads: Headers::default(),
            reach: Reach::Deployment,
            held: None,
            patience: Patience::default(),
        },
    );
    assert_eq!(answer, vec![Msg::CopyResult { ask: request_id(8), said: CopyReply::None, purges: 0 }]);
}

/// Number of copies that the ledger holds.
fn copies(ledger: &mut Ledger, now: Mono) -> u64 {
    let mut out = vec![];
    ledger.step(now, In::Ask(Token(1), Ask::Ready), &mut out);
    let count = |output: Out| match output {
        Out::Tell(_, NodeReply::Health(health)) => {
            health.counts.into_iter().find(|(name, _)| *name == "copies").map(|(_, n)| n)
        }
        _ => None,
    };
    out.into_iter().find_map(count).expect("is counted")
}

// Guards against expired copies that stay in memory and in each compacted state.
#[test]
fn given_a_copy_in_the_disk_cache_when_it_expires_then_it_is_dropped() {
    let env = LedgerEnv { room: 1 << 20, log_form: ledger::LogForm::Compacted, ..trimmed_env(1) };
    let mut ledger = Ledger::start(env, vec![Kept::Birth(Birth(1))], 1, Mono(1), &mut vec![]);
    step(&mut ledger, Mono(1), CONTROLLER, update());
    let start = Mono(5);
    let object = Object { service: Svc("s".into()), site: Site("l".into()), path: "p".into() };
    let whole = Whole::new(200, "", vec![1; 100]);
    let shown = TransferredCopy { whole, left: Span::secs(9), current_age: Span(0), public: true };
    let put = DiskCachePut { object, shown, mark: 0, sure: Era(1) };
    step(&mut ledger, start, 5, Msg::DiskCachePut(start, Box::new(put)));
    let mut now = start;
    while now - start < Span::secs(12) {
        let expected = u64::from(now - start < Span::secs(9));
        if expected == 1 || now - start > Span::secs(11) {
            assert_eq!(copies(&mut ledger, now), expected, "after {:?}", now - start);
        }
        now = now + Span::ms(10);
        ledger.step(now, In::Tick, &mut vec![]);
    }
}
