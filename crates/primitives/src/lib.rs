//! Types and functions that every other crate is built on: times and identifiers, stable
//! hashing, and reading JSON with precise error locations.
#![deny(missing_docs)]
#![deny(clippy::too_many_lines)]

mod backoff;
mod ids;
mod look;
pub mod metrics;

pub use backoff::*;
pub use ids::*;
pub use look::*;

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

/// A member and its place in the order: the greatest comes first.
type Weighed<'a, T> = ((u64, Reverse<u64>), &'a T);

/// The first two of `rank`, found in one pass and without a copy of the members.
pub fn first_two<'a, K: Hash, T>(
    key: &K,
    members: &'a [T],
    id: impl Fn(&T) -> u64,
) -> impl Iterator<Item = &'a T> {
    let (mut first, mut second): (Option<Weighed<T>>, Option<Weighed<T>>) = (None, None);
    for member in members {
        let weight = (hash(&(key, id(member))), Reverse(id(member)));
        if first.is_none_or(|(best, _)| weight > best) {
            (first, second) = (Some((weight, member)), first);
        } else if second.is_none_or(|(next, _)| weight > next) {
            second = Some((weight, member));
        }
    }
    first.into_iter().chain(second).map(|(_, member)| member)
}
