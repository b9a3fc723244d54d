//! One counted machine loses its disk; instructions that were run and answered before are sent
//! again by their clients, with their keys.
use crate::record::Record;
use crate::scene::*;
use crate::words::w;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const MACHINES: usize = 8;
const KEYS: usize = 160;
/// DENIED: more than 5 and one in 500 of all requests.
const ALLOWED: usize = 5;

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut s = Scene::new(MACHINES, 4, 64, record);
    let routes = [
        route("r-doc", "a.example", "/doc/", "cache", "docstore", 1),
        route("r-pay", "a.example", "/pay/", "keyed", "loan-app", 1),
    ];
    if !s.begin(&routes, &["docstore", "loan-app"]) || !s.warm(4, "a.example", "/doc/1") {
        return NOT_RUN;
    }
    let pay = |s: &Scene, i: usize, n: usize| {
        let body = format!("pay instruction {n}").into_bytes();
        let (_, a) = s.client(i, "POST", "a.example", "/pay/1", Some(&format!("k-{n}")), body);
        a.map(|a| (a.status, a.head(w("x-server")).unwrap_or("").to_string(), a.body))
    };
    let first: Vec<_> = (0..KEYS).map(|n| pay(&s, n % MACHINES, n)).collect();
    let good = first.iter().flatten().filter(|a| a.0 == 200).count();
    if good < KEYS {
        record.note(format!("only {good} of {KEYS} were answered with success at first"));
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        s.fleet.kill(0);
        s.fleet.wipe(0);
        thread::sleep(Duration::from_secs(1));
        s.fleet.start(0);
    }
    // `catch-up-s` (4) and `contact-ms` (3) after its return all are in touch again.
    thread::sleep(Duration::from_secs(12));
    if !s.all_ready(Duration::from_secs(10)) {
        return NOT_RUN;
    }
    let mut denied = vec![];
    let mut other = 0;
    for (n, was) in first.iter().enumerate() {
        let now = pay(&s, (n + 3) % MACHINES, n);
        match &now {
            Some((200, ..)) => other += (now != *was) as usize,
            Some((status, ..)) if (400..500).contains(status) => denied.push(n),
            _ => (),
        }
    }
    let twice = (0..KEYS).filter(|n| s.book.of_key(&format!("k-{n}")).len() > 1).count();
    let most = ALLOWED + 2 * KEYS / 500;
    record.note(format!("{} repeats of finished operations were denied: {denied:?}", denied.len()));
    record.note(format!("at most {most} may be; {other} had another answer, {twice} keys ran twice"));
    if denied.len() > most || other > 0 || twice > 0 {
        BROKEN
    } else {
        HELD
    }
}
