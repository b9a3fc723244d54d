//! What an edge routes by: an immutable snapshot, built anew and swapped whole.
use crate::homes::Homes;
use crate::route_table::RouteTable;
use control_state::*;
use primitives::{Addr, Birth, NodeId, Version};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A ledger as it registered.
#[derive(Clone, Debug)]
pub struct LedgerNode {
    pub id: NodeId,
    pub addr: Addr,
    pub zone: Zone,
    /// The life of its disk.
    pub birth: Birth,
}

#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Only live rows.
    pub lanes: BTreeMap<Lane, Vec<(Svc, Row)>>,
    /// Only origins that serve.
    pub origins: BTreeMap<Svc, Vec<(Addr, Origin)>>,
    /// How many edges serve.
    pub edges: usize,
    homes: Homes,
    /// See `parts`.
    parts: BTreeMap<NodeId, f64>,
    pub ledgers: Vec<LedgerNode>,
    pub roll: Roll,
    pub roll_version: Version,
    pub shares: BTreeMap<Svc, Share>,
    /// By host and path.
    pub paths: RouteTable,
    pub entries: BTreeMap<Lane, Arc<LaneEntry>>,
    pub limits: Option<CallerLimits>,
}

impl Table {
    pub fn build(items: &BTreeMap<Key, Item>) -> Table {
        let (roll, roll_version) = (Roll::of(items), Roll::version(items));
        let (parts, homes) = (parts(items), Homes::of(items));
        let edges = homes.edges;
        let mut t = Table { roll, roll_version, parts, homes, edges, ..Table::default() };
        for (k, it) in items {
            match (k, &it.body) {
                (Key::Row(l, s), Some(Body::Row(r))) => {
                    t.lanes.entry(l.clone()).or_default().push((s.clone(), r.clone()));
                    t.shares.entry(s.clone()).or_insert_with(|| share(items, s).expect("has this row"));
                }
                (Key::Entry(_, n), Some(Body::Lane(l))) => t.add_route(n, l),
                (Key::Entry(_, n), Some(Body::Service(s))) => {
                    t.shares.insert(Svc(n.clone()), rate_share(items, s.rate));
                }
                (Key::Entry(..), Some(Body::Limits(l))) => t.limits = Some(l.clone()),
                (Key::Origin(a), Some(Body::Origin(o))) if o.standing == Standing::Serving => {
                    t.origins.entry(o.svc.clone()).or_default().push((*a, o.clone()));
                }
                (Key::Node(id), Some(Body::Node(n))) if n.role == Role::Ledger => {
                    let (addr, zone) = (n.addr, n.zone.clone());
                    t.ledgers.push(LedgerNode { id: *id, addr, zone, birth: n.birth });
                }
                _ => (),
            }
        }
        t
    }

    /// Edges that are homes for a reach round a zone.
    pub fn homes(&self, reach: Reach, zone: &Zone) -> &[EdgeNode] {
        self.homes.within(reach, zone)
    }

    /// See `Homes::tiers`.
    pub fn tiers(&self) -> &'static [Reach] {
        self.homes.tiers()
    }

    /// An edge's own requests a second of a service with that share.
    pub fn own_rate(&self, id: NodeId, share: &Share) -> f64 {
        let part = self.parts.get(&id).copied().unwrap_or(0.0);
        if share.free() {
            f64::INFINITY
        } else {
            share.own * part
        }
    }

    fn add_route(&mut self, name: &str, l: &LaneEntry) {
        self.paths.add(name, l);
        let row =
            |w: &u64| Row { weight: *w as u32, ceiling: u32::MAX, rank: l.rank, kind: l.kind, ttl: l.ttl };
        let rows = l.weights.iter().map(|(s, w)| (s.clone(), row(w))).collect();
        self.lanes.insert(Lane(name.to_string()), rows);
        self.entries.insert(Lane(name.to_string()), Arc::new(l.clone()));
    }

    /// What tells the lane's paths apart from equal ones of its service.
    pub fn site(&self, lane: &Lane) -> Site {
        Site(self.entries.get(lane).map_or_else(|| lane.0.clone(), |e| e.host.to_ascii_lowercase()))
    }

    /// The lane by which requests for that path of the site come now, if any.
    pub fn route_of(&self, site: &Site, path: &str) -> Option<Lane> {
        let hostless = || Some(Lane(site.0.clone())).filter(|lane| !self.entries.contains_key(lane));
        self.paths.find(&site.0, path).cloned().or_else(hostless)
    }

    /// The strictest kind of the lane's rows.
    pub fn kind(&self, l: &Lane) -> Option<Kind> {
        self.lanes.get(l)?.iter().map(|(_, r)| r.kind).max()
    }

    /// One of the lane's services by weight; `selector` decides, evenly spread.
    pub fn pick(&self, l: &Lane, selector: u64) -> Option<(Svc, Row)> {
        let rows = self.lanes.get(l)?;
        let sum: u64 = rows.iter().map(|(_, r)| r.weight as u64).sum();
        let mut at = selector.checked_rem(sum)?;
        rows.iter()
            .find(|(_, r)| {
                let here = at < r.weight as u64;
                at = at.saturating_sub(r.weight as u64);
                here
            })
            .cloned()
    }
}
