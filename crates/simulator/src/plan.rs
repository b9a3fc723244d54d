//! The settings of a simulation run.
use primitives::{Addr, Span};
use std::collections::BTreeMap;

/// The size of the fleet, its links, clocks and disks, and the settings of its nodes.
#[derive(Clone, Debug)]
pub struct Plan {
    pub edges: usize,
    pub ledgers: usize,
    /// Number of ledger disks that may be lost at the same time without losing data.
    pub losses: usize,
    /// Whether ledgers store cached copies on their disks.
    pub disk_cache: bool,
    /// Bytes of records that a ledger may hold whose log is trimmed.
    pub ledger_log: usize,
    /// Bytes of outcomes that such a ledger keeps in memory as well as in its log.
    pub ledger_contents: usize,
    /// Probability that a message is lost.
    pub drop: f64,
    /// Bytes per second that each process can send; `None` is unlimited.
    pub link: Option<u64>,
    /// Processes whose rate differs from `link`.
    pub links: BTreeMap<Addr, u64>,
    /// Processing time of each message at a controller; `None` takes no time.
    pub work: Option<Span>,
    /// Bytes of a controller's disk; the records in use and a new snapshot must fit together.
    pub controller_disk: usize,
    /// Probability that a message is delivered a second time, later.
    pub dup: f64,
    /// One-way delay in microseconds: within a zone, between zones, between regions.
    pub one_way_us: [u64; 3],
    /// Shortest and longest duration of a disk sync, in microseconds.
    pub sync: (u64, u64),
    pub zones: [&'static str; 4],
    pub lease: Span,
    pub cut_at: usize,
    /// Disk budget of a controller's state and log, in bytes.
    pub controller_room: usize,
    pub window: Span,
    /// Largest deviation of a monotonic clock from virtual time, in parts per thousand.
    pub drift: u64,
    /// Most requests in flight at an edge: of one service, and in total.
    pub max_requests: (usize, usize),
    /// How long a draining edge still accepts requests.
    pub grace: Span,
    pub policy: edge::EdgePolicy,
    /// Cache size of an edge in bytes.
    pub copies: usize,
    /// Edges go on serving while they have no contact with a controller.
    pub serve_without_lease: bool,
    /// Set for an open deployment: no fixed list of controllers; the first seed founds the
    /// fleet, and the others join.
    pub open: Option<controller::Open>,
    /// Controllers prove by echoes that they are in contact; see `controller`.
    pub contact_by_echo: bool,
}

impl Plan {
    /// Four zones of one region.
    pub fn trinacria() -> Plan {
        Plan {
            edges: 5,
            ledgers: 6,
            losses: 1,
            disk_cache: true,
            ledger_log: 1 << 21,
            ledger_contents: 1 << 21,
            drop: 0.0,
            link: None,
            links: BTreeMap::new(),
            work: None,
            controller_disk: 8 << 20,
            dup: 0.0,
            one_way_us: [100, 750, 750],
            sync: (300, 2500),
            zones: ["sicilia/a", "sicilia/b", "sicilia/c", "sicilia/d"],
            lease: Span::secs(10),
            cut_at: 256,
            controller_room: 3 << 20,
            window: Span::secs(90),
            drift: 5,
            max_requests: (256, 1024),
            grace: Span::secs(1),
            policy: edge::EdgePolicy::default(),
            copies: 1 << 20,
            serve_without_lease: false,
            open: None,
            contact_by_echo: true,
        }
    }
    /// Two regions of two zones each, with a slow link between them.
    pub fn bersatu() -> Plan {
        Plan {
            one_way_us: [100, 750, 17_500],
            sync: (300, 8000),
            zones: ["barat/a", "barat/b", "timur/c", "timur/d"],
            ..Plan::trinacria()
        }
    }
}
