//! Starts, runs and stops the parts of one machine.
use crate::leave::leave;
use crate::memory_watch;
use crate::metrics;
use crate::recovered_log::{decode_log, CONTROLLER_FILES};
use crate::slow_calls::SlowCalls;
use crate::{MachineConfig, MachinePart};
use control_state::*;
use primitives::{Addr, Mono, Span};
use runtime::disk_log::{DiskLog, DiskLogError};
use runtime::executor::{ExecutorCommand, ExecutorConfig, OriginProtocol};
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

/// Why the process could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen { addr: SocketAddr, source: std::io::Error },
    #[snafu(display("disk: {source}"), context(false))]
    Disk { source: DiskLogError },
    #[snafu(display("disk limit of {has} MB is too small: at least {need} MB are required"))]
    DiskTooSmall { has: u64, need: u64 },
    #[snafu(display(
        "disk: a stored record has a valid checksum but cannot be decoded; it was written by another version"
    ))]
    Undecodable,
    #[snafu(display("cannot start a thread: {source}"))]
    Thread { source: std::io::Error },
    #[snafu(display("cannot register signal handlers: {source}"))]
    Signals { source: std::io::Error },
}

pub(crate) type Result<T> = std::result::Result<T, StartError>;
type RequestHandler = dyn Fn(&Handle, HttpRequest) -> Reply + Send + Sync;

/// The deployment's protocol: converts incoming HTTP requests into requests to the edge, and the edge's answers
/// into HTTP replies.
#[derive(Clone)]
pub struct HttpHandlers {
    /// Answers callers' requests.
    pub callers: Arc<RequestHandler>,
    /// Answers readiness probes.
    pub ready: Arc<RequestHandler>,
    /// Answers control calls.
    pub control: Arc<RequestHandler>,
    /// Headers of requests to origins and the interpretation of their answers.
    pub origin_protocol: OriginProtocol,
    /// Limits on callers' requests; looked up at most once a second.
    pub limits: Arc<dyn Fn(&Handle) -> Limits + Send + Sync>,
}

/// Smallest disk limit in MB.
const MIN_DISK_MB: u64 = 16;

fn bind(a: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(a).context(ListenSnafu { addr: a })
}

/// A part that is ready to run.
struct Start {
    part: Box<dyn Part>,
    first: Vec<Out>,
    ring: Option<DiskLog>,
    kind: MachinePart,
    /// Sends requests for origins to the executor; only the edge has one.
    rounds: Option<std::sync::mpsc::Sender<ExecutorCommand>>,
}

impl Start {
    /// Runs the part on this thread until it is stopped; `front` is called with its handle.
    fn run(
        self,
        config: &MachineConfig,
        links: &LinkMetrics,
        log: &Logger,
        front: impl FnOnce(Handle),
    ) -> Result<()> {
        let at = config.addr(self.kind);
        let counts = Arc::new(Counts::with_metrics(links.of_part(self.kind.name())));
        let net = Net::new(at, Arc::new(|_: &Addr| Default::default()), counts.clone());
        let listener = bind(at.0)?;
        let log = log.new(slog::o!("part" => self.kind.name()));
        let Start { part, first, ring, rounds, .. } = self;
        shell::run(Frame { part, first, ring, net, rounds, log }, listener, counts, front);
        Ok(())
    }

    /// Runs the part on its own thread until the process ends. The receiver gets the handle once the part runs.
    /// If it cannot run, the process exits with code 74.
    fn spawn(self, config: &MachineConfig, links: &LinkMetrics, log: &Logger) -> Result<Receiver<Handle>> {
        let (config, links, log) = (config.clone(), links.clone(), log.clone());
        let (running, handle) = channel();
        let name = self.kind.name().to_string();
        let run = move || {
            if let Err(error) = self.run(&config, &links, &log, move |h| drop(running.send(h))) {
                slog::crit!(log, "cannot start a part of the machine"; "problem" => %error);
                std::process::exit(74);
            }
        };
        thread::Builder::new().name(name).spawn(run).context(ThreadSnafu)?;
        Ok(handle)
    }
}

fn controller(config: &MachineConfig) -> Result<Start> {
    let (ring, records) = match config.durable_storage() {
        Some((dir, _)) => {
            let (dir, size) = (dir.join("controller"), config.controller_file_size());
            let opened = DiskLog::open(&dir, CONTROLLER_FILES, size)?;
            let (ring, records) = decode_log(opened, controller::Kept::decode)?;
            (Some(ring), records)
        }
        None => (None, vec![]),
    };
    let mut first = vec![];
    let part = Box::new(config.controller(records, runtime::now(), &mut first));
    Ok(Start { part, first, ring, kind: MachinePart::Controller, rounds: None })
}

fn ledger(config: &MachineConfig, dir: &std::path::Path) -> Result<Start> {
    let (ring, records) = config.open_ledger_log(dir)?;
    let mut first = vec![];
    let part = Box::new(config.ledger(records, runtime::now(), &mut first));
    Ok(Start { part, first, ring: Some(ring), kind: MachinePart::Ledger, rounds: None })
}

/// Runs all parts of the machine until a signal tells the process to stop. Errors if a listener, a log, a thread
/// or the signal handlers cannot be set up.
pub fn run(config: MachineConfig, handlers: HttpHandlers) -> Result<()> {
    if let Some((_, has)) = config.durable_storage().filter(|(_, mb)| *mb < MIN_DISK_MB) {
        return DiskTooSmallSnafu { has: *has, need: MIN_DISK_MB }.fail();
    }
    // Registered before anything is started, so that no signal to stop is lost.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context(SignalsSnafu)?;
    let logs = LogBuffer::default();
    on_panic(logs.clone());
    let log = logs.logger();
    let links = LinkMetrics::default();
    let mut registry = runtime::metrics::registry();
    links.register(&mut registry);
    let controller = controller(&config)?.spawn(&config, &links, &log)?;
    let ledger = match config.durable_storage() {
        Some((dir, _)) => Some(ledger(&config, dir)?.spawn(&config, &links, &log)?),
        None => None,
    };
    let room = MemoryBudget::new(config.answers_memory());
    let bodies = MemoryBudget::new(config.bodies_memory());
    let exec = ExecutorConfig { answer: 64 << 20, room, origin_protocol: handlers.origin_protocol.clone() };
    let (tx, start) = runtime::executor::rounds(exec);
    let listen = |a: Option<SocketAddr>| a.map(bind).transpose();
    let (front, ready, control) = (listen(config.front)?, listen(config.ready)?, listen(config.control)?);
    let metrics_listener = listen(config.metrics)?;
    let part = Box::new(config.edge(runtime::life()));
    part.metrics().register(&mut registry);
    let edge = Start { part, first: vec![], ring: None, kind: MachinePart::Edge, rounds: Some(tx) };
    let (grace, memory) = (config.grace, config.memory);
    edge.run(&config, &links, &log.clone(), move |h| {
        start(h.clone());
        let serve = |listener: Option<TcpListener>,
                     handler: &Arc<RequestHandler>,
                     limits: Arc<dyn Fn() -> Limits + Send + Sync>| {
            let (h, handler) = (h.clone(), handler.clone());
            listener.map(|l| http_server::open(l, limits, move |http| handler(&h, http)))
        };
        let slow_calls = SlowCalls::new(log.clone());
        let watch = Arc::new(move |exchange| slow_calls.log_if_slow(runtime::now(), &exchange));
        let (limits_handle, limits) = (h.clone(), handlers.limits.clone());
        let (caller_handle, answer_caller) = (h.clone(), handlers.callers.clone());
        let serve_caller = move |http| answer_caller(&caller_handle, http);
        let caller_options =
            ServerOptions { bodies: Some(bodies), departures: true, ..ServerOptions::default() };
        let caller_limits = cache_for_a_second(move || limits(&limits_handle));
        let callers = front.map(|l| http_server::open_with(l, caller_limits, serve_caller, caller_options));
        let _ready = serve(ready, &handlers.ready, Arc::new(internal_limits));
        let (control_handle, answer) = (h.clone(), handlers.control.clone());
        let serve_control = move |http| answer(&control_handle, http);
        let control_options = ServerOptions { watch: Some(watch), ..ServerOptions::default() };
        let _control = control
            .map(|l| http_server::open_with(l, Arc::new(internal_limits), serve_control, control_options));
        thread::spawn(move || {
            let Ok(controller) = controller.recv() else { return h.stop() };
            let ledger = ledger.and_then(|l| l.recv().ok());
            let mut parts = vec![("edge", h.clone()), ("controller", controller.clone())];
            parts.extend(ledger.iter().map(|l| ("ledger", l.clone())));
            if let Some(listener) = metrics_listener {
                metrics::serve(listener, internal_limits, registry, parts.clone());
            }
            memory_watch::watch(memory, h.clone(), ledger.clone(), parts, log.clone());
            // SIGHUP announces changed settings; they take effect at the next start, so it is ignored.
            if let Some(signal) = signals.forever().find(|s| *s != SIGHUP) {
                info!(log, "shutting down"; "signal" => signal);
                leave(&h, &controller, ledger.as_ref(), callers.as_deref(), grace);
                h.stop();
            }
        });
    })
}

/// Caches the limits for one second, because they are requested for every request.
fn cache_for_a_second(
    f: impl Fn() -> Limits + Send + Sync + 'static,
) -> Arc<dyn Fn() -> Limits + Send + Sync> {
    let last: Mutex<Option<(Mono, Limits)>> = Mutex::default();
    Arc::new(move || {
        let mut cached = last.lock().expect("no thread panics with it");
        let now = runtime::now();
        let fresh = cached.filter(|(at, _)| now - *at < Span::secs(1)).map(|(_, limits)| limits);
        let limits = fresh.unwrap_or_else(&f);
        *cached = Some((fresh.map_or(now, |_| cached.map_or(now, |(at, _)| at)), limits));
        limits
    })
}

/// Limits on requests from operators, origins and the deployment's probes.
fn internal_limits() -> Limits {
    Limits {
        heads: 16 << 10,
        body: 8 << 20,
        head_wait: Span::secs(3),
        idle: Span::secs(60),
        send: Span::secs(5),
        connections: 256,
    }
}

/// The callers' HTTP server, if this machine has one.
pub(crate) type CallerServer<'a> = Option<&'a HttpServer>;
