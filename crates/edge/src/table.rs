//! What an edge routes by: an immutable snapshot that is rebuilt and replaced as a whole.
use crate::homes::Homes;
use crate::route_table::RouteTable;
use control_state::*;
use primitives::{Addr, Birth, NodeId, Version};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A ledger as registered.
#[derive(Clone, Debug)]
pub struct LedgerNode {
    pub id: NodeId,
    pub addr: Addr,
    pub zone: Zone,
    /// Incarnation of its disk.
    pub birth: Birth,
}

/// The routing snapshot of an edge.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The services of each route; only rows in force.
    pub routes: BTreeMap<Lane, Vec<(Svc, Row)>>,
    /// Only origins in service.
    pub origins: BTreeMap<Svc, Vec<(Addr, Origin)>>,
    /// Number of edges in service.
    pub edges: usize,
    homes: Homes,
    /// Each edge's share of the services' rates, see [`parts`].
    edge_weights: BTreeMap<NodeId, f64>,
    pub ledgers: Vec<LedgerNode>,
    pub ledger_sets: Roll,
    pub ledger_sets_version: Version,
    pub shares: BTreeMap<Svc, Share>,
    /// Routes by host and path.
    pub paths: RouteTable,
    pub entries: BTreeMap<Lane, Arc<LaneEntry>>,
    pub limits: Option<CallerLimits>,
}

impl Table {
    /// Builds the table from the control-state items.
    pub fn build(items: &BTreeMap<Key, Item>) -> Table {
        let (ledger_sets, ledger_sets_version) = (Roll::of(items), Roll::version(items));
        let (edge_weights, homes) = (parts(items), Homes::of(items));
        let edges = homes.edges;
        let mut table =
            Table { ledger_sets, ledger_sets_version, edge_weights, homes, edges, ..Table::default() };
        for (key, item) in items {
            match (key, &item.body) {
                (Key::Row(l, s), Some(Body::Row(r))) => {
                    table.routes.entry(l.clone()).or_default().push((s.clone(), r.clone()));
                    table.shares.entry(s.clone()).or_insert_with(|| share(items, s).expect("has this row"));
                }
                (Key::Entry(_, n), Some(Body::Lane(l))) => table.add_route(n, l),
                (Key::Entry(_, n), Some(Body::Service(s))) => {
                    table.shares.insert(Svc(n.clone()), rate_share(items, s.rate));
                }
                (Key::Entry(..), Some(Body::Limits(l))) => table.limits = Some(l.clone()),
                (Key::Origin(a), Some(Body::Origin(o))) if o.standing == Standing::Serving => {
                    table.origins.entry(o.svc.clone()).or_default().push((*a, o.clone()));
                }
                (Key::Node(id), Some(Body::Node(n))) if n.role == Role::Ledger => {
                    let (addr, zone) = (n.addr, n.zone.clone());
                    table.ledgers.push(LedgerNode { id: *id, addr, zone, birth: n.birth });
                }
                _ => (),
            }
        }
        table
    }

    /// Edges that are homes for a reach around a zone.
    pub fn homes(&self, reach: Reach, zone: &Zone) -> &[EdgeNode] {
        self.homes.within(reach, zone)
    }

    /// See `Homes::tiers`.
    pub fn tiers(&self) -> &'static [Reach] {
        self.homes.tiers()
    }

    /// The rate, in requests per second, that an edge may use of a service without borrowing.
    pub fn own_rate(&self, id: NodeId, share: &Share) -> f64 {
        let weight = self.edge_weights.get(&id).copied().unwrap_or(0.0);
        if share.free() {
            f64::INFINITY
        } else {
            share.own * weight
        }
    }

    fn add_route(&mut self, name: &str, entry: &LaneEntry) {
        self.paths.add(name, entry);
        let row = |weight: &u64| Row {
            weight: *weight as u32,
            ceiling: u32::MAX,
            rank: entry.rank,
            kind: entry.kind,
            ttl: entry.ttl,
        };
        let rows = entry.weights.iter().map(|(s, weight)| (s.clone(), row(weight))).collect();
        self.routes.insert(Lane(name.to_string()), rows);
        self.entries.insert(Lane(name.to_string()), Arc::new(entry.clone()));
    }

    /// Distinguishes the route's paths from equal paths of the same service.
    pub fn site(&self, route: &Lane) -> Site {
        Site(self.entries.get(route).map_or_else(|| route.0.clone(), |e| e.host.to_ascii_lowercase()))
    }

    /// The route by which requests for that path of the site currently arrive, if any.
    pub fn route_of(&self, site: &Site, path: &str) -> Option<Lane> {
        let without_host = || Some(Lane(site.0.clone())).filter(|route| !self.entries.contains_key(route));
        self.paths.find(&site.0, path).cloned().or_else(without_host)
    }

    /// The strictest kind of the route's rows.
    pub fn kind(&self, route: &Lane) -> Option<Kind> {
        self.routes.get(route)?.iter().map(|(_, r)| r.kind).max()
    }

    /// Chooses one of the route's services by weight; `selector` should be evenly distributed.
    pub fn pick(&self, route: &Lane, selector: u64) -> Option<(Svc, Row)> {
        let rows = self.routes.get(route)?;
        let total: u64 = rows.iter().map(|(_, r)| r.weight as u64).sum();
        let mut remaining = selector.checked_rem(total)?;
        rows.iter()
            .find(|(_, r)| {
                let selected = remaining < r.weight as u64;
                remaining = remaining.saturating_sub(r.weight as u64);
                selected
            })
            .cloned()
    }
}
