//! Starting the roles: each is a pure part from its own crate, run by the `runtime` shell.
use crate::http_api;
use control_state::*;
use primitives::{Addr, Birth, Span};
use runtime::disk_log::{DiskLog, DiskLogError};
use runtime::executor::ExecutorConfig;
use runtime::front::{self, FrontConfig, Open};
use runtime::logs::{on_panic, LogBuffer};
use runtime::memory_budget::MemoryBudget;
use runtime::net::{Counts, Net};
use runtime::settings::{role_name, Env, Limits, Place, SettingsError};
use runtime::shell::{self, Frame, Handle};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::info;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Files of a ring on disk.
const RING_FILES: usize = 4;
/// How often a leaving process looks whether it still has requests in hand.
const LEAVE_POLL: Duration = Duration::from_millis(50);
/// It ends once it had none so many times in a row.
const IDLE_POLLS: u32 = 4;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a role could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings are invalid.
    #[snafu(display("{source}"), context(false))]
    Env { source: SettingsError },
    /// An address is not free.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen { addr: Addr, source: std::io::Error },
    /// The disk cannot be read or trusted.
    #[snafu(display("disk: {source}"), context(false))]
    Disk { source: DiskLogError },
    /// A record is intact and unknown.
    #[snafu(display("disk: a record with a good checksum does not decode; another version wrote it"))]
    Undecodable,
    /// Signals cannot be handled.
    #[snafu(display("signals: {source}"))]
    Signals { source: std::io::Error },
}

type Result<T> = std::result::Result<T, StartError>;

/// What a process is started with.
pub struct Start {
    /// The settings.
    pub env: Env,
    /// This process's entry in them, as overridden by arguments.
    pub place: Place,
    /// Folder of all files; each node has its own part of it.
    pub data: PathBuf,
    /// Delays messages by the distances of the settings.
    pub simulate: bool,
}

fn bind(addr: Addr) -> Result<TcpListener> {
    TcpListener::bind(addr.0).context(ListenSnafu { addr })
}

impl Start {
    fn follow(&self, birth: Birth) -> FollowerEnv {
        let place = self.place.clone();
        FollowerEnv {
            id: place.node,
            role: place.role,
            addr: place.cohort,
            http: place.http,
            zone: place.zone,
            seeds: place.seeds,
            birth,
            life: runtime::life(),
            capacity: 1,
            lease: self.env.limits.lease,
            serve_without_lease: false,
        }
    }

    fn net(&self, counts: &Arc<Counts>) -> Net {
        let (env, own_zone, simulate) = (self.env.clone(), self.place.zone.clone(), self.simulate);
        let delay = move |addr: &Addr| {
            let place = env.nodes.iter().find(|place| place.cohort == *addr).filter(|_| simulate);
            place.map(|place| env.away(&own_zone, &place.zone)).unwrap_or_default()
        };
        Net::new(self.place.cohort, Arc::new(delay), counts.clone())
    }

    /// Opens the ring of this node and decodes its records.
    fn disk<T>(&self, decode: fn(&[u8]) -> Option<T>) -> Result<(DiskLog, Vec<T>)> {
        let dir = self.data.join(format!("node-{}", self.place.node));
        let file_size = (self.env.limits.ring_mb << 20) as u64 / RING_FILES as u64;
        let (ring, records) = DiskLog::open(&dir, RING_FILES, file_size)?;
        let entries = shell::unpack(records).context(UndecodableSnafu)?;
        let kept = entries.iter().map(|entry| decode(entry)).collect::<Option<Vec<T>>>();
        Ok((ring, kept.context(UndecodableSnafu)?))
    }

    /// Runs a part until this process is told to end.
    fn run(self, part: Box<dyn Part>, first: Vec<Out>, ring: Option<DiskLog>) -> Result<()> {
        let logs = LogBuffer::default();
        on_panic(logs.clone());
        let role = role_name(self.place.role);
        let log = logs.logger().new(slog::o!("role" => role, "node" => self.place.node.0));
        let counts = Arc::new(Counts::default());
        let net = self.net(&counts);
        let cohort = bind(self.place.cohort)?;
        let http = bind(self.place.http)?;
        let limits = self.env.limits.clone();
        let room = MemoryBudget::new(limits.memory_mb << 20);
        let (rounds, start_executor) = runtime::executor::rounds(executor_env(&limits, &room));
        let front_env = front_env(&limits, room);
        let frame = Frame { part, first, ring, net, rounds: Some(rounds), log: log.clone() };
        let signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
        let is_edge = self.place.role == Role::Edge;
        let api_counts = counts.clone();
        shell::run(frame, cohort, counts, move |handle| {
            let api = handle.clone();
            let answer = move |call| http_api::answer(&api, role, &api_counts, call);
            let open = front::serve(http, front_env, answer);
            if is_edge {
                start_executor(handle.clone());
                runtime::executor::probe(handle.clone());
            }
            leave_on_signal(signals, handle, open, limits, log);
        });
        Ok(())
    }
}

fn executor_env(limits: &Limits, room: &Arc<MemoryBudget>) -> ExecutorConfig {
    ExecutorConfig { answer: limits.answer_kb << 10, room: room.clone(), origin_protocol: Default::default() }
}

fn front_env(limits: &Limits, room: Arc<MemoryBudget>) -> FrontConfig {
    FrontConfig { callers: limits.callers, body: limits.body_kb << 10, room, patience: Default::default() }
}

fn leave_on_signal(mut signals: Signals, handle: Handle, open: Arc<Open>, limits: Limits, log: slog::Logger) {
    thread::spawn(move || {
        if let Some(signal) = signals.forever().next() {
            info!(log, "leaving"; "signal" => signal);
            leave(&handle, &open, limits.patience, limits.grace);
            open.close_idle();
            handle.stop();
        }
    });
}

/// Drains this process: it is not ready any more, takes requests for the grace period, and
/// then waits for those in hand, so that no request that an origin works on is cut off.
fn leave(handle: &Handle, open: &Open, patience: Span, grace: Span) {
    let longest = Duration::from(patience.times(3) + grace);
    let mut idle_polls = 0;
    for _ in 0..longest.as_millis() / LEAVE_POLL.as_millis() {
        let busy = match handle.ask(Ask::Drain, DRAIN_TIMEOUT) {
            Some(NodeReply::Health(health)) => health.in_hand > 0 || health.accepting_requests,
            _ => false,
        };
        idle_polls = if busy || open.any() { 0 } else { idle_polls + 1 };
        if idle_polls >= IDLE_POLLS {
            return;
        }
        thread::sleep(LEAVE_POLL);
    }
}

/// Runs a controller.
pub fn controller(start: Start) -> Result<()> {
    let (ring, kept) = start.disk(controller::Kept::decode)?;
    let (limits, place) = (start.env.limits.clone(), start.place.clone());
    let env = controller::ControllerEnv {
        addr: place.cohort,
        http: place.http,
        zone: place.zone,
        seeds: place.seeds,
        found: true,
        open: None,
        lease: limits.lease,
        cut_at: limits.cut_at,
        window: limits.window,
        vanish: limits.vanish,
        compact_after_bytes: limits.ring_mb << 18,
        contact_by_echo: true,
        room: (limits.ring_mb << 20) * 3 / 8,
        pace: caesar::ReplicaConfig::default(),
    };
    let mut first = vec![];
    let part = controller::Controller::start(env, kept, runtime::life(), runtime::now(), &mut first);
    start.run(Box::new(part), first, Some(ring))
}

/// Runs an edge.
pub fn edge(start: Start) -> Result<()> {
    let limits = start.env.limits.clone();
    let env = edge::EdgeEnv {
        follow: start.follow(Birth(runtime::life())),
        fresh: limits.fresh,
        patience: limits.patience,
        copies: limits.copies_mb << 20,
        // A quarter for one service: two that hang leave half to the others.
        hands: (limits.callers / 4, limits.callers),
        grace: limits.grace,
        policy: edge::EdgePolicy::default(),
        losses: 1,
        disk_cache: true,
        leave: LEAVE,
        controller: None,
    };
    start.run(Box::new(edge::Edge::new(env)), vec![], None)
}

/// Runs a ledger.
pub fn ledger(start: Start) -> Result<()> {
    let (ring, kept) = start.disk(ledger::Kept::decode)?;
    let limits = &start.env.limits;
    let compact_after_bytes = limits.ring_mb << 18;
    let room = limits.ring_mb << 16;
    let env = ledger::LedgerEnv {
        // Its birth is that of its disk.
        follow: start.follow(Birth(0)),
        window: limits.window,
        compact_after_bytes,
        room,
        // One file of the ring, less the copies and an eighth to spare.
        most: compact_after_bytes - room - compact_after_bytes / 8,
        boot: runtime::boot(),
        losses: 1,
        leave: LEAVE,
        minimal_outcome_copies: false,
    };
    let mut first = vec![];
    let part = ledger::Ledger::start(env, kept, runtime::life(), runtime::now(), &mut first);
    start.run(Box::new(part), first, Some(ring))
}
