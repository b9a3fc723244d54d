//! Following what edges say of their readiness.
use crate::load_client::LoadClientEnv;
use crate::web;
use fastrand::Rng;
use primitives::Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Which edges say that they are ready.
pub(crate) struct Ready(Vec<(Addr, AtomicBool)>);

impl Ready {
    pub fn new(env: &LoadClientEnv) -> Ready {
        Ready(env.edges.iter().map(|g| (*g, AtomicBool::new(true))).collect())
    }

    pub fn watch(r: &Arc<Ready>, env: &LoadClientEnv, start: Instant) {
        for i in 0..r.0.len() {
            let (r, span) = (r.clone(), env.span);
            thread::spawn(move || {
                let a = web::agent(Duration::from_millis(500));
                while start.elapsed() < span + Duration::from_secs(5) {
                    let (at, is) = &r.0[i];
                    let ok = web::get(&a, *at, "lanewing/ready").is_some_and(|(s, _)| s == 200);
                    is.store(ok, Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(150));
                }
            });
        }
    }

    pub fn pick(&self, rng: &mut Rng) -> Addr {
        let up: Vec<Addr> =
            self.0.iter().filter(|(_, is)| is.load(Ordering::Relaxed)).map(|(a, _)| *a).collect();
        if up.is_empty() {
            self.0[rng.usize(0..self.0.len())].0
        } else {
            up[rng.usize(0..up.len())]
        }
    }
}
