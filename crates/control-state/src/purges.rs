//! What purges say of copies, and when they may be forgotten.
use crate::items::*;
use crate::object::Object;
use crate::state::Era;
use std::collections::BTreeMap;

/// Eras for which a purge is remembered.
const KEPT: u64 = 8;

/// Whether a copy's mark can still be compared. `sure` is an era whose purges before
/// it were all known when the mark was made; none that came after is forgotten yet.
pub fn is_purge_mark_valid(sure: Era, now: Era) -> bool {
    now.0 <= sure.0 + KEPT
}

impl Key {
    /// Whether it is a purge of either kind.
    pub fn is_purge(&self) -> bool {
        matches!(self, Key::Purge(..) | Key::PurgeBy(_))
    }
}

/// Whether this is a purge that nobody needs any more.
pub fn is_expired_purge(era: Era, k: &Key, it: &Item) -> bool {
    k.is_purge() && (it.ver.0 >> 32) + KEPT < era.0
}

/// Of all purges known. Two nodes with the same one have dropped the same copies.
pub fn purge_digest(items: &BTreeMap<Key, Item>) -> u64 {
    let purges = items.iter().filter(|(k, _)| k.is_purge());
    purges.fold(0, |digest, (k, it)| digest ^ primitives::hash(&(k, it.ver.0)))
}

/// What purges say of an object: grows with each that covers it, so a copy under
/// another mark than now may be older than a purge.
pub fn mark(items: &BTreeMap<Key, Item>, o: &Object) -> u64 {
    let first = Key::Purge(o.service.clone(), String::new());
    let all = items.range(first..).map_while(|(k, it)| match k {
        Key::Purge(s, p) if *s == o.service => Some((p, it.ver.0)),
        _ => None,
    });
    all.filter(|(p, _)| o.path.starts_with(p.as_str())).fold(0, |m, (p, v)| m ^ primitives::hash(&(p, v)))
}
