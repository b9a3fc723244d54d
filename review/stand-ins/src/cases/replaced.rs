//! Counted machines are replaced one after the other, each by an empty one at another address
//! whose settings name three seeds that are up, serve control and have no disk.
//! SEEDS=counted, beside the disruption: one of the three is a counted machine; then it holds.
use crate::fleet::KILL;
use crate::operator::{call, modify, ready, retrieve};
use crate::record::Record;
use crate::scene::*;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// 4 counted machines, 6 edges without a disk, and 3 that come later with empty disks.
const COUNTED: usize = 4;
const FIRST_SPARE: usize = 10;
const ALL: usize = 13;
/// Until a new machine is counted on: its start, `catch-up-s` (4) and `contact-ms` (3) twice over.
const SETTLE: Duration = Duration::from_secs(14);
/// The operator reads for longer than `contact-ms`.
const READ: Duration = Duration::from_secs(12);

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut s = Scene::new(ALL, COUNTED, 64, record);
    s.fleet.plan.spares = ALL - FIRST_SPARE;
    let routes = [
        route("r-doc", "a.example", "/doc/", "cache", "docstore", 1),
        route("r-pay", "a.example", "/pay/", "keyed", "loan-app", 1),
    ];
    if !s.begin(&routes, &["docstore", "loan-app"]) || !s.warm(4, "a.example", "/doc/1") {
        return NOT_RUN;
    }
    s.client(4, "POST", "a.example", "/pay/1", Some("k-before"), b"5 euro".to_vec());
    if !read_back(&s, 0, Duration::from_secs(6)) {
        return NOT_RUN;
    }
    let counted = std::env::var("SEEDS").is_ok_and(|v| v == "counted");
    for r in (0..3).take_while(|_| trouble) {
        let seeds = if counted { [3, 4, 5] } else { [4, 5, 6] };
        let up = seeds.iter().all(|i| ready(s.fleet.ready(*i)));
        record.note(format!("platform: the seeds {seeds:?} are up and ready: {up}"));
        if !up {
            return NOT_RUN;
        }
        s.fleet.signal(r, KILL);
        s.fleet.wait_end(r, Duration::from_secs(3));
        s.fleet.wipe(r);
        record.note(format!("platform: machine {r} is gone for good"));
        thread::sleep(Duration::from_secs(1));
        s.fleet.seeds = seeds.to_vec();
        s.fleet.start(FIRST_SPARE + r);
        thread::sleep(SETTLE);
        let is = ready(s.fleet.ready(FIRST_SPARE + r));
        record.note(format!("platform: machine {} is ready: {is}", FIRST_SPARE + r));
    }
    let read = read_back(&s, 3, READ);
    let next = [route("r-new", "a.example", "/new/", "safe", "loan-app", 5)];
    let changed = modify(&s.controls()[3..10], &call(&next, &[], 5, &[]), Duration::from_secs(6), record);
    s.client(4, "POST", "a.example", "/pay/1", Some("k-before"), b"5 euro".to_vec());
    s.client(5, "POST", "a.example", "/pay/1", Some("k-after"), b"6 euro".to_vec());
    record.note(format!("the configuration was read back: {read}; a change was acknowledged: {changed}"));
    if read {
        HELD
    } else {
        BROKEN
    }
}

/// Asks at one node after the other, from the first one on, until one answers.
fn read_back(s: &Scene, first: usize, most: Duration) -> bool {
    let until = Instant::now() + most;
    let nodes: Vec<usize> = (first..ALL).filter(|i| s.fleet.pid(*i).is_some()).collect();
    for i in nodes.iter().cycle() {
        let back = retrieve(s.fleet.control(*i));
        let said = back.as_ref().map(|a| (a.status, a.text().chars().take(60).collect::<String>()));
        s.record.note(format!("operator: read at {i}: {said:?}"));
        if back.is_ok_and(|a| a.status == 200 && a.text().contains("r-pay")) {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}
