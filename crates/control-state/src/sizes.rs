//! Approximate encoded sizes of parts of the state, in bytes: for bounds, not for exact accounting.
use crate::items::{Body, Item, Key};

/// Numbers, addresses and other fields of fixed size of one item.
const FIXED_FIELDS: usize = 100;
/// A service and its weight in a route.
const ROUTE_WEIGHT: usize = 40;
/// A ledger in a ledger set.
const LEDGER_SLOT: usize = 60;

impl Key {
    /// Approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        20 + match self {
            Key::Row(..) | Key::Origin(_) | Key::Node(_) | Key::Roll => 20,
            Key::Purge(_, scope) => scope.len() + 20,
            Key::Entry(_, name) => name.len(),
            Key::PurgeBy(_) => FIXED_FIELDS,
        }
    }
}

impl Body {
    /// Approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Body::Lane(route) => FIXED_FIELDS + route.said.len() + route.weights.len() * ROUTE_WEIGHT,
            Body::Service(service) => FIXED_FIELDS + service.said.len(),
            Body::Limits(limits) => FIXED_FIELDS + limits.said.len(),
            Body::Roll(roll) => FIXED_FIELDS + roll.sets.iter().map(Vec::len).sum::<usize>() * LEDGER_SLOT,
            Body::Row(_) | Body::Origin(_) | Body::Node(_) => FIXED_FIELDS,
            Body::Purge => 0,
        }
    }
}

impl Item {
    /// Approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        10 + self.body.as_ref().map_or(0, Body::size)
    }
}
