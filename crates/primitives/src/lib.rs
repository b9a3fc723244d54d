//! Types and functions that every other crate is built on: times and identifiers, stable
//! hashing, and reading JSON with precise error locations.
#![deny(missing_docs)]
#![deny(clippy::too_many_lines)]

mod backoff;
mod ids;
mod json;
pub mod metrics;
mod response_time;

pub use backoff::*;
pub use ids::*;
pub use json::*;
pub use response_time::*;

use std::cmp::Reverse;
use std::hash::Hash;
use xxhash_rust::xxh3::Xxh3;

/// Hashes a value to 64 bits (XXH3), with the same result in every process and on every
/// start. Not a cryptographic hash.
pub fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.digest()
}

/// Orders `members` for `key` by rendezvous (highest random weight) hashing.
///
/// `id` gives the number by which a member is hashed. The order is the same in every process
/// that sees the same members; when a member joins or leaves, the others keep their order.
pub fn rank<K: Hash, T: Clone>(key: &K, members: &[T], id: impl Fn(&T) -> u64) -> Vec<T> {
    let weigh = |member: &T| (hash(&(key, id(member))), id(member), member.clone());
    let mut weighed: Vec<(u64, u64, T)> = members.iter().map(weigh).collect();
    weighed.sort_by_key(|(weight, number, _)| (Reverse(*weight), *number));
    weighed.into_iter().map(|(.., member)| member).collect()
}

/// The score of a member in weighted rendezvous hashing: each member has the greatest one for a
/// part of all keys that is in proportion to its weight.
fn score(hashed: u64, weight: u32) -> f64 {
    /// Bits of a hash that a float holds exactly.
    const BITS: u32 = f64::MANTISSA_DIGITS - 1;
    // In (0, 1), both ends excluded.
    let uniform = ((hashed >> (u64::BITS - BITS)) as f64 + 0.5) / (1u64 << BITS) as f64;
    f64::from(weight.max(1)) / -uniform.ln()
}

/// The first member for `key` by weighted rendezvous hashing, found in one pass. Where all weights
/// are equal it is the first one of `rank`.
pub fn first<'a, K: Hash, T>(
    key: &K,
    members: impl Iterator<Item = &'a T>,
    id: impl Fn(&T) -> u64,
    weight: impl Fn(&T) -> u32,
) -> Option<&'a T> {
    let scored = members.map(|member| (score(hash(&(key, id(member))), weight(member)), member));
    let best = scored.max_by(|(a, one), (b, other)| a.total_cmp(b).then(id(other).cmp(&id(one))));
    best.map(|(_, member)| member)
}
