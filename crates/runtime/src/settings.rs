//! The settings file: parsed field by field and validated completely; unknown fields are errors.
use control_state::{Role, Zone};
use primitives::{parse, Addr, JsonError, Look, NodeId, Reason, Span};
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tinyjson::JsonValue;

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", path.display()))]
    Invalid { path: PathBuf, source: JsonError },
    #[snafu(display("node {node} is not in the settings file"))]
    NoSuchNode { node: u16 },
    #[snafu(display("node {node} has role {actual}, not {expected}"))]
    WrongRole { node: u16, actual: String, expected: String },
}

/// One node: its role, location and addresses.
#[derive(Clone, Debug)]
pub struct Place {
    pub node: NodeId,
    pub role: Role,
    pub machine: String,
    pub zone: Zone,
    /// Address for the connections between nodes.
    pub cohort: Addr,
    /// Address of the HTTP server.
    pub http: Addr,
    /// Addresses of the three seed controllers.
    pub seeds: Vec<Addr>,
}

/// Time and size limits of a deployment, with defaults for those not in the file.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Duration of an edge's lease: how long it serves without a renewal, and so how long a
    /// change may wait for a lost edge.
    pub lease: Span,
    /// How long an origin counts as alive after its last heartbeat.
    pub fresh: Span,
    /// Time without a heartbeat after which an origin is removed.
    pub vanish: Span,
    /// Timeout for an origin's response.
    pub patience: Span,
    /// How long an idempotency key stays bound to its attempt.
    pub window: Span,
    /// Memory for cached copies, in MiB.
    pub copies_mb: usize,
    /// Size of the disk log, in MiB.
    pub ring_mb: usize,
    /// Number of commands at which an era is ended and the next one begins.
    pub cut_at: usize,
    /// Largest body of a request, in KiB.
    pub body_kb: usize,
    /// Largest body of a response that is served, in KiB.
    pub answer_kb: usize,
    /// Memory for all request and response bodies in progress in one process, in MiB.
    pub memory_mb: usize,
    /// Maximum number of in-flight requests in one process.
    pub callers: usize,
    /// How long an edge that is told to leave goes on serving, so that callers notice.
    pub grace: Span,
}

/// The contents of a settings file.
#[derive(Clone, Debug)]
pub struct Env {
    pub deployment: String,
    pub limits: Limits,
    pub nodes: Vec<Place>,
    /// Simulated one-way latency between zones of a region, for rehearsals.
    pub zone_latency: Span,
    /// Simulated one-way latency between regions, for rehearsals.
    pub region_latency: Span,
    /// Settings of the simulated origins and clients of a rehearsal.
    pub rehearsal: Option<JsonValue>,
}

const ROLES: [(&str, Role); 3] =
    [("controller", Role::Controller), ("edge", Role::Edge), ("ledger", Role::Ledger)];

/// A role's name in settings.
pub fn role_name(r: Role) -> &'static str {
    ROLES.iter().find(|(_, x)| *x == r).map_or("", |(n, _)| n)
}

type Result<T> = std::result::Result<T, JsonError>;

fn limits(l: &Look) -> Result<Limits> {
    let state_names =
        ["lease_ms", "fresh_ms", "vanish_ms", "patience_ms", "window_ms", "copies_mb", "ring_mb", "cut_at"];
    let capacity_names = ["body_kb", "answer_kb", "memory_mb", "callers", "grace_ms"];
    l.only(&[&state_names[..], &capacity_names[..]].concat())?;
    let num = |n: &str, low, high, default: u64| l.opt(n)?.map(|f| f.num(low, high)).unwrap_or(Ok(default));
    let ms = |n: &str, low, high, default| num(n, low, high, default).map(Span::ms);
    let (body_kb, answer_kb) = (num("body_kb", 1, 65_536, 1024)?, num("answer_kb", 1, 262_144, 8192)?);
    // At least two of the largest bodies must fit, or one caller could block all others.
    let min_memory = (2 * body_kb.max(answer_kb)).div_ceil(1024).max(1);
    Ok(Limits {
        body_kb: body_kb as usize,
        answer_kb: answer_kb as usize,
        memory_mb: num("memory_mb", min_memory, 65_536, 256.max(min_memory))? as usize,
        callers: num("callers", 16, 16_384, 1024)? as usize,
        grace: ms("grace_ms", 0, 60_000, 2000)?,
        lease: ms("lease_ms", 1000, 60_000, 10_000)?,
        fresh: ms("fresh_ms", 500, 1500, 1000)?,
        vanish: ms("vanish_ms", 1500, 60_000, 3000)?,
        patience: ms("patience_ms", 100, 60_000, 5000)?,
        // 60 s, 5 s within which an attempt has to be sent, the origin timeout, and a margin.
        window: ms("window_ms", 75_000, 600_000, 90_000)?,
        copies_mb: num("copies_mb", 1, 65_536, 64)? as usize,
        ring_mb: num("ring_mb", 4, 4096, 128)? as usize,
        cut_at: num("cut_at", 16, 4096, 256)? as usize,
    })
}

fn place(l: &Look) -> Result<Place> {
    l.only(&["node", "role", "machine", "zone", "cohort", "http", "seeds"])?;
    let expected = "an address such as 10.0.0.1:7100";
    let seeds_field = l.field("seeds")?;
    let seeds = seeds_field.list()?.iter().map(|a| a.parsed(expected)).collect::<Result<Vec<Addr>>>()?;
    if seeds.len() != 3 {
        return seeds_field.bad(Reason::Not { what: "a list of three addresses" });
    }
    Ok(Place {
        node: NodeId(l.field("node")?.num(1, u16::MAX as u64)?),
        role: l.field("role")?.one_of(&ROLES)?,
        machine: l.field("machine")?.name()?,
        zone: Zone(l.field("zone")?.name()?),
        cohort: l.field("cohort")?.parsed(expected)?,
        http: l.field("http")?.parsed(expected)?,
        seeds,
    })
}

/// Parses settings. Each node number and address may occur only once.
pub fn read_settings(l: &Look) -> Result<Env> {
    l.only(&["deployment", "limits", "nodes", "distances", "rehearsal"])?;
    let no_limits = JsonValue::from(std::collections::HashMap::new());
    let limits_field = l.opt("limits")?.unwrap_or(Look::at(&no_limits, "limits"));
    let mut nodes: Vec<Place> = vec![];
    for n in l.field("nodes")?.list()? {
        let node = place(&n)?;
        let shares_address =
            |other: &Place| [other.cohort, other.http].iter().any(|a| *a == node.cohort || *a == node.http);
        if nodes.iter().any(|other| other.node == node.node || shares_address(other)) {
            return n.bad(Reason::Twice);
        }
        nodes.push(node);
    }
    let latency = |n: &str| -> Result<Span> {
        let distances = l.opt("distances")?;
        let us = distances.map(|d| d.field(n)?.num(0, 1_000_000)).transpose()?;
        Ok(Span(us.unwrap_or(0)))
    };
    Ok(Env {
        deployment: l.field("deployment")?.name()?,
        limits: limits(&limits_field)?,
        nodes,
        zone_latency: latency("zone_us")?,
        region_latency: latency("region_us")?,
        rehearsal: l.opt("rehearsal")?.map(|r| r.v.clone()),
    })
}

impl Env {
    /// Reads and parses the file at `path`.
    pub fn load(path: &Path) -> std::result::Result<Env, SettingsError> {
        let contents = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        parse(&contents).and_then(|v| read_settings(&Look::at(&v, ""))).context(InvalidSnafu { path })
    }

    /// The entry of a node, which must have the given role.
    pub fn place(&self, node: u16, role: Role) -> std::result::Result<Place, SettingsError> {
        let place = self.nodes.iter().find(|p| p.node == NodeId(node as u64)).cloned();
        let place = place.ok_or(SettingsError::NoSuchNode { node })?;
        let (actual, expected) = (role_name(place.role).to_string(), role_name(role).to_string());
        (place.role == role).then_some(place).ok_or(SettingsError::WrongRole { node, actual, expected })
    }

    /// The simulated one-way latency between two zones.
    pub fn away(&self, a: &Zone, b: &Zone) -> Duration {
        let latency = match (a == b, a.region() == b.region()) {
            (true, _) => Span(0),
            (_, true) => self.zone_latency,
            _ => self.region_latency,
        };
        latency.into()
    }
}
