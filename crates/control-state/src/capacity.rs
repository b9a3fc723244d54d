//! Edges by capacity: which of them are home edges of cached copies, and which have a share of
//! ceilings.
use crate::items::*;
use primitives::{Addr, NodeId};
use std::collections::BTreeMap;

/// An edge can be a home edge if its capacity is at least that of the largest edge of the zone, region
/// or deployment divided by this: a home edge that answers slowly delays all others.
const HOME_CAPACITY_DIVISOR: u32 = 4;

/// A registered edge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeNode {
    pub id: NodeId,
    pub addr: Addr,
    pub zone: Zone,
    /// Responses per second; see `Node`.
    pub capacity: u32,
}

impl EdgeNode {
    /// The edge that an item describes, if it is one.
    pub fn of(key: &Key, item: &Item) -> Option<EdgeNode> {
        match (key, &item.body) {
            (Key::Node(id), Some(Body::Node(node))) if node.role == Role::Edge => {
                Some(EdgeNode { id: *id, addr: node.addr, zone: node.zone.clone(), capacity: node.capacity })
            }
            _ => None,
        }
    }
}

/// The edges that have enough capacity to be home edges.
pub fn homes(edges: &[EdgeNode]) -> impl Iterator<Item = &EdgeNode> {
    let largest = edges.iter().map(|edge| edge.capacity).max().unwrap_or(0);
    edges.iter().filter(move |edge| edge.capacity.saturating_mul(HOME_CAPACITY_DIVISOR) >= largest)
}

/// The part that each edge has of the own rate of all edges; the parts add up to 1. They are
/// proportional to capacity, among the home edges of each region, so that a region that is cut off
/// from the others still has a part.
pub fn parts(items: &BTreeMap<Key, Item>) -> BTreeMap<NodeId, f64> {
    let mut regions: BTreeMap<String, Vec<EdgeNode>> = BTreeMap::new();
    for edge in items.iter().filter_map(|(key, item)| EdgeNode::of(key, item)) {
        regions.entry(edge.zone.region().to_string()).or_default().push(edge);
    }
    let sharers: Vec<&EdgeNode> = regions.values().flat_map(|edges| homes(edges)).collect();
    let total: f64 = sharers.iter().map(|edge| f64::from(edge.capacity)).sum();
    sharers.into_iter().map(|edge| (edge.id, f64::from(edge.capacity) / total.max(1.0))).collect()
}
