//! The load client: callers that keep to their rate whatever happens, and check every answer.
use crate::answer::{call, Answer};
use crate::content::is_page;
use crate::mix::{LaneShare, Mix};
use crate::readiness::Readiness;
use crate::stub_origin::wall_ms;
use crate::web;
use control_state::Kind;
use fastrand::Rng;
use primitives::Addr;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use ureq::Agent;

/// What a load client is told.
#[derive(Clone, Debug)]
pub struct LoadClientEnv {
    /// HTTP addresses of the edges.
    pub edges: Vec<Addr>,
    /// What is asked.
    pub mix: Mix,
    /// Requests per second.
    pub rate: u64,
    /// How long requests are sent.
    pub span: Duration,
    /// Seed of the random choices.
    pub seed: u64,
    /// How many times a denied caller asks again at once.
    pub pushy: u64,
    /// Asks only edges that lately said that they are ready.
    pub follow: bool,
    /// Purges acknowledged so far.
    pub purged: Purged,
}

/// A purge that was acknowledged.
#[derive(Clone, Debug)]
pub struct PurgedEdition {
    /// The service whose content was purged.
    pub service: String,
    /// The first edition that may be served since.
    pub edition: u64,
    /// When it was acknowledged, in milliseconds of wall time; all stand-ins of a machine
    /// share that clock.
    pub acknowledged_ms: u64,
}

/// Purges acknowledged so far, shared between whoever purges and whoever checks.
pub type Purged = Arc<Mutex<Vec<PurgedEdition>>>;

/// What became of the requests, as their callers saw it.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Requests sent, with repeated ones.
    pub sent: u64,
    /// How often each outcome occurred, by lane and outcome.
    pub by: BTreeMap<(String, String), u64>,
    /// Descriptions of answers that were not what an origin may have served.
    pub wrong: Vec<String>,
    /// Durations of the good answers in microseconds.
    pub took: Vec<u64>,
    /// Requests sent long after they were due.
    pub late: u64,
    /// Idempotency keys, and whether some try of each had a good answer.
    pub keys: BTreeMap<String, bool>,
    /// Good answers in each second of the run.
    pub good: BTreeMap<u64, u64>,
}

/// Enough that callers who wait at one frozen edge hold up nobody else.
const WORKERS: u64 = 384;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests that are overdue by the end of the run plus this are not sent any more.
const LAST_START: Duration = Duration::from_secs(10);
/// From this delay on a request counts as late.
const LATE: Duration = Duration::from_millis(250);
/// How many bytes of a wrong answer are reported.
const SHOWN_BYTES: usize = 60;

/// Sends the load and returns when it is over.
pub fn run(env: LoadClientEnv) -> LoadReport {
    let start = Instant::now();
    let readiness = Arc::new(Readiness::new(&env));
    if env.follow {
        readiness.start_polling(&env, start);
    }
    let report: Arc<Mutex<LoadReport>> = Arc::default();
    let next = Arc::new(AtomicU64::new(0));
    let worker = |number: u64| {
        let rng = Rng::with_seed(env.seed ^ (number << 32));
        let (env, readiness, report) = (env.clone(), readiness.clone(), report.clone());
        let worker = Worker { env, readiness, agent: web::agent(REQUEST_TIMEOUT), rng, report, start };
        let next = next.clone();
        thread::spawn(move || worker.run(&next))
    };
    let workers: Vec<_> = (0..WORKERS).map(worker).collect();
    for worker in workers {
        let _ = worker.join();
    }
    let report = report.lock().expect("not poisoned").clone();
    report
}

/// One thread of the load client.
struct Worker {
    env: LoadClientEnv,
    readiness: Arc<Readiness>,
    agent: Agent,
    rng: Rng,
    report: Arc<Mutex<LoadReport>>,
    start: Instant,
}

/// One request to be sent, possibly several times.
struct Request<'a> {
    share: &'a LaneShare,
    path: String,
    key: Option<String>,
    late: bool,
}

impl Worker {
    /// Takes numbers of requests from `next` until there are no more.
    fn run(mut self, next: &AtomicU64) {
        let env = self.env.clone();
        let total = env.rate * env.span.as_secs();
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= total || self.start.elapsed() > env.span + LAST_START {
                return;
            }
            let due = Duration::from_micros(number * 1_000_000 / env.rate);
            if let Some(ahead) = due.checked_sub(self.start.elapsed()) {
                thread::sleep(ahead);
            }
            let late = self.start.elapsed() > due + LATE;
            if let Some(request) = self.choose(&env.mix, number, late) {
                self.send(&request, number);
            }
        }
    }

    /// Chooses a lane by its share, and an object of it.
    fn choose<'a>(&mut self, mix: &'a Mix, number: u64, late: bool) -> Option<Request<'a>> {
        let sum: u64 = mix.shares.iter().map(|share| share.share).sum();
        let mut remaining = self.rng.u64(0..sum);
        let chosen = mix.shares.iter().find(|share| {
            let here = remaining < share.share;
            remaining = remaining.saturating_sub(share.share);
            here
        });
        let share = chosen?;
        // Few objects are asked for by most callers, as is usual for pages.
        let object = (self.rng.f64().powi(3) * share.objects as f64) as u64;
        let key = (share.kind == Kind::Keyed).then(|| format!("k{}-{number}", self.env.seed));
        Some(Request { share, path: format!("{}/{object}", share.lane), key, late })
    }

    fn send(&mut self, request: &Request, number: u64) {
        let repeat = request.key.is_some() && self.rng.u64(0..100) < self.env.mix.again;
        let tries = 1 + u64::from(repeat);
        for attempt in 0..tries + self.env.pushy {
            let good = self.attempt(request, &format!("{number}-{attempt}"));
            if attempt + 1 >= tries && good {
                return;
            }
        }
    }

    /// Sends it once and records the answer; whether that was good.
    fn attempt(&mut self, request: &Request, caller: &str) -> bool {
        let edge = self.readiness.pick(&mut self.rng);
        let (began, asked) = (Instant::now(), wall_ms());
        let key = request.key.as_deref();
        let answer = call(&self.agent, edge, request.share, &request.path, key, caller);
        let violation = answer.violation(&self.env, request.share, asked, caller);
        self.record(request, &answer, violation, began);
        answer.good
    }

    fn record(&self, request: &Request, answer: &Answer, violation: Option<String>, began: Instant) {
        let (lane, path) = (&request.share.lane, &request.path);
        let mut report = self.report.lock().expect("not poisoned");
        report.sent += 1;
        report.late += u64::from(request.late);
        if answer.good {
            report.took.push(began.elapsed().as_micros() as u64);
            *report.good.entry(self.start.elapsed().as_secs()).or_default() += 1;
            report.wrong.extend(violation.map(|violation| format!("{lane}/{path}: {violation}")));
            if !is_page(&answer.body, path, &self.env.mix.services(lane)) {
                let shown = &answer.body[..answer.body.len().min(SHOWN_BYTES)];
                report.wrong.push(format!("{lane}/{path}: {}", String::from_utf8_lossy(shown)));
            }
        }
        *report.by.entry((lane.clone(), answer.outcome.clone())).or_default() += 1;
        if let Some(key) = &request.key {
            *report.keys.entry(key.clone()).or_default() |= answer.good;
        }
    }
}
