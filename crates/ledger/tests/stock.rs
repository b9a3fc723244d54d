//! A ledger whose disk cache is turned off requests no copies, stores none and serves none.
mod common;
use common::*;
use control_state::*;
use primitives::{Birth, Mono, Span};

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
