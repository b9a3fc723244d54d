//! What parts of the state take on a link, in bytes, roughly: for bounds, not for reckoning.
use crate::items::{Body, Item, Key};

/// Numbers, addresses and the like of one entry.
const FIXED: usize = 100;
/// One service and its weight in a route.
const WEIGHT: usize = 40;
/// One ledger in a set of ledgers.
const SEAT: usize = 60;

impl Key {
    /// Bytes, roughly.
    pub fn size(&self) -> usize {
        20 + match self {
            Key::Row(..) | Key::Origin(_) | Key::Node(_) | Key::Roll => 20,
            Key::Purge(_, scope) => scope.len() + 20,
            Key::Entry(_, name) => name.len(),
            Key::PurgeBy(_) => FIXED,
        }
    }
}

impl Body {
    /// Bytes, roughly.
    pub fn size(&self) -> usize {
        match self {
            Body::Lane(route) => FIXED + route.said.len() + route.weights.len() * WEIGHT,
            Body::Service(service) => FIXED + service.said.len(),
            Body::Limits(limits) => FIXED + limits.said.len(),
            Body::Roll(roll) => FIXED + roll.sets.iter().map(Vec::len).sum::<usize>() * SEAT,
            Body::Row(_) | Body::Origin(_) | Body::Node(_) => FIXED,
            Body::Purge => 0,
        }
    }
}

impl Item {
    /// Bytes, roughly.
    pub fn size(&self) -> usize {
        10 + self.body.as_ref().map_or(0, Body::size)
    }
}
