//! Types and functions shared by all other crates: times and identifiers, backoff and response-time
//! estimation, stable hashing, reading JSON with precise error locations, and histograms.
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

/// Hashes a value to 64 bits (XXH3). The result is the same in every process and after a
/// restart. Not a cryptographic hash.
pub fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.digest()
}

/// Orders `members` for `key` by rendezvous (highest random weight) hashing.
///
/// `id` returns the number by which a member is hashed. The order is the same in every process
/// with the same members; when a member joins or leaves, the others keep their relative order.
pub fn rank<K: Hash, T: Clone>(key: &K, members: &[T], id: impl Fn(&T) -> u64) -> Vec<T> {
    let with_hash = |member: &T| (hash(&(key, id(member))), id(member), member.clone());
    let mut hashed: Vec<(u64, u64, T)> = members.iter().map(with_hash).collect();
    hashed.sort_by_key(|(hash, number, _)| (Reverse(*hash), *number));
    hashed.into_iter().map(|(.., member)| member).collect()
}

/// The score of a member in weighted rendezvous hashing. The share of keys for which a member has
/// the highest score is proportional to its weight; a weight of 0 counts as 1.
fn score(hashed: u64, weight: u32) -> f64 {
    /// Number of hash bits used, few enough that an `f64` represents the value and the added
    /// half exactly.
    const BITS: u32 = f64::MANTISSA_DIGITS - 1;
    // In the open interval (0, 1).
    let uniform = ((hashed >> (u64::BITS - BITS)) as f64 + 0.5) / (1u64 << BITS) as f64;
    f64::from(weight.max(1)) / -uniform.ln()
}

/// Returns the first member for `key` by weighted rendezvous hashing, in one pass, or `None` if
/// there are no members. If all weights are equal, it is the first member of [`rank`].
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
