//! Keyed instructions at the rate of the site, some of which are sent again inside their window.
use crate::fleet::Fleet;
use crate::http::Message;
use crate::origin::{content, Deed, Origin, Plan};
use crate::web::{configuration, Call, Route};
use crate::{Stage, Verdict};
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

const HOST: &str = "pay.example";
/// The site: 36.1 keyed instructions a second with answers of 5000 bytes, of which one in twenty is repeated.
const PER_SECOND: f64 = 36.1;
const ANSWER: usize = 5000;
const BODY: usize = 4000;
const SPAN: Duration = Duration::from_secs(50);
/// The instructions that are sent again: the first ones, fewer than one in twenty.
const REPEATED: usize = 80;
const WORK: Duration = Duration::from_millis(140);

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
    let plan: Arc<Plan> = Arc::new(|request, _| {
        let body = content(&request.first, ANSWER);
        Deed::Answer { work: WORK, status: "200 OK", fields: vec![], body }
    });
    for i in 0..8 {
        let (id, zone) = (format!("i-loan{i}"), fleet.zone(i));
        Origin { id, service: "loan-app", zone, capacity: 3 }.start(
            words,
            &fleet.controls(),
            record,
            plan.clone(),
        );
    }
    let instruction = vec![b'5'; BODY];
    let pay = |n: usize, id: String, machine: usize| -> Option<Message> {
        let (path, key) = (format!("/pay/{n}"), format!("k-{n}"));
        let call = Call {
            method: "POST",
            host: HOST,
            path: &path,
            id: &id,
            key: Some(&key),
            time_left_ms: 1000,
            more: vec![],
            body: &instruction,
        };
        record.note(format!("caller sends {id} with {key} to machine {machine}"));
        let answer = call.send(words, fleet.front(machine));
        record.note(format!("caller gets {id}: {}", answer.as_ref().map_or(0, Message::status)));
        answer
    };
    // Origins have registered once an instruction is served.
    let limit = Instant::now() + Duration::from_secs(10);
    while pay(1_000_000 + record.ms() as usize, "early".into(), 1).is_none_or(|a| a.status() != 200) {
        if Instant::now() > limit {
            return Verdict::NotRun;
        }
        sleep(Duration::from_millis(200));
    }
    sleep(Duration::from_secs(2));
    let firsts: Mutex<Vec<(usize, Instant, Message)>> = Mutex::default();
    let total = (PER_SECOND * SPAN.as_secs_f64()) as usize;
    let sent = Mutex::new(0usize);
    let start = Instant::now();
    scope(|s| {
        for n in 0..total {
            // Without the load only the instructions that are repeated are sent, at the same times.
            if !stage.trouble && n >= REPEATED {
                continue;
            }
            sleep(
                (start + Duration::from_secs_f64(n as f64 / PER_SECOND))
                    .saturating_duration_since(Instant::now()),
            );
            let (pay, firsts, sent) = (&pay, &firsts, &sent);
            s.spawn(move || {
                *sent.lock().expect("no thread panics with it") += 1;
                let at = Instant::now();
                let answer = pay(n, format!("first-{n}"), n % 6);
                let good = answer.filter(|a| a.status() == 200);
                good.into_iter()
                    .for_each(|a| firsts.lock().expect("no thread panics with it").push((n, at, a)));
            });
        }
    });
    sleep((start + SPAN).saturating_duration_since(Instant::now()));
    let mut firsts = firsts.into_inner().expect("no thread panics with it");
    firsts.sort_by_key(|(n, ..)| *n);
    let (mut denied, mut differing, mut oldest) = (0, 0, Duration::ZERO);
    for (n, at, first) in firsts.iter().take(REPEATED) {
        oldest = oldest.max(at.elapsed());
        // From another zone.
        let Some(answer) = pay(*n, format!("again-{n}"), (n + 1) % 6) else { continue };
        let same = answer.field(words.seal()) == first.field(words.seal()) && answer.body == first.body;
        differing += (answer.status() == 200 && !same) as usize;
        denied +=
            ((300..500).contains(&answer.status()) && ![408, 421, 429].contains(&answer.status())) as usize;
    }
    let requests = sent.into_inner().expect("no thread panics with it") + REPEATED;
    let allowed = 5.0 + requests as f64 / 500.0;
    record.note(format!(
        "{requests} requests; of {REPEATED} repeats, the oldest {} ms after its first try, {denied} were denied \
         ({allowed:.1} are allowed) and {differing} answered otherwise",
        oldest.as_millis()
    ));
    if firsts.len() < REPEATED || oldest > Duration::from_secs(60) {
        return Verdict::NotRun;
    }
    if denied as f64 > allowed || differing > 0 {
        return Verdict::Broken;
    }
    Verdict::Held
}
