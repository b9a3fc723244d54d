//! The comb's wax: what every other crate is built on.
mod ids;

pub use ids::*;

use std::hash::Hash;
use xxhash_rust::xxh3::Xxh3;

/// A hash that is the same in every process.
pub fn hash<T: Hash>(t: &T) -> u64 {
    let mut h = Xxh3::new();
    t.hash(&mut h);
    h.digest()
}
