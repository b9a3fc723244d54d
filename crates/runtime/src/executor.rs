//! Sends attempts (`Round`) to origins exactly as decided, and reports their outcomes.
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::origin_client::{agent, any_bytes_sent, set_send_deadline};
use crate::origin_response::{read_response, ResponseRead};
use crate::shell::Handle;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};
use std::collections::HashMap;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use ureq::http::{Request, Response, Uri};
use ureq::typestate::WithoutBody;
use ureq::{Agent, RequestBuilder};

type OriginHeaders = dyn Fn(&Round, Span) -> Vec<(String, Vec<u8>)> + Send + Sync;
type Classify = dyn Fn(&Round, Whole) -> FetchOutcome + Send + Sync;

/// The HTTP conventions of a deployment's origins.
#[derive(Clone)]
pub struct OriginProtocol {
    /// The header fields sent in addition to the caller's; its second argument is the time
    /// left for the attempt.
    pub origin_headers: Arc<OriginHeaders>,
    /// The outcome that a complete response stands for.
    pub judge: Arc<Classify>,
    /// Timeout for establishing a connection.
    pub connect: Duration,
}

impl Default for OriginProtocol {
    fn default() -> OriginProtocol {
        OriginProtocol {
            origin_headers: Arc::new(default_headers),
            judge: Arc::new(classify),
            connect: Duration::from_millis(800),
        }
    }
}

fn default_headers(r: &Round, _: Span) -> Vec<(String, Vec<u8>)> {
    let fields = [
        ("Lanewing-Service", r.svc.0.clone()),
        ("Lanewing-Birth", r.birth.to_string()),
        ("Lanewing-Lane", r.req.lane.0.clone()),
    ];
    let key = r.req.key.iter().map(|k| ("Idempotency-Key", k.clone()));
    fields.into_iter().chain(key).map(|(n, v)| (n.to_string(), v.into_bytes())).collect()
}

/// A 421 says that the request was meant for another incarnation of this address, so it was
/// not executed.
fn classify(_: &Round, w: Whole) -> FetchOutcome {
    if w.status == 421 {
        FetchOutcome::NotSent
    } else {
        FetchOutcome::Whole(w)
    }
}

/// Limits and resources of the executor.
#[derive(Clone)]
pub struct ExecutorConfig {
    /// Maximum bytes of a response body; a larger one is not served.
    pub answer: usize,
    /// Memory for response bodies.
    pub room: Arc<MemoryBudget>,
    pub origin_protocol: OriginProtocol,
}

/// None if the request cannot be sent as it is.
type SendResult = Option<Result<Response<ureq::Body>, ureq::Error>>;

/// Sends an attempt's request with the header fields `own` before the caller's, and reads the
/// head of the response.
fn send_request(agent: &Agent, r: &Round, own: Vec<(String, Vec<u8>)>) -> SendResult {
    let uri = uri(r)?;
    let caller_fields = r.req.heads.iter().map(|(n, v)| (n.to_string(), v.to_vec()));
    let fields = own.into_iter().chain(caller_fields);
    let body: &[u8] = &r.req.body;
    if let Some(request) = usually_bodiless(agent, &r.req.method, &uri).filter(|_| !body.is_empty()) {
        let request = fields.fold(request, |b, (n, v)| b.header(n, v));
        return Some(request.force_send_body().send(body));
    }
    let builder =
        fields.fold(Request::builder().method(r.req.method.as_str()).uri(uri), |b, (n, v)| b.header(n, v));
    if ["GET", "HEAD", "OPTIONS", "DELETE"].contains(&r.req.method.as_str()) {
        builder.body(()).ok().map(|request| agent.run(request))
    } else {
        builder.body(body).ok().map(|request| agent.run(request))
    }
}

/// The URI of an attempt; None if the library would not send the target unchanged.
fn uri(r: &Round) -> Option<String> {
    let slash = if r.req.path.starts_with('/') { "" } else { "/" };
    let target = format!("{slash}{}", r.req.path);
    let uri = format!("http://{}{target}", r.addr);
    let parsed: Uri = uri.parse().ok()?;
    let unchanged = parsed.path_and_query().is_some_and(|t| *t == *target);
    unchanged.then_some(uri)
}

/// The request builder for a method that the library sends without a body unless forced to.
fn usually_bodiless(agent: &Agent, method: &str, uri: &str) -> Option<RequestBuilder<WithoutBody>> {
    match method {
        "GET" => Some(agent.get(uri)),
        "HEAD" => Some(agent.head(uri)),
        "OPTIONS" => Some(agent.options(uri)),
        "DELETE" => Some(agent.delete(uri)),
        _ => None,
    }
}

/// Runs one attempt and returns its outcome: a complete response, or why there is none.
pub fn run(config: &ExecutorConfig, r: &Round) -> FetchOutcome {
    let timeout = (r.answer_deadline - crate::now()).max(Span::ms(1));
    run_with(config, r, agent(timeout.into(), config.origin_protocol.connect))
}

fn run_with(config: &ExecutorConfig, r: &Round, agent: Agent) -> FetchOutcome {
    // An attempt must not be sent after it was given up.
    set_send_deadline(r.until.min(r.answer_deadline));
    let failure = || if any_bytes_sent() { FetchOutcome::Lost } else { FetchOutcome::NotSent };
    let timeout = (r.answer_deadline - crate::now()).max(Span::ms(1));
    let own = (config.origin_protocol.origin_headers)(r, timeout);
    let Some(Ok(mut resp)) = send_request(&agent, r, own) else { return failure() };
    let mut reservation: Option<MemoryReservation> = None;
    // Waits for memory as long as for the origin; no attempt holds memory for longer.
    let mut reserve = |n: usize| {
        let wait: Duration = (r.answer_deadline - crate::now()).into();
        match &mut reservation {
            Some(reserved) => reserved.grow_to(n, wait),
            None => {
                reservation = config.room.reserve(n, wait);
                reservation.is_some()
            }
        }
    };
    match read_response(&r.req.method, &mut resp, config.answer, &mut reserve) {
        ResponseRead::Complete(w) => (config.origin_protocol.judge)(
            r,
            Whole { hold: MemoryHold(reservation.map(|t| Arc::new(t) as _)), ..w },
        ),
        ResponseRead::TooLarge => FetchOutcome::TooLarge,
        ResponseRead::Broken => failure(),
    }
}

/// What the executor is told to do.
pub enum ExecutorCommand {
    Run(Box<Round>),
    /// Abandon the attempt with this number, if it is running.
    Abandon(u64),
}

/// The clients of the running attempts, by number. Shutting one down closes its connection, and
/// nothing is sent by it any more.
type RunningAttempts = Arc<Mutex<HashMap<u64, Agent>>>;

/// Starts the executor. Each attempt sent to the returned sender runs on a thread of its own; the
/// edge limits the concurrent attempts per service. The returned function takes the handle that
/// outcomes are reported to.
pub fn rounds(config: ExecutorConfig) -> (Sender<ExecutorCommand>, impl FnOnce(Handle)) {
    let (tx, rx) = channel::<ExecutorCommand>();
    let start = move |h: Handle| {
        thread::spawn(move || {
            let running = RunningAttempts::default();
            for command in rx {
                match command {
                    ExecutorCommand::Run(round) => start_attempt(&config, &running, &h, *round),
                    ExecutorCommand::Abandon(n) => {
                        let agent = running.lock().expect("no thread panics with it").remove(&n);
                        agent.into_iter().for_each(Agent::shutdown);
                    }
                }
            }
        });
    };
    (tx, start)
}

/// Runs an attempt on a thread of its own and reports its outcome.
fn start_attempt(config: &ExecutorConfig, running: &RunningAttempts, handle: &Handle, r: Round) {
    let n = r.n;
    let timeout = (r.answer_deadline - crate::now()).max(Span::ms(1));
    let agent = agent(timeout.into(), config.origin_protocol.connect);
    running.lock().expect("no thread panics with it").insert(n, agent.clone());
    let (job_config, job_running, job_handle) = (config.clone(), running.clone(), handle.clone());
    let job = move || {
        let outcome = run_with(&job_config, &r, agent);
        job_running.lock().expect("no thread panics with it").remove(&n);
        job_handle.ask(Ask::Done(n, outcome), Duration::from_secs(1));
    };
    if thread::Builder::new().spawn(job).is_err() {
        running.lock().expect("no thread panics with it").remove(&n);
        handle.ask(Ask::Done(n, FetchOutcome::NotSent), Duration::from_secs(1));
    }
}

/// Starts a thread that probes origins whose heartbeats do not arrive, as the handle names them.
pub fn probe(h: Handle) {
    let agent = agent(Duration::from_millis(400), Duration::from_millis(400));
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(300));
        let Some(NodeReply::Probes(origins)) = h.ask(Ask::Probes, Duration::from_secs(1)) else { continue };
        for addr in origins {
            let (h, agent) = (h.clone(), agent.clone());
            let job = move || {
                let started = crate::now();
                set_send_deadline(Mono(u64::MAX));
                let result = probe_origin(&agent, addr);
                h.ask(Ask::ProbeResult(addr, result, started), Duration::from_secs(1));
            };
            // Without a thread for it the origin is probed the next time.
            let _ = thread::Builder::new().spawn(job);
        }
    });
}

/// The service, incarnation and whether it serves, as the origin at `addr` reports them.
fn probe_origin(agent: &Agent, addr: Addr) -> Option<(Svc, Birth, bool)> {
    let mut resp = agent.get(format!("http://{addr}/lanewing/probe")).call().ok()?;
    let text = resp.body_mut().read_to_string().ok()?;
    let value: tinyjson::JsonValue = text.parse().ok()?;
    let object: &std::collections::HashMap<String, tinyjson::JsonValue> = value.get()?;
    let svc: &String = object.get("service")?.get()?;
    let birth: &f64 = object.get("birth")?.get()?;
    let mood: &String = object.get("mood")?.get()?;
    Some((Svc(svc.clone()), Birth(*birth as u64), mood == "serving"))
}
