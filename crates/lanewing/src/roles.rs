//! Starts the roles. Each is a state machine from its own crate, without I/O, which the
//! `runtime` shell runs.
use crate::http_api;
use control_state::*;
use primitives::{Addr, Birth};
use runtime::disk_log::{DiskLog, DiskLogError};
use runtime::executor::ExecutorConfig;
use runtime::front::{self, FrontConfig};
use runtime::logs::{on_panic, LogBuffer};
use runtime::memory_budget::MemoryBudget;
use runtime::net::{Counts, Net};
use runtime::settings::{role_name, Env, Limits, Place, SettingsError};
use runtime::shell::{self, Frame};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;

mod shutdown;

/// Number of files of the on-disk ring log.
const RING_FILES: usize = 4;

/// Why a role could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings are invalid.
    #[snafu(display("{source}"), context(false))]
    Env { source: SettingsError },
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen { addr: Addr, source: std::io::Error },
    /// The disk log cannot be read, or is corrupt.
    #[snafu(display("disk: {source}"), context(false))]
    Disk { source: DiskLogError },
    /// A record has a valid checksum but does not decode.
    #[snafu(display(
        "disk: a record with a valid checksum does not decode; it was written by another version"
    ))]
    Undecodable,
    /// The signal handlers could not be installed.
    #[snafu(display("signals: {source}"))]
    Signals { source: std::io::Error },
}

type Result<T> = std::result::Result<T, StartError>;

/// The configuration that a process is started with.
pub struct Start {
    /// The settings.
    pub env: Env,
    /// This process's entry in the settings, as overridden by arguments.
    pub place: Place,
    /// Folder for all files; each node uses a subfolder of its own.
    pub data: PathBuf,
    /// Whether to delay messages by the distances in the settings.
    pub simulate: bool,
}

fn bind(addr: Addr) -> Result<TcpListener> {
    TcpListener::bind(addr.0).context(ListenSnafu { addr })
}

impl Start {
    /// What an edge or a ledger needs to follow the control state.
    fn follower_env(&self, birth: Birth) -> FollowerEnv {
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

    /// The network; with `simulate` it delays messages by the distance to their receiver.
    fn net(&self, counts: &Arc<Counts>) -> Net {
        let (env, own_zone, simulate) = (self.env.clone(), self.place.zone.clone(), self.simulate);
        let delay = move |addr: &Addr| {
            let place = env.nodes.iter().find(|place| place.cohort == *addr).filter(|_| simulate);
            place.map(|place| env.away(&own_zone, &place.zone)).unwrap_or_default()
        };
        Net::new(self.place.cohort, Arc::new(delay), counts.clone())
    }

    /// Opens the disk log of this node and decodes its records.
    fn disk<T>(&self, decode: fn(&[u8]) -> Option<T>) -> Result<(DiskLog, Vec<T>)> {
        let dir = self.data.join(format!("node-{}", self.place.node));
        let file_size = (self.env.limits.ring_mb << 20) as u64 / RING_FILES as u64;
        let (disk_log, records) = DiskLog::open(&dir, RING_FILES, file_size)?;
        let entries = shell::unpack(records).context(UndecodableSnafu)?;
        let decoded = entries.iter().map(|entry| decode(entry)).collect::<Option<Vec<T>>>();
        Ok((disk_log, decoded.context(UndecodableSnafu)?))
    }

    /// Runs a state machine until the process receives a signal to end. `first` are the outputs of
    /// its start.
    fn run(self, part: Box<dyn Part>, first: Vec<Out>, disk_log: Option<DiskLog>) -> Result<()> {
        let logs = LogBuffer::default();
        on_panic(logs.clone());
        let role = role_name(self.place.role);
        let log = logs.logger().new(slog::o!("role" => role, "node" => self.place.node.0));
        let counts = Arc::new(Counts::default());
        let net = self.net(&counts);
        let cohort = bind(self.place.cohort)?;
        let http = bind(self.place.http)?;
        let limits = self.env.limits.clone();
        let memory_budget = MemoryBudget::new(limits.memory_mb << 20);
        let (rounds, start_executor) = runtime::executor::rounds(executor_config(&limits, &memory_budget));
        let front_config = front_config(&limits, memory_budget);
        let frame = Frame { part, first, ring: disk_log, net, rounds: Some(rounds), log: log.clone() };
        let signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
        let is_edge = self.place.role == Role::Edge;
        let api_counts = counts.clone();
        shell::run(frame, cohort, counts, move |handle| {
            let api = handle.clone();
            let answer = move |call| http_api::answer(&api, role, &api_counts, call);
            let open = front::serve(http, front_config, answer);
            if is_edge {
                start_executor(handle.clone());
                runtime::executor::probe(handle.clone());
            }
            shutdown::shut_down_on_signal(signals, handle, open, limits, log);
        });
        Ok(())
    }
}

fn executor_config(limits: &Limits, memory_budget: &Arc<MemoryBudget>) -> ExecutorConfig {
    ExecutorConfig {
        answer: limits.answer_kb << 10,
        room: memory_budget.clone(),
        origin_protocol: Default::default(),
    }
}

fn front_config(limits: &Limits, memory_budget: Arc<MemoryBudget>) -> FrontConfig {
    FrontConfig {
        callers: limits.callers,
        body: limits.body_kb << 10,
        room: memory_budget,
        patience: Default::default(),
    }
}

/// Runs a controller until the process receives a signal to end.
pub fn controller(start: Start) -> Result<()> {
    let (disk_log, records) = start.disk(controller::Kept::decode)?;
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
    let part = controller::Controller::start(env, records, runtime::life(), runtime::now(), &mut first);
    start.run(Box::new(part), first, Some(disk_log))
}

/// Runs an edge until the process receives a signal to end.
pub fn edge(start: Start) -> Result<()> {
    let limits = start.env.limits.clone();
    let env = edge::EdgeEnv {
        follow: start.follower_env(Birth(runtime::life())),
        fresh: limits.fresh,
        patience: limits.patience,
        copies: limits.copies_mb << 20,
        // At most a quarter for one service, so that two services that hang leave half for the others.
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

/// Runs a ledger until the process receives a signal to end.
pub fn ledger(start: Start) -> Result<()> {
    let (disk_log, records) = start.disk(ledger::Kept::decode)?;
    let limits = &start.env.limits;
    let compact_after_bytes = limits.ring_mb << 18;
    let copies_bytes = limits.ring_mb << 16;
    let env = ledger::LedgerEnv {
        // A ledger's incarnation is that of its disk.
        follow: start.follower_env(Birth(0)),
        window: limits.window,
        compact_after_bytes,
        log_form: ledger::LogForm::Compacted,
        room: copies_bytes,
        // One file of the ring log, less the cached copies and a reserve of an eighth.
        most: compact_after_bytes - copies_bytes - compact_after_bytes / 8,
        boot: runtime::boot(),
        max_content_bytes: usize::MAX,
        losses: 1,
        leave: LEAVE,
        minimal_outcome_copies: false,
    };
    let mut first = vec![];
    let part = ledger::Ledger::start(env, records, runtime::life(), runtime::now(), &mut first);
    start.run(Box::new(part), first, Some(disk_log))
}
