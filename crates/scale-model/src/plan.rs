//! What a scale_model fleet is made of, and whether this machine holds it.
use snafu::Snafu;

/// Machines set aside for controllers.
pub const CONTROLLERS: usize = 6;
pub const REGIONS: usize = 11;
pub const ZONES: usize = 24;
/// Nodes are numbered in sixteen bits.
const NODES: usize = 65_000;
/// Never more memory than this, in bytes.
const MOST: u64 = 11_000_000_000;

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ScaleModelProblem {
    #[snafu(display("{nodes} nodes: {why}; the largest that fits is {largest}"))]
    Size { nodes: usize, why: &'static str, largest: usize },
    #[snafu(display("{nodes} nodes: {what}"))]
    Never { nodes: usize, what: &'static str },
    #[snafu(display("the processor-time clock: {source}"))]
    Clock { source: nix::Error },
    #[snafu(display("plot: {what}"))]
    Plot { what: String },
    #[snafu(display("{source}"), context(false))]
    Line { source: primitives::LookProblem },
}

pub type Result<T> = std::result::Result<T, ScaleModelProblem>;

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Edges and ledgers together.
    pub nodes: usize,
    /// Nodes that run their real part; the rest say and hear the same messages and hold
    /// nothing. Ledgers are always whole.
    pub whole: usize,
    pub seed: u64,
    /// Virtual seconds of each stretch.
    pub secs: u64,
    /// Purges a second, in the stretch that has them.
    pub purges: u64,
    /// Changes of rows a second, in the stretch that has them.
    pub changes: u64,
}

impl Plan {
    /// As many as 1,800 at 7,100 nodes.
    pub fn origins(&self) -> usize {
        (self.nodes * 1800).div_ceil(7100).max(4)
    }
    /// One in fifty nodes; an assumption, for the size does not name them.
    pub fn ledgers(&self) -> usize {
        (self.nodes / 50).max(3)
    }
    /// One row each; nine origins a service, an assumption as well.
    pub fn services(&self) -> usize {
        self.origins().div_ceil(9)
    }
    pub fn edges(&self) -> usize {
        self.nodes - self.ledgers()
    }
    /// Edges that run their real part; at least one, so that there is something to meter.
    pub fn whole_edges(&self) -> usize {
        self.whole.saturating_sub(self.ledgers()).clamp(1, self.edges())
    }
    fn items(&self) -> usize {
        self.nodes + self.origins() + self.services()
    }

    /// Bytes of memory, estimated on the large side.
    pub fn needs(&self) -> u64 {
        let (items, origins) = (self.items(), self.origins());
        let one = items * 600 + origins * 400;
        let controllers = CONTROLLERS * (items * 3000 + origins * 1000);
        let held = (self.whole_edges() + self.ledgers()) * one + self.nodes * 8000;
        (held + controllers + 200_000_000) as u64
    }

    /// Bytes of memory it may take: half of the machine's and never above `MOST`.
    pub fn limit() -> u64 {
        let info = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let kb =
            info.lines().find_map(|l| l.strip_prefix("MemTotal:")?.trim().split(' ').next()?.parse().ok());
        kb.map_or(MOST, |kb: u64| (kb * 512).min(MOST))
    }

    /// The largest size that fits into so many bytes, else as planned.
    pub fn largest(&self, limit: u64) -> usize {
        let fits = |n: &usize| Plan { nodes: *n, whole: self.whole.min(*n), ..self.clone() }.needs() <= limit;
        let (mut low, mut high) = (0, NODES);
        while low < high {
            let mid = (low + high).div_ceil(2);
            if fits(&mid) {
                low = mid;
            } else {
                high = mid - 1;
            }
        }
        low
    }

    /// Refuses a size that is none, or that the memory does not hold.
    pub fn check(&self, limit: u64) -> Result<()> {
        let largest = self.largest(limit);
        let why = match self.nodes {
            0..=9 => "fewer than ten are no fleet",
            n if n > largest => "more than the memory allowed holds",
            _ => return Ok(()),
        };
        SizeSnafu { nodes: self.nodes, why, largest }.fail()
    }
}
