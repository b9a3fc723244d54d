//! The executor: runs rounds at origins exactly as decided, and reports.
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::origin_client::{agent, any_bytes_sent, set_send_deadline};
use crate::origin_response::{whole, ResponseRead};
use crate::shell::Handle;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use ureq::http::{Request, Response, Uri};
use ureq::typestate::WithoutBody;
use ureq::{Agent, RequestBuilder};

type Dress = dyn Fn(&Round, Span) -> Vec<(String, Vec<u8>)> + Send + Sync;
type Judge = dyn Fn(&Round, Whole) -> FetchOutcome + Send + Sync;

/// How a deployment's origins are spoken to.
#[derive(Clone)]
pub struct OriginProtocol {
    /// The fields that go out beside the caller's own; given what time is left.
    pub origin_headers: Arc<Dress>,
    /// What a whole answer means.
    pub judge: Arc<Judge>,
    /// How long a connection may take to come up.
    pub connect: Duration,
}

impl Default for OriginProtocol {
    fn default() -> OriginProtocol {
        OriginProtocol {
            origin_headers: Arc::new(own),
            judge: Arc::new(judge),
            connect: Duration::from_millis(800),
        }
    }
}

fn own(r: &Round, _: Span) -> Vec<(String, Vec<u8>)> {
    let own = [
        ("Lanewing-Service", r.svc.0.clone()),
        ("Lanewing-Birth", r.birth.to_string()),
        ("Lanewing-Lane", r.req.lane.0.clone()),
    ];
    let key = r.req.key.iter().map(|k| ("Idempotency-Key", k.clone()));
    own.into_iter().chain(key).map(|(n, v)| (n.to_string(), v.into_bytes())).collect()
}

/// 421: meant for another life of this address, so it was not run.
fn judge(_: &Round, w: Whole) -> FetchOutcome {
    if w.status == 421 {
        FetchOutcome::NotSent
    } else {
        FetchOutcome::Whole(w)
    }
}

#[derive(Clone)]
pub struct ExecutorConfig {
    /// Answers larger than this are not served.
    pub answer: usize,
    pub room: Arc<MemoryBudget>,
    pub origin_protocol: OriginProtocol,
}

type Answer = Option<Result<Response<ureq::Body>, ureq::Error>>;

fn ask(agent: &Agent, r: &Round, own: Vec<(String, Vec<u8>)>) -> Answer {
    let uri = uri(r)?;
    let heads = r.req.heads.iter().map(|(n, v)| (n.to_string(), v.to_vec()));
    let all = own.into_iter().chain(heads);
    let body: &[u8] = &r.req.body;
    if let Some(q) = seldom_with_body(agent, &r.req.method, &uri).filter(|_| !body.is_empty()) {
        let q = all.fold(q, |b, (n, v)| b.header(n, v));
        return Some(q.force_send_body().send(body));
    }
    let b = all.fold(Request::builder().method(r.req.method.as_str()).uri(uri), |b, (n, v)| b.header(n, v));
    if ["GET", "HEAD", "OPTIONS", "DELETE"].contains(&r.req.method.as_str()) {
        b.body(()).ok().map(|q| agent.run(q))
    } else {
        b.body(body).ok().map(|q| agent.run(q))
    }
}

/// Where the round goes; none if the library would not send the target as it is.
fn uri(r: &Round) -> Option<String> {
    let slash = if r.req.path.starts_with('/') { "" } else { "/" };
    let target = format!("{slash}{}", r.req.path);
    let uri = format!("http://{}{target}", r.addr);
    let read: Uri = uri.parse().ok()?;
    let same = read.path_and_query().is_some_and(|t| *t == *target);
    same.then_some(uri)
}

/// A request by a method that the library sends no body with unless told to.
fn seldom_with_body(agent: &Agent, method: &str, uri: &str) -> Option<RequestBuilder<WithoutBody>> {
    match method {
        "GET" => Some(agent.get(uri)),
        "HEAD" => Some(agent.head(uri)),
        "OPTIONS" => Some(agent.options(uri)),
        "DELETE" => Some(agent.delete(uri)),
        _ => None,
    }
}

/// A whole answer, or why there is none.
pub fn run(env: &ExecutorConfig, r: &Round) -> FetchOutcome {
    // A round that is given up has no business leaving any more.
    set_send_deadline(r.until.min(r.answer_deadline));
    let left = || if any_bytes_sent() { FetchOutcome::Lost } else { FetchOutcome::NotSent };
    let most = (r.answer_deadline - crate::now()).max(Span::ms(1));
    let own = (env.origin_protocol.origin_headers)(r, most);
    let Some(Ok(mut resp)) = ask(&agent(most.into(), env.origin_protocol.connect), r, own) else {
        return left();
    };
    let mut held: Option<MemoryReservation> = None;
    // Room is waited for as long as the origin is; nobody holds it for longer.
    let mut room = |n: usize| {
        let wait: Duration = (r.answer_deadline - crate::now()).into();
        match &mut held {
            Some(t) => t.reach(n, wait),
            None => {
                held = env.room.take(n, wait);
                held.is_some()
            }
        }
    };
    match whole(&r.req.method, &mut resp, env.answer, &mut room) {
        ResponseRead::Whole(w) => {
            (env.origin_protocol.judge)(r, Whole { hold: MemoryHold(held.map(|t| Arc::new(t) as _)), ..w })
        }
        ResponseRead::TooLarge => FetchOutcome::TooLarge,
        ResponseRead::Broken => left(),
    }
}

/// Rounds sent to the sender are run, each on a thread of its own: the edge bounds
/// how many of one service are out.
pub fn rounds(env: ExecutorConfig) -> (Sender<Round>, impl FnOnce(Handle)) {
    let (tx, rx) = channel::<Round>();
    let start = move |h: Handle| {
        thread::spawn(move || {
            for r in rx {
                let (env, hh, n) = (env.clone(), h.clone(), r.n);
                let job = move || {
                    let f = run(&env, &r);
                    hh.ask(Ask::Done(r.n, f), Duration::from_secs(1));
                };
                if thread::Builder::new().spawn(job).is_err() {
                    h.ask(Ask::Done(n, FetchOutcome::NotSent), Duration::from_secs(1));
                }
            }
        });
    };
    (tx, start)
}

/// Asks origins themselves, whenever their beats do not come through.
pub fn probe(h: Handle) {
    let agent = agent(Duration::from_millis(400), Duration::from_millis(400));
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(300));
        let Some(NodeReply::Probes(all)) = h.ask(Ask::Probes, Duration::from_secs(1)) else { continue };
        for a in all {
            let (h, agent) = (h.clone(), agent.clone());
            thread::spawn(move || {
                let began = crate::now();
                set_send_deadline(Mono(u64::MAX));
                let said = ask_origin(&agent, a);
                h.ask(Ask::ProbeResult(a, said, began), Duration::from_secs(1));
            });
        }
    });
}

fn ask_origin(agent: &Agent, a: Addr) -> Option<(Svc, Birth, bool)> {
    let mut resp = agent.get(format!("http://{a}/lanewing/probe")).call().ok()?;
    let text = resp.body_mut().read_to_string().ok()?;
    let v: tinyjson::JsonValue = text.parse().ok()?;
    let o: &std::collections::HashMap<String, tinyjson::JsonValue> = v.get()?;
    let svc: &String = o.get("service")?.get()?;
    let birth: &f64 = o.get("birth")?.get()?;
    let mood: &String = o.get("mood")?.get()?;
    Some((Svc(svc.clone()), Birth(*birth as u64), mood == "serving"))
}
