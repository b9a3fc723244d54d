//! What a world is like.
use primitives::{Addr, Span};
use std::collections::BTreeMap;

/// The size of a world, its links, clocks and disks, and what its nodes are told.
#[derive(Clone, Debug)]
pub struct Plan {
    pub edges: usize,
    pub ledgers: usize,
    /// Lost disks of ledgers borne at once.
    pub losses: usize,
    /// Ledgers keep copies.
    pub disk_cache: bool,
    pub drop: f64,
    /// Bytes a second that a process can send, if that is limited; and those that differ.
    pub link: Option<u64>,
    pub links: BTreeMap<Addr, u64>,
    /// What a controller's processor takes over each message, if that is limited.
    pub work: Option<Span>,
    /// Bytes of a controller's disk: what counts and a new base must fit it together.
    pub controller_disk: usize,
    pub dup: f64,
    /// One-way, within a zone, between zones, between regions; in microseconds.
    pub away: [u64; 3],
    pub sync: (u64, u64),
    pub zones: [&'static str; 4],
    pub lease: Span,
    pub cut_at: usize,
    /// Bytes that a controller's state and log may take on its disk.
    pub controller_room: usize,
    pub window: Span,
    /// How far monotonic clocks run apart, in parts of a thousand.
    pub drift: u64,
    /// Requests an edge holds, of one service and in all.
    pub hands: (usize, usize),
    /// How long a leaving edge still takes requests.
    pub grace: Span,
    pub policy: edge::EdgePolicy,
    /// Bytes of copies that an edge keeps.
    pub copies: usize,
    /// Edges serve on while out of touch.
    pub serve_without_lease: bool,
    /// Controllers are not told of one another: the first seed founds, others join.
    pub open: Option<controller::Open>,
    /// Controllers prove their contact by echoes; see `controller`.
    pub contact_by_echo: bool,
}

impl Plan {
    pub fn trinacria() -> Plan {
        Plan {
            edges: 5,
            ledgers: 6,
            losses: 1,
            disk_cache: true,
            drop: 0.0,
            link: None,
            links: BTreeMap::new(),
            work: None,
            controller_disk: 8 << 20,
            dup: 0.0,
            away: [100, 750, 750],
            sync: (300, 2500),
            zones: ["sicilia/a", "sicilia/b", "sicilia/c", "sicilia/d"],
            lease: Span::secs(10),
            cut_at: 256,
            controller_room: 3 << 20,
            window: Span::secs(90),
            drift: 5,
            hands: (256, 1024),
            grace: Span::secs(1),
            policy: edge::EdgePolicy::default(),
            copies: 1 << 20,
            serve_without_lease: false,
            open: None,
            contact_by_echo: true,
        }
    }
    pub fn bersatu() -> Plan {
        Plan {
            away: [100, 750, 17_500],
            sync: (300, 8000),
            zones: ["barat/a", "barat/b", "timur/c", "timur/d"],
            ..Plan::trinacria()
        }
    }
}
