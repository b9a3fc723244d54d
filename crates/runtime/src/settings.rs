//! The settings file: read by hand, checked whole.
use control_state::{Role, Zone};
use primitives::{parse, Addr, JsonError, Look, NodeId, Reason, Span};
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tinyjson::JsonValue;

#[derive(Debug, Snafu)]
pub enum SettingsError {
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", path.display()))]
    Invalid { path: PathBuf, source: JsonError },
    #[snafu(display("node {node} is not in the settings file"))]
    NoSuchNode { node: u16 },
    #[snafu(display("node {node} is a {is}, not a {asked}"))]
    OtherRole { node: u16, is: String, asked: String },
}

/// One process's place.
#[derive(Clone, Debug)]
pub struct Place {
    pub node: NodeId,
    pub role: Role,
    pub machine: String,
    pub zone: Zone,
    pub cohort: Addr,
    pub http: Addr,
    pub seeds: Vec<Addr>,
}

#[derive(Clone, Debug)]
pub struct Limits {
    /// How long an edge serves without a renewal; also how long a change may
    /// wait for an edge that is lost.
    pub lease: Span,
    /// How long an origin counts as there after its last beat.
    pub fresh: Span,
    /// After how long silence an origin is removed.
    pub vanish: Span,
    /// How long an origin may take over an answer.
    pub patience: Span,
    /// How long a key stays with its round.
    pub window: Span,
    pub copies_mb: usize,
    pub ring_mb: usize,
    pub cut_at: usize,
    /// Largest body of a request, and largest answer that is served.
    pub body_kb: usize,
    pub answer_kb: usize,
    /// For all bodies and answers in hand, in one process.
    pub memory_mb: usize,
    /// Requests in hand, in one process.
    pub callers: usize,
    /// How long an edge told to leave goes on serving, for callers to notice.
    pub grace: Span,
}

#[derive(Clone, Debug)]
pub struct Env {
    pub deployment: String,
    pub limits: Limits,
    pub nodes: Vec<Place>,
    /// One-way distances for rehearsals, between zones and between regions.
    pub zone_away: Span,
    pub region_away: Span,
    /// Only for stand-ins.
    pub rehearsal: Option<JsonValue>,
}

const ROLES: [(&str, Role); 3] =
    [("controller", Role::Controller), ("edge", Role::Edge), ("ledger", Role::Ledger)];

pub fn role_name(r: Role) -> &'static str {
    ROLES.iter().find(|(_, x)| *x == r).map_or("", |(n, _)| n)
}

type Result<T> = std::result::Result<T, JsonError>;

fn limits(l: &Look) -> Result<Limits> {
    let names =
        ["lease_ms", "fresh_ms", "vanish_ms", "patience_ms", "window_ms", "copies_mb", "ring_mb", "cut_at"];
    let hands = ["body_kb", "answer_kb", "memory_mb", "callers", "grace_ms"];
    l.only(&[&names[..], &hands[..]].concat())?;
    let num = |n: &str, low, high, or: u64| l.opt(n)?.map(|f| f.num(low, high)).unwrap_or(Ok(or));
    let ms = |n: &str, low, high, or| num(n, low, high, or).map(Span::ms);
    let (body_kb, answer_kb) = (num("body_kb", 1, 65_536, 1024)?, num("answer_kb", 1, 262_144, 8192)?);
    // At least two of the largest must fit, or one caller could hold up all.
    let least = (2 * body_kb.max(answer_kb)).div_ceil(1024).max(1);
    Ok(Limits {
        body_kb: body_kb as usize,
        answer_kb: answer_kb as usize,
        memory_mb: num("memory_mb", least, 65_536, 256.max(least))? as usize,
        callers: num("callers", 16, 16_384, 1024)? as usize,
        grace: ms("grace_ms", 0, 60_000, 2000)?,
        lease: ms("lease_ms", 1000, 60_000, 10_000)?,
        fresh: ms("fresh_ms", 500, 1500, 1000)?,
        vanish: ms("vanish_ms", 1500, 60_000, 3000)?,
        patience: ms("patience_ms", 100, 60_000, 5000)?,
        // A minute, five seconds to leave, the patience, and a margin.
        window: ms("window_ms", 75_000, 600_000, 90_000)?,
        copies_mb: num("copies_mb", 1, 65_536, 64)? as usize,
        ring_mb: num("ring_mb", 4, 4096, 128)? as usize,
        cut_at: num("cut_at", 16, 4096, 256)? as usize,
    })
}

fn place(l: &Look) -> Result<Place> {
    l.only(&["node", "role", "machine", "zone", "cohort", "http", "seeds"])?;
    let what = "an address such as 10.0.0.1:7100";
    let s = l.field("seeds")?;
    let seeds = s.list()?.iter().map(|a| a.parsed(what)).collect::<Result<Vec<Addr>>>()?;
    if seeds.len() != 3 {
        return s.bad(Reason::Not { what: "a list of three addresses" });
    }
    Ok(Place {
        node: NodeId(l.field("node")?.num(1, u16::MAX as u64)?),
        role: l.field("role")?.one_of(&ROLES)?,
        machine: l.field("machine")?.name()?,
        zone: Zone(l.field("zone")?.name()?),
        cohort: l.field("cohort")?.parsed(what)?,
        http: l.field("http")?.parsed(what)?,
        seeds,
    })
}

/// Reads settings; every node and address may stand there only once.
pub fn read_settings(l: &Look) -> Result<Env> {
    l.only(&["deployment", "limits", "nodes", "distances", "rehearsal"])?;
    let none = JsonValue::from(std::collections::HashMap::new());
    let lim = l.opt("limits")?.unwrap_or(Look::at(&none, "limits"));
    let mut nodes: Vec<Place> = vec![];
    for n in l.field("nodes")?.list()? {
        let p = place(&n)?;
        let taken = |q: &Place| [q.cohort, q.http].iter().any(|a| *a == p.cohort || *a == p.http);
        if nodes.iter().any(|q| q.node == p.node || taken(q)) {
            return n.bad(Reason::Twice);
        }
        nodes.push(p);
    }
    let far = |n: &str| -> Result<Span> {
        let d = l.opt("distances")?;
        let us = d.map(|d| d.field(n)?.num(0, 1_000_000)).transpose()?;
        Ok(Span(us.unwrap_or(0)))
    };
    Ok(Env {
        deployment: l.field("deployment")?.name()?,
        limits: limits(&lim)?,
        nodes,
        zone_away: far("zone_us")?,
        region_away: far("region_us")?,
        rehearsal: l.opt("rehearsal")?.map(|r| r.v.clone()),
    })
}

impl Env {
    pub fn load(path: &Path) -> std::result::Result<Env, SettingsError> {
        let s = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        parse(&s).and_then(|v| read_settings(&Look::at(&v, ""))).context(InvalidSnafu { path })
    }

    pub fn place(&self, node: u16, role: Role) -> std::result::Result<Place, SettingsError> {
        let p = self.nodes.iter().find(|p| p.node == NodeId(node as u64)).cloned();
        let p = p.ok_or(SettingsError::NoSuchNode { node })?;
        let (is, asked) = (role_name(p.role).to_string(), role_name(role).to_string());
        (p.role == role).then_some(p).ok_or(SettingsError::OtherRole { node, is, asked })
    }

    /// The simulated one-way distance between two zones.
    pub fn away(&self, a: &Zone, b: &Zone) -> Duration {
        let s = match (a == b, a.region() == b.region()) {
            (true, _) => Span(0),
            (_, true) => self.zone_away,
            _ => self.region_away,
        };
        s.into()
    }
}
