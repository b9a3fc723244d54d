//! What the model is made of, and whether this machine holds it.
use snafu::Snafu;

/// Machines set aside for controllers.
pub const CONTROLLERS: usize = 6;
pub(crate) const REGIONS: usize = 11;
pub(crate) const ZONES: usize = 24;
/// Nodes are numbered in sixteen bits.
const MOST_NODES: usize = 65_000;
const LEAST_NODES: usize = 10;
/// Never more memory than this, in bytes.
const MOST_MEMORY: u64 = 11_000_000_000;

/// The sizes of the question: so many origins at so many nodes.
const ORIGINS: usize = 1800;
const ORIGINS_AT_NODES: usize = 7100;
const LEAST_ORIGINS: usize = 4;
const ORIGINS_PER_SERVICE: usize = 9;
const NODES_PER_LEDGER: usize = 50;
const LEAST_LEDGERS: usize = 3;

/// Estimates of memory in bytes, on the large side.
const BASE_MEMORY: usize = 200_000_000;
const ITEM_AT_NODE: usize = 600;
const ORIGIN_AT_NODE: usize = 400;
const ITEM_AT_CONTROLLER: usize = 3000;
const ORIGIN_AT_CONTROLLER: usize = 1000;
const EACH_NODE: usize = 8000;

/// Why a plan was not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ScaleModelError {
    /// The size is not possible.
    #[snafu(display("{nodes} nodes: {why}; the largest that fits is {largest}"))]
    Size {
        /// The size.
        nodes: usize,
        /// What forbids it.
        why: &'static str,
        /// The largest size that is possible.
        largest: usize,
    },
    /// The fleet did not come up.
    #[snafu(display("{nodes} nodes: {what}"))]
    Never {
        /// The size.
        nodes: usize,
        /// What did not happen.
        what: &'static str,
    },
    /// The system has no clock of processor time.
    #[snafu(display("the processor-time clock: {source}"))]
    Clock {
        /// The system's error.
        source: nix::Error,
    },
    /// The figures could not be plotted.
    #[snafu(display("plot: {what}"))]
    Plot {
        /// The plotting library's message.
        what: String,
    },
    /// A line of figures is invalid.
    #[snafu(display("{source}"), context(false))]
    Line {
        /// What is wrong with it.
        source: primitives::JsonError,
    },
}

/// What the functions of this crate return.
pub type Result<T> = std::result::Result<T, ScaleModelError>;

/// The size and load of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Edges and ledgers together.
    pub nodes: usize,
    /// Nodes that run their real part; the rest send and receive the same messages and hold
    /// nothing. Ledgers are always real.
    pub whole: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Virtual seconds of each phase.
    pub secs: u64,
    /// Purges per second, in the phase that has them.
    pub purges: u64,
    /// Changes of rows per second, in the phase that has them.
    pub changes: u64,
}

impl Plan {
    /// Origins: 1,800 at 7,100 nodes, and in proportion.
    pub fn origins(&self) -> usize {
        (self.nodes * ORIGINS).div_ceil(ORIGINS_AT_NODES).max(LEAST_ORIGINS)
    }

    /// Ledgers: one in fifty nodes, by assumption, for the question does not name them.
    pub fn ledgers(&self) -> usize {
        (self.nodes / NODES_PER_LEDGER).max(LEAST_LEDGERS)
    }

    /// Services, with one row each: one for nine origins, by assumption.
    pub fn services(&self) -> usize {
        self.origins().div_ceil(ORIGINS_PER_SERVICE)
    }

    /// Edges, real and thin ones.
    pub fn edges(&self) -> usize {
        self.nodes - self.ledgers()
    }

    /// Edges that run their real part; at least one, so that there is something to measure.
    pub fn whole_edges(&self) -> usize {
        self.whole.saturating_sub(self.ledgers()).clamp(1, self.edges())
    }

    /// Estimated memory in bytes, on the large side.
    pub fn needs(&self) -> u64 {
        let origins = self.origins();
        let items = self.nodes + origins + self.services();
        let real_node = items * ITEM_AT_NODE + origins * ORIGIN_AT_NODE;
        let controller = items * ITEM_AT_CONTROLLER + origins * ORIGIN_AT_CONTROLLER;
        let real_nodes = (self.whole_edges() + self.ledgers()) * real_node;
        (real_nodes + self.nodes * EACH_NODE + CONTROLLERS * controller + BASE_MEMORY) as u64
    }

    /// Bytes of memory that a run may take: half of the machine's, and at most 11 GB.
    pub fn limit() -> u64 {
        let info = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let total = info.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let kilobytes = total.and_then(|total| total.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.map_or(MOST_MEMORY, |kilobytes| (kilobytes * 1024 / 2).min(MOST_MEMORY))
    }

    /// The largest number of nodes that fits into `limit` bytes, by bisection.
    pub fn largest(&self, limit: u64) -> usize {
        let fits = |nodes: usize| {
            let plan = Plan { nodes, whole: self.whole.min(nodes), ..self.clone() };
            plan.needs() <= limit
        };
        let (mut low, mut high) = (0, MOST_NODES);
        while low < high {
            let middle = (low + high).div_ceil(2);
            if fits(middle) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        low
    }

    /// Refuses a size that is too small, or that does not fit into `limit` bytes.
    pub fn check(&self, limit: u64) -> Result<()> {
        let largest = self.largest(limit);
        let why = match self.nodes {
            nodes if nodes < LEAST_NODES => "fewer than ten are no fleet",
            nodes if nodes > largest => "more than the memory allowed holds",
            _ => return Ok(()),
        };
        SizeSnafu { nodes: self.nodes, why, largest }.fail()
    }
}
