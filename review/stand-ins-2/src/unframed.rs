//! Keyed instructions at the rate of the site. A few of the origins' whole answers have no length and end with
//! their connection. Callers try once more after a failure, with the same key.
use crate::fleet::Fleet;
use crate::origin::{content, Deed, Origin, Plan};
use crate::web::{configuration, Call, Route};
use crate::{Stage, Verdict};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

const HOST: &str = "pay.example";
/// The site: 36.1 keyed instructions a second, answers of 5000 bytes, one further try.
const PER_SECOND: f64 = 36.1;
const ANSWER: usize = 5000;
const BODY: usize = 4000;
const WORK: Duration = Duration::from_millis(140);
/// Ten doses of 5 s, each of 0.03 of the answers of half of the origins; the site's largest is 0.03 of 0.6.
const SPAN: Duration = Duration::from_secs(50);
const ONE_ANSWER_IN: u64 = 34;
const PAUSE: Duration = Duration::from_millis(150);

pub fn play(stage: &Stage) -> Verdict {
    let (words, record) = (&stage.words, &stage.record);
    let mut fleet = Fleet::new(&stage.root, words, 6, 0..4);
    let route = Route {
        name: "pay".into(),
        host: HOST,
        prefix: "/pay/".into(),
        kind: Some("keyed"),
        limit_ms: 1000,
        service: "loan-app".into(),
    };
    if !fleet.form(words, &configuration(words, &[route], 7), record) {
        return Verdict::NotRun;
    }
    // When an origin had written its whole answer to a key.
    let finished: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();
    for i in 0..8 {
        let (trouble, spoken, finished) = (stage.trouble && i % 2 == 0, words.clone(), finished.clone());
        let plan: Arc<Plan> = Arc::new(move |request, run| {
            let body = content(&request.first, ANSWER);
            let key = request.field(spoken.key()).unwrap_or("").to_string();
            finished.lock().expect("no thread panics with it").insert(key, Instant::now() + WORK);
            match trouble && run % ONE_ANSWER_IN == ONE_ANSWER_IN / 2 {
                true => Deed::AnswerToTheEnd { work: WORK, body },
                false => Deed::Answer { work: WORK, status: "200 OK", fields: vec![], body },
            }
        });
        let (id, zone) = (format!("i-loan{i}"), fleet.zone(i));
        let origin = Origin { id, service: "loan-app", zone, capacity: 3 };
        origin.start(words, &fleet.controls(), record, plan);
    }
    let instruction = vec![b'5'; BODY];
    let pay = |key: &str, id: String, machine: usize| -> u16 {
        let call = Call {
            method: "POST",
            host: HOST,
            path: "/pay/sum",
            id: &id,
            key: Some(key),
            time_left_ms: 1000,
            more: vec![],
            body: &instruction,
        };
        record.note(format!("caller sends {id} with {key} to machine {machine}"));
        let status = call.send(words, fleet.front(machine)).map_or(0, |a| a.status());
        record.note(format!("caller gets {id}: {status}"));
        status
    };
    let limit = Instant::now() + Duration::from_secs(10);
    while pay(&format!("early-{}", record.ms()), "early".into(), 1) != 200 {
        if Instant::now() > limit {
            return Verdict::NotRun;
        }
        sleep(Duration::from_millis(200));
    }
    sleep(Duration::from_secs(2));
    let total = (PER_SECOND * SPAN.as_secs_f64()) as usize;
    let counts: Mutex<(usize, usize)> = Mutex::default();
    let start = Instant::now();
    scope(|s| {
        for n in 0..total {
            let due = start + Duration::from_secs_f64(n as f64 / PER_SECOND);
            sleep(due.saturating_duration_since(Instant::now()));
            let (pay, counts, finished) = (&pay, &counts, &finished);
            s.spawn(move || {
                let key = format!("k-{n}");
                let first = pay(&key, format!("first-{n}"), n % 6);
                counts.lock().expect("no thread panics with it").0 += 1;
                if first == 200 {
                    return;
                }
                sleep(PAUSE);
                let answered = finished.lock().expect("no thread panics with it").get(&key).copied();
                let at_work = answered.is_none_or(|at| at >= Instant::now());
                let again = pay(&key, format!("again-{n}"), (n + 1) % 6);
                let denied = (300..500).contains(&again) && ![408, 421, 429].contains(&again);
                let mut counts = counts.lock().expect("no thread panics with it");
                counts.0 += 1;
                counts.1 += (denied && !at_work) as usize;
            });
        }
    });
    let (requests, denied) = counts.into_inner().expect("no thread panics with it");
    let allowed = 5.0 + requests as f64 / 500.0;
    record.note(format!(
        "{requests} requests, {denied} denied whose instruction an origin had answered whole ({allowed:.1} are allowed)"
    ));
    if denied as f64 > allowed {
        return Verdict::Broken;
    }
    Verdict::Held
}
