//! The route of keyed instructions is taken away and added again for another host; the client
//! repeats its operation with the same key. Without the disruption the route is added again for
//! the host that it had.
use crate::operator::{call, modify};
use crate::record::Record;
use crate::scene::*;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const KEYS: usize = 12;

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut s = Scene::new(6, 4, 64, record);
    let routes = [
        route("r-state", "a.example", "/state/", "safe", "loan-app", 1),
        route("r-pay", "a.example", "/pay/", "keyed", "loan-app", 1),
    ];
    if !s.begin(&routes, &["docstore", "loan-app"]) || !s.warm(4, "a.example", "/state/1") {
        return NOT_RUN;
    }
    let pay = |s: &Scene, host: &str, n: usize| {
        let body = format!("pay instruction {n}").into_bytes();
        s.client(n % 6, "POST", host, "/pay/1", Some(&format!("k-{n}")), body).1
    };
    if !(0..KEYS).all(|n| pay(&s, "a.example", n).is_some_and(|a| a.status == 200)) {
        return NOT_RUN;
    }
    let gone = call(&[], &[], 3, &[("r-pay", 3)]);
    let host = if trouble { "b.example" } else { "a.example" };
    let again = call(&[route("r-pay", host, "/pay/", "keyed", "loan-app", 5)], &[], 5, &[]);
    for body in [gone, again] {
        if !modify(&s.controls(), &body, Duration::from_secs(10), record) {
            return NOT_RUN;
        }
        thread::sleep(Duration::from_secs(3));
    }
    // Well inside the time for which a key counts.
    (0..KEYS).for_each(|n| drop(pay(&s, host, n)));
    let runs: Vec<usize> = (0..KEYS).map(|n| s.book.of_key(&format!("k-{n}")).len()).collect();
    let twice = runs.iter().filter(|n| **n > 1).count();
    record.note(format!(
        "runs by key: {runs:?}; {twice} keys ran more than once, {:.1} s after the start",
        record.seconds()
    ));
    if twice > 0 {
        BROKEN
    } else {
        HELD
    }
}
