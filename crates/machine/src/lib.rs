//! All parts of one machine (edge, controller and ledger) in one process, for deployments that run one
//! program on each machine and configure little about the other machines.
mod leave;
mod ledger_log;
mod memory;
mod memory_watch;
mod metrics;
mod parts;
mod recovered_log;
mod run;
mod slow_calls;

pub use memory_watch::pressure_at;
pub use run::{run, HttpHandlers, StartError};

use control_state::Zone;
use primitives::{Addr, NodeId, Span};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// Configuration of the process: its addresses, its resources and its limits.
#[derive(Clone, Debug)]
pub struct MachineConfig {
    /// Address of all listeners of the parts.
    pub ip: IpAddr,
    /// First of the three consecutive ports for the links between parts, one for each part.
    pub port: u16,
    /// Written `region/zone`.
    pub zone: Zone,
    /// Machines whose controllers are contacted at the start.
    pub seeds: Vec<IpAddr>,
    /// Whether this is the first start of the whole deployment, with empty disks.
    pub initial: bool,
    /// Data directory and the megabytes that may be used in it.
    pub disk: Option<(PathBuf, u64)>,
    /// Whether a loss of the disk counts as one of the tolerated losses. Only then do the controller and the
    /// ledger store data on it.
    pub disk_counted: bool,
    /// Number of simultaneous losses that are tolerated.
    pub tolerated_losses: usize,
    /// Bandwidth of the network link in bits per second, if known.
    pub link_bits_per_second: Option<u64>,
    /// Number of processor cores available to the process; may be a fraction.
    pub cores: f64,
    /// Memory limit of the process in bytes.
    pub memory: usize,
    /// How long an operation key stays bound to its first attempt.
    pub key_window: Span,
    /// Time between the signal to stop and the kill of the process.
    pub grace: Span,
    /// Retry budget: retries as a share of all requests, and an allowance in addition.
    pub retry: (f64, f64),
    /// Interval between heartbeats of an origin.
    pub heartbeat_interval: Span,
    /// Listen address for callers' requests.
    pub front: Option<SocketAddr>,
    /// Listen address for readiness probes.
    pub ready: Option<SocketAddr>,
    /// Listen address of the control API.
    pub control: Option<SocketAddr>,
    /// Listen address for metrics.
    pub metrics: Option<SocketAddr>,
}

/// The parts of a machine. The discriminant is the offset of the part's port from the first port.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum MachinePart {
    Controller,
    Edge,
    Ledger,
}

/// Approximate processor time for passing an answer to another node.
const ANSWER_PROCESSOR_SECONDS: f64 = 0.0004;
/// Approximate size on the link of an answer that is passed to another node.
const ANSWER_BITS: f64 = 24_000.0 * 8.0;

impl MachinePart {
    /// Name of the part in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            MachinePart::Controller => "controller",
            MachinePart::Edge => "edge",
            MachinePart::Ledger => "ledger",
        }
    }
}

impl MachineConfig {
    /// Listen address of a part of this machine.
    pub(crate) fn addr(&self, part: MachinePart) -> Addr {
        Addr(SocketAddr::new(self.ip, self.port + part as u16))
    }

    /// Node id of a part; unique for each part of each machine.
    pub(crate) fn id(&self, part: MachinePart) -> NodeId {
        let ip = match self.ip {
            IpAddr::V4(a) => u32::from(a) as u64,
            IpAddr::V6(a) => primitives::hash(&a) >> 12,
        };
        NodeId(ip << 2 | part as u64)
    }

    /// Number of answers per second that this machine can pass to other nodes, limited by its link or its
    /// processor, at least 1.
    pub fn capacity(&self) -> u32 {
        let by_processor = self.cores / ANSWER_PROCESSOR_SECONDS;
        let by_link = self.link_bits_per_second.map_or(by_processor, |bits| bits as f64 / ANSWER_BITS);
        by_processor.min(by_link).max(1.0) as u32
    }

    /// Addresses of the controllers of the seed machines.
    pub(crate) fn seed_controllers(&self) -> Vec<Addr> {
        self.seeds
            .iter()
            .map(|ip| Addr(SocketAddr::new(*ip, self.port + MachinePart::Controller as u16)))
            .collect()
    }

    /// Data directory and megabytes for the durable parts; `None` if nothing is stored on disk.
    pub(crate) fn durable_storage(&self) -> Option<&(PathBuf, u64)> {
        self.disk.as_ref().filter(|_| self.disk_counted)
    }
}
