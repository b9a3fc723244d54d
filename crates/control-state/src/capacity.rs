//! Edges by what they can hand to others: which of them are homes of copies, and which have
//! a share of ceilings.
use crate::items::*;
use primitives::{Addr, NodeId};
use std::collections::BTreeMap;

/// An edge is a home of its reach if it has at least one part in so many of the capacity of the
/// strongest edge there: a home that is slow to answer holds up everybody else.
const HOME_CAPACITY_DIVISOR: u32 = 4;

/// An edge as others know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeNode {
    pub id: NodeId,
    pub addr: Addr,
    pub zone: Zone,
    /// See `Node`.
    pub capacity: u32,
}

impl EdgeNode {
    /// The node under a key, if it is an edge.
    pub fn of(key: &Key, item: &Item) -> Option<EdgeNode> {
        match (key, &item.body) {
            (Key::Node(id), Some(Body::Node(n))) if n.role == Role::Edge => {
                Some(EdgeNode { id: *id, addr: n.addr, zone: n.zone.clone(), capacity: n.capacity })
            }
            _ => None,
        }
    }
}

/// Those of the edges that are homes.
pub fn homes(edges: &[EdgeNode]) -> impl Iterator<Item = &EdgeNode> {
    let greatest = edges.iter().map(|e| e.capacity).max().unwrap_or(0);
    edges.iter().filter(move |e| e.capacity.saturating_mul(HOME_CAPACITY_DIVISOR) >= greatest)
}

/// The part that each edge has of what is shared out of ceilings: by capacity, among the homes
/// of each region, so that a region that loses the others still has a part.
pub fn parts(items: &BTreeMap<Key, Item>) -> BTreeMap<NodeId, f64> {
    let mut regions: BTreeMap<String, Vec<EdgeNode>> = BTreeMap::new();
    for edge in items.iter().filter_map(|(key, item)| EdgeNode::of(key, item)) {
        regions.entry(edge.zone.region().to_string()).or_default().push(edge);
    }
    let sharers: Vec<&EdgeNode> = regions.values().flat_map(|edges| homes(edges)).collect();
    let all: f64 = sharers.iter().map(|e| f64::from(e.capacity)).sum();
    sharers.into_iter().map(|e| (e.id, f64::from(e.capacity) / all.max(1.0))).collect()
}
