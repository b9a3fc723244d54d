//! Clients send bodies within the limits, three at once as usual, five at once in a burst; the
//! platform ends a process that goes over its memory.
use crate::fleet::KILL;
use crate::record::Record;
use crate::scene::*;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The limits allow 64 MiB.
const BODY: usize = 62 << 20;
/// As the site has it for instructions.
const WORK_MS: u64 = 140;
/// Clients at once; a burst is up to 1.7 times the usual.
const USUAL: usize = 3;
const BURST: usize = 5;
const ROUNDS: usize = 3;
/// Two edges of thirteen.
const AT: [usize; 2] = [5, 6];
/// The memory of a machine, in MB.
const MEMORY: u64 = 260;

fn resident(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0) * 1024
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut s = Scene::new(13, 4, 64, record);
    s.work_ms = WORK_MS;
    let routes = [
        route("r-state", "a.example", "/state/", "safe", "loan-app", 1),
        route("r-up", "a.example", "/up/", "unsafe", "loan-app", 1),
    ];
    if !s.begin(&routes, &["docstore", "loan-app"]) || !AT.iter().all(|i| s.warm(*i, "a.example", "/state/1"))
    {
        return NOT_RUN;
    }
    let mut ends = [0; AT.len()];
    for (round, (place, i)) in (0..ROUNDS).flat_map(|r| AT.into_iter().enumerate().map(move |x| (r, x))) {
        let Some(pid) = s.fleet.pid(i) else { return NOT_RUN };
        let over = AtomicBool::new(false);
        let (peak, killed) = thread::scope(|t| {
            let watch = t.spawn(|| watch(pid, &over));
            let up = || drop(s.client(i, "POST", "a.example", "/up/1", None, vec![b'x'; BODY]));
            let clients = if trouble { BURST } else { USUAL };
            let all: Vec<_> = (0..clients).map(|_| t.spawn(up)).collect();
            all.into_iter().for_each(|c| c.join().expect("a client ends"));
            over.store(true, SeqCst);
            watch.join().expect("the platform's watch ends")
        });
        record.note(format!(
            "platform: round {round}, machine {i}: at most {} MB of {MEMORY}",
            peak / 1_000_000
        ));
        if killed {
            ends[place] += 1;
            s.fleet.wait_end(i, Duration::from_secs(5));
            thread::sleep(Duration::from_millis(500));
            s.fleet.start(i);
            if !s.all_ready(Duration::from_secs(15)) || !s.warm(i, "a.example", "/state/1") {
                return NOT_RUN;
            }
        }
    }
    record.note(format!("ends for memory at machines {AT:?}: {ends:?}"));
    if ends.iter().all(|n| *n >= 3) {
        BROKEN
    } else {
        HELD
    }
}

/// The platform's word on memory: who goes over it is killed. The most that was seen, and
/// whether it was.
fn watch(pid: u32, over: &AtomicBool) -> (u64, bool) {
    let mut peak = 0;
    while !over.load(SeqCst) {
        peak = peak.max(resident(pid));
        if peak > MEMORY * 1_000_000 {
            crate::fleet::send(pid, KILL);
            return (peak, true);
        }
        thread::sleep(Duration::from_millis(2));
    }
    (peak, false)
}
