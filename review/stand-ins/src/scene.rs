//! A small deployment that serves: machines, origins of two services, the first items accepted.
use crate::fleet::{Fleet, Plan};
use crate::http::{ask, Answer, Ask};
use crate::operator::{call, modify, ready, Route};
use crate::origin::{self, Book, Origin};
use crate::record::Record;
use crate::words::w;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How a case ended: 0 the rule held, 1 it was broken, 2 it could not run.
pub type Verdict = i32;
pub const HELD: Verdict = 0;
pub const BROKEN: Verdict = 1;
pub const NOT_RUN: Verdict = 2;

pub struct Scene {
    pub fleet: Fleet,
    pub book: Arc<Book>,
    pub record: Arc<Record>,
    pub over: Arc<AtomicBool>,
    /// How long an origin works on a request.
    pub work_ms: u64,
    ids: AtomicU64,
}

pub fn route(name: &str, host: &str, prefix: &str, kind: &'static str, service: &str, version: u64) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind,
        service: service.into(),
        longest: 2000,
        version,
    }
}

impl Scene {
    pub fn new(machines: usize, disks: usize, megabytes: usize, record: &Arc<Record>) -> Scene {
        let plan = Plan { machines, disks, megabytes, initial: true, spares: 0 };
        let fleet = Fleet::new(plan, record.clone());
        Scene {
            fleet,
            book: Arc::default(),
            record: record.clone(),
            over: Arc::default(),
            work_ms: 20,
            ids: AtomicU64::new(0),
        }
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.fleet.plan.machines).map(|i| self.fleet.control(i)).collect()
    }

    pub fn origins(&self, service: &str, count: usize, capacity: usize, work_ms: u64) {
        for n in 0..count {
            let zone = self.fleet.zone(n).to_string();
            let o = Origin {
                id: format!("i-{service}-{n}"),
                service: service.into(),
                zone,
                capacity,
                work: Duration::from_millis(work_ms),
            };
            origin::start(o, self.controls(), &self.book, &self.record, &self.over);
        }
    }

    /// Starts all machines, and has the first items accepted; whether all are ready.
    pub fn begin(&mut self, routes: &[Route], services: &[&str]) -> bool {
        self.fleet.start_all();
        let body = call(routes, services, 1, &[]);
        if !modify(&self.controls(), &body, Duration::from_secs(25), &self.record) {
            self.record.note("operator: the first items were not accepted");
            return false;
        }
        for (service, n) in services.iter().zip([4, 8]) {
            self.origins(service, n, 8, self.work_ms);
        }
        self.all_ready(Duration::from_secs(20))
    }

    pub fn all_ready(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        let up = || {
            (0..self.fleet.plan.machines).all(|i| self.fleet.pid(i).is_none() || ready(self.fleet.ready(i)))
        };
        while !up() {
            if Instant::now() >= until {
                self.record.note("platform: not all machines are ready");
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.note("platform: all machines are ready");
        thread::sleep(Duration::from_secs(2));
        true
    }

    pub fn id(&self) -> String {
        format!("c{:x}-{}", std::process::id(), self.ids.fetch_add(1, SeqCst))
    }

    /// One request of a client at a machine's front; what came back goes to the record.
    pub fn client(
        &self,
        i: usize,
        method: &str,
        host: &str,
        path: &str,
        key: Option<&str>,
        body: Vec<u8>,
    ) -> (String, Option<Answer>) {
        let id = self.id();
        let mut heads = vec![(w("x-req"), id.clone()), (w("x-time"), "2000".to_string())];
        heads.extend(key.map(|k| (w("x-op"), k.to_string())));
        let size = body.len();
        let got = ask(self.fleet.front(i), &Ask { method, path, host, heads, body }, Duration::from_secs(12));
        let said = match &got {
            Ok(a) => format!("{} {:?}", a.status, a.text().chars().take(90).collect::<String>()),
            Err(e) => format!("no answer: {e}"),
        };
        let key = key.unwrap_or("-");
        self.record
            .note(format!("client: {method} {host}{path} id={id} key={key} ({size} bytes) at {i}: {said}"));
        (id, got.ok())
    }

    /// Asks until a request is served, as clients do at the start.
    pub fn warm(&self, i: usize, host: &str, path: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.client(i, "GET", host, path, None, vec![]).1.is_some_and(|a| a.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }
}
