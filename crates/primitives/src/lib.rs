//! The ledger's primitives: what every other crate is built on.
mod ids;
mod look;

pub use ids::*;
pub use look::*;

use std::hash::Hash;
use xxhash_rust::xxh3::Xxh3;

/// A hash that is the same in every process.
pub fn hash<T: Hash>(t: &T) -> u64 {
    let mut h = Xxh3::new();
    t.hash(&mut h);
    h.digest()
}

/// Rendezvous order: the same in every process that sees the same members, and
/// a member's coming or going moves only what it itself takes or leaves.
pub fn rank<K: Hash, T: Clone>(key: &K, all: &[T], id: impl Fn(&T) -> u64) -> Vec<T> {
    let mut v: Vec<(u64, u64, T)> = all.iter().map(|t| (hash(&(key, id(t))), id(t), t.clone())).collect();
    v.sort_by_key(|(h, i, _)| (std::cmp::Reverse(*h), *i));
    v.into_iter().map(|(_, _, t)| t).collect()
}
