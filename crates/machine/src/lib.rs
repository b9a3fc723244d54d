//! A nucleus lanewing: all parts of one machine in one process, for deployments that
//! place a program on each machine and tell it little about the others.
mod leave;
mod memory;
mod memory_watch;
mod metrics;
mod parts;
mod run;
mod slow_calls;

pub use run::{run, HttpHandlers, StartError};

use control_state::Zone;
use primitives::{Addr, NodeId, Span};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// What the process is told of its place and of what it must keep to.
#[derive(Clone, Debug)]
pub struct MachineConfig {
    pub ip: IpAddr,
    /// The first of the ports that are free for the parts' own links; three are used.
    pub port: u16,
    /// Written `region/zone`.
    pub zone: Zone,
    /// Machines to begin with.
    pub seeds: Vec<IpAddr>,
    /// The first start of the whole deployment, on empty disks.
    pub initial: bool,
    /// Where files may lie, and how many megabytes.
    pub disk: Option<(PathBuf, u64)>,
    /// The disk's loss is among those borne: controllers and the ledger may rely on it.
    pub counted: bool,
    /// Losses borne at once.
    pub losses: usize,
    /// Bits a second of its link, if that is known.
    pub link: Option<u64>,
    /// Its share of a processor's core.
    pub processor: f64,
    /// Bytes of memory the process may have.
    pub memory: usize,
    /// How long a key stays with its first try.
    pub window: Span,
    /// From the word to stop until the process is killed.
    pub grace: Span,
    /// Extra tries: the part of all requests, and the allowance over it.
    pub retry: (f64, f64),
    /// How often origins beat.
    pub beat: Span,
    /// Where callers come, where readiness is asked, and where control is.
    pub front: Option<SocketAddr>,
    pub ready: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    /// Where the process tells its figures, if anywhere.
    pub metrics: Option<SocketAddr>,
}

/// The parts, by the port they have after the first.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Seat {
    Controller,
    Edge,
    Ledger,
}

/// What handing an answer to another node takes of a processor and of a link, roughly.
const ANSWER_PROCESSOR_SECONDS: f64 = 0.0004;
const ANSWER_BITS: f64 = 24_000.0 * 8.0;

impl Seat {
    /// As logs and figures call it.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Seat::Controller => "controller",
            Seat::Edge => "edge",
            Seat::Ledger => "ledger",
        }
    }
}

impl MachineConfig {
    pub(crate) fn addr(&self, s: Seat) -> Addr {
        Addr(SocketAddr::new(self.ip, self.port + s as u16))
    }

    /// Invariant: one number for each part of each machine.
    pub(crate) fn id(&self, s: Seat) -> NodeId {
        let ip = match self.ip {
            IpAddr::V4(a) => u32::from(a) as u64,
            IpAddr::V6(a) => primitives::hash(&a) >> 12,
        };
        NodeId(ip << 2 | s as u64)
    }

    /// Answers a second that it can hand to other nodes: as its link or its processor allows.
    pub fn capacity(&self) -> u32 {
        let by_processor = self.processor / ANSWER_PROCESSOR_SECONDS;
        let by_link = self.link.map_or(by_processor, |bits| bits as f64 / ANSWER_BITS);
        by_processor.min(by_link).max(1.0) as u32
    }

    /// The seeds' controllers.
    pub(crate) fn seats(&self) -> Vec<Addr> {
        self.seeds.iter().map(|ip| Addr(SocketAddr::new(*ip, self.port + Seat::Controller as u16))).collect()
    }

    pub(crate) fn keeps(&self) -> Option<&(PathBuf, u64)> {
        self.disk.as_ref().filter(|_| self.counted)
    }
}
