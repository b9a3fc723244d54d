//! LoadClients: callers that keep to a pace whatever happens, and check every answer.
use crate::content::is_page;
use crate::got::{call, Got};
use crate::mix::Mix;
use crate::ready::Ready;
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

#[derive(Clone, Debug)]
pub struct LoadClientEnv {
    pub edges: Vec<Addr>,
    pub mix: Mix,
    pub rate: u64,
    pub span: Duration,
    pub seed: u64,
    /// Denied callers ask again at once, this many times.
    pub pushy: u64,
    /// Asks only edges that lately said that they are ready.
    pub follow: bool,
    /// Purges acknowledged so far.
    pub purged: Purged,
}

/// By service: the edition that was purged in, and when that was acknowledged, in
/// milliseconds of wall time, which all stand-ins of a machine share.
pub type Purged = Arc<Mutex<Vec<(String, u64, u64)>>>;

/// What became of the requests, as their callers saw it.
#[derive(Clone, Debug, Default)]
pub struct Harvest {
    pub sent: u64,
    /// By lane and what came back.
    pub by: BTreeMap<(String, String), u64>,
    /// Answers that were not their origin's whole answer.
    pub wrong: Vec<String>,
    /// In microseconds, of whole answers.
    pub took: Vec<u64>,
    pub late: u64,
    /// Keyed requests: the key, and whether some try got a whole answer.
    pub keys: BTreeMap<String, bool>,
    /// Whole answers in each second.
    pub good: BTreeMap<u64, u64>,
}

/// Enough hands that callers who wait at one frozen edge hold up nobody else.
const HANDS: u64 = 384;
const PATIENCE: Duration = Duration::from_secs(5);

pub fn run(env: LoadClientEnv) -> Harvest {
    let all: Arc<Mutex<Harvest>> = Arc::default();
    let next = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let total = env.rate * env.span.as_secs();
    let ready = Arc::new(Ready::new(&env));
    if env.follow {
        Ready::watch(&ready, &env, start);
    }
    let hands: Vec<_> = (0..HANDS)
        .map(|w| {
            let (all, next, env, ready) = (all.clone(), next.clone(), env.clone(), ready.clone());
            thread::spawn(move || {
                let agent = web::agent(PATIENCE);
                let mut rng = Rng::with_seed(env.seed ^ (w << 32));
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    // What is still undone long after its time is not asked any more.
                    if i >= total || start.elapsed() > env.span + Duration::from_secs(10) {
                        return;
                    }
                    let due = Duration::from_micros(i * 1_000_000 / env.rate);
                    let ahead = due.checked_sub(start.elapsed());
                    ahead.into_iter().for_each(thread::sleep);
                    let late = start.elapsed() > due + Duration::from_millis(250);
                    one(&env, &ready, &agent, &mut rng, &all, i, late, start);
                }
            })
        })
        .collect();
    hands.into_iter().for_each(|h| {
        let _ = h.join();
    });
    let h = all.lock().expect("no thread panics with it").clone();
    h
}

#[allow(clippy::too_many_arguments)]
fn one(
    env: &LoadClientEnv,
    ready: &Ready,
    a: &Agent,
    rng: &mut Rng,
    all: &Mutex<Harvest>,
    i: u64,
    late: bool,
    start: Instant,
) {
    let sum: u64 = env.mix.shares.iter().map(|s| s.share).sum();
    let mut at = rng.u64(0..sum);
    let pick = env.mix.shares.iter().find(|s| {
        let here = at < s.share;
        at = at.saturating_sub(s.share);
        here
    });
    let Some(s) = pick else { return };
    // Few objects are asked for by most, as pages are.
    let obj = (rng.f64().powi(3) * s.objects as f64) as u64;
    let path = format!("{}/{}", s.lane, obj);
    let key = (s.kind == Kind::Keyed).then(|| format!("k{}-{i}", env.seed));
    let tries = 1 + (key.is_some() && rng.u64(0..100) < env.mix.again) as u64;
    for t in 0..tries + env.pushy {
        let edge = ready.pick(rng);
        let began = Instant::now();
        let (tag, asked) = (format!("{i}-{t}"), wall_ms());
        let got = call(a, edge, s, &path, key.as_deref(), &tag);
        let odd = got.odd(env, s, asked, &tag);
        let Got { what, good, body, .. } = got;
        let mut h = all.lock().expect("sound");
        h.sent += 1;
        h.late += late as u64;
        if good {
            h.took.push(began.elapsed().as_micros() as u64);
            *h.good.entry(start.elapsed().as_secs()).or_default() += 1;
            h.wrong.extend(odd.map(|o| format!("{}/{path}: {o}", s.lane)));
            if !is_page(&body, &path, &env.mix.services(&s.lane)) {
                let head = String::from_utf8_lossy(&body[..body.len().min(60)]).to_string();
                h.wrong.push(format!("{}/{path}: {head}", s.lane));
            }
        }
        *h.by.entry((s.lane.clone(), what)).or_default() += 1;
        if let Some(k) = &key {
            *h.keys.entry(k.clone()).or_default() |= good;
        }
        drop(h);
        if t + 1 >= tries && good {
            return;
        }
    }
}
