//! Polling edges for their readiness.
use crate::load_client::LoadClientEnv;
use crate::web;
use fastrand::Rng;
use primitives::Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const POLL_TIMEOUT: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Polling goes on so long after the last request is due.
const POLL_AFTER: Duration = Duration::from_secs(5);

/// Whether each edge says that it is ready; without polling all count as ready.
pub(crate) struct Readiness(Vec<(Addr, AtomicBool)>);

impl Readiness {
    pub fn new(env: &LoadClientEnv) -> Readiness {
        Readiness(env.edges.iter().map(|edge| (*edge, AtomicBool::new(true))).collect())
    }

    /// Polls every edge, each from a thread of its own, until the run is over.
    pub fn start_polling(self: &Arc<Readiness>, env: &LoadClientEnv, start: Instant) {
        let end = start + env.span + POLL_AFTER;
        for i in 0..self.0.len() {
            let readiness = self.clone();
            thread::spawn(move || {
                let (at, ready) = &readiness.0[i];
                poll(*at, ready, end);
            });
        }
    }

    /// A random edge among the ready ones, or among all if none is ready.
    pub fn pick(&self, rng: &mut Rng) -> Addr {
        let is_ready = |(_, ready): &&(Addr, AtomicBool)| ready.load(Ordering::Relaxed);
        let ready: Vec<Addr> = self.0.iter().filter(is_ready).map(|(at, _)| *at).collect();
        if ready.is_empty() {
            self.0[rng.usize(0..self.0.len())].0
        } else {
            ready[rng.usize(0..ready.len())]
        }
    }
}

fn poll(at: Addr, ready: &AtomicBool, end: Instant) {
    let agent = web::agent(POLL_TIMEOUT);
    while Instant::now() < end {
        let ok = web::get(&agent, at, "lanewing/ready").is_some_and(|(status, _)| status == 200);
        ready.store(ok, Ordering::Relaxed);
        thread::sleep(POLL_INTERVAL);
    }
}
