//! The whole system starts for the first time; a second later one counted machine, the first of the
//! common seeds, loses its disk, and is back half a second after that.
use crate::operator::{call, modify};
use crate::record::Record;
use crate::scene::*;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const FIRST_SEED: usize = 0;
/// From the start of the machines.
const LOSS: Duration = Duration::from_millis(1000);
const BACK: Duration = Duration::from_millis(500);
/// How long the operator repeats its first call: four times `recovery-s` (15).
const REPEATED: Duration = Duration::from_secs(60);

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut s = Scene::new(13, 4, 64, record);
    s.fleet.start_all();
    let began = Instant::now();
    if trouble {
        thread::sleep(LOSS.saturating_sub(began.elapsed()));
        s.fleet.kill(FIRST_SEED);
        s.fleet.wipe(FIRST_SEED);
        thread::sleep(BACK);
        s.fleet.start(FIRST_SEED);
    }
    let routes = [
        route("r-state", "a.example", "/state/", "safe", "loan-app", 1),
        route("r-pay", "a.example", "/pay/", "keyed", "loan-app", 1),
    ];
    let services = ["docstore", "loan-app"];
    services.iter().for_each(|service| s.origins(service, 4, 8, s.work_ms));
    let body = call(&routes, &services, 1, &[]);
    let accepted = modify(&s.controls(), &body, REPEATED, record);
    thread::sleep(Duration::from_secs(3));
    let running = (0..13).filter(|i| s.fleet.ended(*i).is_none()).count();
    let served = (0..26).filter(|n| {
        let (_, answer) = s.client(n % 13, "GET", "a.example", "/state/1", None, vec![]);
        answer.is_some_and(|a| a.status == 200)
    });
    let served = served.count();
    record.note(format!("{running} of 13 processes run; the first call was accepted: {accepted}"));
    record.note(format!("{served} of 26 requests were served"));
    match served {
        _ if running < 13 => NOT_RUN,
        0 => BROKEN,
        _ => HELD,
    }
}
