//! The executor: runs rounds at origins exactly as decided, and reports.
use crate::shell::Handle;
use base64::prelude::{Engine, BASE64_STANDARD};
use brood::*;
use sha2::{Digest, Sha256};
use std::cell::Cell;
use std::io::Read;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};
use ureq::Agent;
use wax::{Addr, Birth, Mono};

/// Answers larger than this are not served.
const LARGEST: u64 = 8 << 20;

thread_local! {
    /// Until when this thread's round may leave, and whether any of it did.
    static LEAVE: Cell<(Mono, bool)> = const { Cell::new((Mono(0), false)) };
}

/// Looks at the clock right before bytes leave: after a freeze nothing goes out
/// on a decision made before it.
#[derive(Debug)]
struct Turnstile;

#[derive(Debug)]
struct Turned<T>(T);

impl<In: Transport> Connector<In> for Turnstile {
    type Out = Turned<In>;
    fn connect(&self, _: &ConnectionDetails, chained: Option<In>) -> Result<Option<Turned<In>>, ureq::Error> {
        Ok(chained.map(Turned))
    }
}

impl<T: Transport> Transport for Turned<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }
    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        let (until, left) = LEAVE.get();
        if !left && crate::now() >= until {
            return Err(ureq::Error::Io(std::io::ErrorKind::TimedOut.into()));
        }
        LEAVE.set((until, true));
        self.0.transmit_output(amount, timeout)
    }
    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.0.await_input(timeout)
    }
    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }
}

/// Never pools: a kept-alive connection could outlive the service behind it.
fn agent(most: Duration) -> Agent {
    let c = Config::builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .proxy(None)
        .timeout_connect(Some(Duration::from_millis(800)))
        .timeout_global(Some(most))
        .build();
    let tcp: TcpConnector = TcpConnector::default();
    Agent::with_parts(c, Connector::<()>::chain(tcp, Turnstile), DefaultResolver::default())
}

/// A whole answer, or why there is none.
fn run(r: &Round) -> Fetched {
    LEAVE.set((r.until, false));
    let left = || {
        if LEAVE.get().1 {
            Fetched::Lost
        } else {
            Fetched::NotSent
        }
    };
    let most = (r.horizon - crate::now()).max(wax::Span::ms(1));
    let uri = format!("http://{}/{}", r.addr, r.req.path);
    let mut b = ureq::http::Request::builder()
        .method(r.req.method.as_str())
        .uri(uri)
        .header("Lanewing-Service", r.svc.0.as_str())
        .header("Lanewing-Birth", r.birth.to_string())
        .header("Lanewing-Lane", r.req.lane.0.as_str());
    if let Some(k) = &r.req.key {
        b = b.header("Idempotency-Key", k.as_str());
    }
    if !r.req.mime.is_empty() {
        b = b.header("Content-Type", r.req.mime.as_str());
    }
    let body: &[u8] = &r.req.body;
    let agent = agent(most.into());
    let got = match body.is_empty() && r.req.method == "GET" {
        true => b.body(()).ok().map(|q| agent.run(q)),
        false => b.body(body).ok().map(|q| agent.run(q)),
    };
    let Some(Ok(mut resp)) = got else { return left() };
    whole(&mut resp).map(Fetched::Whole).unwrap_or_else(left)
}

/// Length and digest must agree with what came; an answer that just breaks off
/// without having named its length is not known to be whole.
fn whole(resp: &mut ureq::http::Response<ureq::Body>) -> Option<Whole> {
    let text = |n: &str| resp.headers().get(n).and_then(|v| v.to_str().ok()).map(str::to_string);
    let length: Option<u64> = text("content-length").and_then(|v| v.parse().ok());
    let chunked = text("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
    let digest = text("content-digest").or(text("repr-digest"));
    let mime = text("content-type").unwrap_or_default();
    let status = resp.status().as_u16();
    let mut body = vec![];
    resp.body_mut().as_reader().take(LARGEST + 1).read_to_end(&mut body).ok()?;
    let sized = length.map_or(chunked || status == 204, |n| n == body.len() as u64);
    let mine = || format!("sha-256=:{}:", BASE64_STANDARD.encode(Sha256::digest(&body)));
    let named = digest.filter(|d| d.starts_with("sha-256="));
    let same = named.is_none_or(|d| d == mine());
    (sized && same && body.len() as u64 <= LARGEST).then_some(Whole { status, mime, body })
}

/// Starts the executor's threads; rounds sent to the sender are run.
pub fn rounds() -> (Sender<Round>, impl FnOnce(Handle)) {
    let (tx, rx) = channel::<Round>();
    let rx = Arc::new(Mutex::new(rx));
    let start = move |h: Handle| {
        for _ in 0..96 {
            let (rx, h) = (rx.clone(), h.clone());
            thread::spawn(move || {
                while let Some(r) = take(&rx) {
                    let f = run(&r);
                    h.ask(Ask::Done(r.n, f), Duration::from_secs(1));
                }
            });
        }
    };
    (tx, start)
}

fn take(rx: &Mutex<Receiver<Round>>) -> Option<Round> {
    rx.lock().ok()?.recv().ok()
}

/// Asks origins themselves, whenever their beats do not come through.
pub fn probe(h: Handle) {
    let agent = agent(Duration::from_millis(400));
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(300));
        let Some(Receipt::Probes(all)) = h.ask(Ask::Probes, Duration::from_secs(1)) else { continue };
        for a in all {
            let (h, agent) = (h.clone(), agent.clone());
            thread::spawn(move || {
                let began = crate::now();
                LEAVE.set((Mono(u64::MAX), false));
                let said = ask_origin(&agent, a);
                h.ask(Ask::Probed(a, said, began), Duration::from_secs(1));
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
