//! Starting, running and stopping the parts of one machine.
use crate::leave::leave;
use crate::memory_watch;
use crate::metrics;
use crate::slow_calls::SlowCalls;
use crate::{MachineConfig, Seat};
use control_state::*;
use primitives::{Addr, Mono, Span};
use runtime::disk_log::{DiskLog, DiskLogError};
use runtime::executor::{ExecutorConfig, OriginProtocol};
use runtime::front::Reply;
use runtime::http_server::{self, HttpRequest, HttpServer, Limits, ServerOptions};
use runtime::logs::{on_panic, LogBuffer};
use runtime::memory_budget::MemoryBudget;
use runtime::net::{Counts, LinkMetrics, Net};
use runtime::shell::{self, Frame, Handle};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{info, Logger};
use snafu::{ResultExt, Snafu};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;

#[derive(Debug, Snafu)]
pub enum StartError {
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen { addr: SocketAddr, source: std::io::Error },
    #[snafu(display("disk: {source}"), context(false))]
    Disk { source: DiskLogError },
    #[snafu(display("disk: {has} MB are too few, at least {need} are needed"))]
    Small { has: u64, need: u64 },
    #[snafu(display("disk: a record with a good checksum does not decode; another version wrote it"))]
    Undecodable,
    #[snafu(display("no thread to be had: {source}"))]
    Thread { source: std::io::Error },
    #[snafu(display("signals: {source}"))]
    Signals { source: std::io::Error },
}

type Result<T> = std::result::Result<T, StartError>;
type Answer = dyn Fn(&Handle, HttpRequest) -> Reply + Send + Sync;

/// How a deployment speaks: what comes in becomes the edge's questions, and its
/// receipts become answers.
#[derive(Clone)]
pub struct HttpHandlers {
    pub callers: Arc<Answer>,
    pub ready: Arc<Answer>,
    pub control: Arc<Answer>,
    /// How origins are spoken to.
    pub origin_protocol: OriginProtocol,
    /// What callers may send; asked for each request.
    pub limits: Arc<dyn Fn(&Handle) -> Limits + Send + Sync>,
}

/// The smallest disk, in MB.
const LEAST: u64 = 16;

fn bind(a: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(a).context(ListenSnafu { addr: a })
}

fn disk<K>(dir: std::path::PathBuf, size: u64, decode: fn(&[u8]) -> Option<K>) -> Result<(DiskLog, Vec<K>)> {
    let (ring, recs) = DiskLog::open(&dir, 4, size)?;
    let all = shell::unpack(recs).and_then(|e| e.iter().map(|b| decode(b)).collect());
    all.map(|k| (ring, k)).ok_or(StartError::Undecodable)
}

struct Start {
    part: Box<dyn Part>,
    first: Vec<Out>,
    ring: Option<DiskLog>,
    seat: Seat,
    rounds: Option<std::sync::mpsc::Sender<Round>>,
}

impl Start {
    fn run(
        self,
        env: &MachineConfig,
        links: &LinkMetrics,
        log: &Logger,
        front: impl FnOnce(Handle),
    ) -> Result<()> {
        let at = env.addr(self.seat);
        let counts = Arc::new(Counts::with_metrics(links.of_part(self.seat.name())));
        let net = Net::new(at, Arc::new(|_: &Addr| Default::default()), counts.clone());
        let l = bind(at.0)?;
        let log = log.new(slog::o!("part" => self.seat.name()));
        let Start { part, first, ring, rounds, .. } = self;
        shell::run(Frame { part, first, ring, net, rounds, log }, l, counts, front);
        Ok(())
    }

    /// On a thread of its own; it ends with the process. The handle comes once it runs.
    fn spawn(self, env: &MachineConfig, links: &LinkMetrics, log: &Logger) -> Result<Receiver<Handle>> {
        let (env, links, log) = (env.clone(), links.clone(), log.clone());
        let (running, handle) = channel();
        let name = self.seat.name().to_string();
        let run = move || {
            if let Err(p) = self.run(&env, &links, &log, move |h| drop(running.send(h))) {
                slog::crit!(log, "a part cannot run"; "problem" => %p);
                std::process::exit(74);
            }
        };
        thread::Builder::new().name(name).spawn(run).context(ThreadSnafu)?;
        Ok(handle)
    }
}

fn controller(env: &MachineConfig) -> Result<Start> {
    let (ring, kept) = match env.keeps() {
        Some((dir, _)) => {
            let (r, k) = disk(dir.join("controller"), env.controller_file(), controller::Kept::decode)?;
            (Some(r), k)
        }
        None => (None, vec![]),
    };
    let mut first = vec![];
    let part = Box::new(env.controller(kept, runtime::now(), &mut first));
    Ok(Start { part, first, ring, seat: Seat::Controller, rounds: None })
}

fn ledger(env: &MachineConfig, dir: &std::path::Path) -> Result<Start> {
    let (ring, kept) = disk(dir.join("ledger"), env.ledger_file(), ledger::Kept::decode)?;
    let mut first = vec![];
    let part = Box::new(env.ledger(kept, runtime::now(), &mut first));
    Ok(Start { part, first, ring: Some(ring), seat: Seat::Ledger, rounds: None })
}

/// Runs until told to stop.
pub fn run(env: MachineConfig, fronts: HttpHandlers) -> Result<()> {
    if let Some((_, has)) = env.keeps().filter(|(_, mb)| *mb < LEAST) {
        return SmallSnafu { has: *has, need: LEAST }.fail();
    }
    // Before anything is begun, so that a word to stop is never lost.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context(SignalsSnafu)?;
    let logs = LogBuffer::default();
    on_panic(logs.clone());
    let log = logs.logger();
    let links = LinkMetrics::default();
    let mut registry = runtime::metrics::registry();
    links.register(&mut registry);
    let controller = controller(&env)?.spawn(&env, &links, &log)?;
    let ledger = match env.keeps() {
        Some((dir, _)) => Some(ledger(&env, dir)?.spawn(&env, &links, &log)?),
        None => None,
    };
    let room = MemoryBudget::new(env.answers_memory());
    let bodies = MemoryBudget::new(env.bodies_memory());
    let exec = ExecutorConfig { answer: 64 << 20, room, origin_protocol: fronts.origin_protocol.clone() };
    let (tx, start) = runtime::executor::rounds(exec);
    let listen = |a: Option<SocketAddr>| a.map(bind).transpose();
    let (front, ready, control) = (listen(env.front)?, listen(env.ready)?, listen(env.control)?);
    let figures = listen(env.metrics)?;
    let part = Box::new(env.edge(runtime::life()));
    part.metrics().register(&mut registry);
    let edge = Start { part, first: vec![], ring: None, seat: Seat::Edge, rounds: Some(tx) };
    let (grace, memory) = (env.grace, env.memory);
    edge.run(&env, &links, &log.clone(), move |h| {
        start(h.clone());
        let serve = |l: Option<TcpListener>, f: &Arc<Answer>, lim: Arc<dyn Fn() -> Limits + Send + Sync>| {
            let (h, f) = (h.clone(), f.clone());
            l.map(|l| http_server::open(l, lim, move |v| f(&h, v)))
        };
        let slow_calls = SlowCalls::new(log.clone());
        let watch = Arc::new(move |exchange| slow_calls.note(runtime::now(), &exchange));
        let (hl, lf) = (h.clone(), fronts.limits.clone());
        let (caller_handle, answer_caller) = (h.clone(), fronts.callers.clone());
        let serve_caller = move |visit| answer_caller(&caller_handle, visit);
        let extras = ServerOptions { bodies: Some(bodies), ..ServerOptions::default() };
        let caller_limits = now_and_then(move || lf(&hl));
        let callers = front.map(|l| http_server::open_with(l, caller_limits, serve_caller, extras));
        let _ready = serve(ready, &fronts.ready, Arc::new(inner));
        let (control_handle, answer) = (h.clone(), fronts.control.clone());
        let serve_control = move |visit| answer(&control_handle, visit);
        let watched = ServerOptions { watch: Some(watch), ..ServerOptions::default() };
        let _control = control.map(|l| http_server::open_with(l, Arc::new(inner), serve_control, watched));
        thread::spawn(move || {
            let Ok(controller) = controller.recv() else { return h.stop() };
            let ledger = ledger.and_then(|l| l.recv().ok());
            let mut parts = vec![("edge", h.clone()), ("controller", controller.clone())];
            parts.extend(ledger.iter().map(|l| ("ledger", l.clone())));
            if let Some(listener) = figures {
                metrics::serve(listener, inner, registry, parts.clone());
            }
            memory_watch::watch(memory, parts, log.clone());
            // Settings count from the next start: a word that they changed ends nothing.
            if let Some(s) = signals.forever().find(|s| *s != SIGHUP) {
                info!(log, "leaving"; "signal" => s);
                leave(&h, &controller, ledger.as_ref(), callers.as_deref(), grace);
                h.stop();
            }
        });
    })
}

/// Looked up once a second at most: it is asked for every request.
fn now_and_then(f: impl Fn() -> Limits + Send + Sync + 'static) -> Arc<dyn Fn() -> Limits + Send + Sync> {
    let last: Mutex<Option<(Mono, Limits)>> = Mutex::default();
    Arc::new(move || {
        let mut l = last.lock().expect("no thread panics with it");
        let now = runtime::now();
        let fresh = l.filter(|(t, _)| now - *t < Span::secs(1)).map(|(_, x)| x);
        let x = fresh.unwrap_or_else(&f);
        *l = Some((fresh.map_or(now, |_| l.map_or(now, |(t, _)| t)), x));
        x
    })
}

/// What operators, origins and the platform may send.
fn inner() -> Limits {
    Limits {
        heads: 16 << 10,
        body: 8 << 20,
        head_wait: Span::secs(3),
        idle: Span::secs(60),
        send: Span::secs(5),
        connections: 256,
    }
}

/// Keeps doors apart from what is behind them.
pub(crate) type Callers<'a> = Option<&'a HttpServer>;
