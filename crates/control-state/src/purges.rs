//! Which purges cover a cached copy, and when purges expire.
use crate::items::*;
use crate::object::Object;
use crate::state::Era;
use std::collections::BTreeMap;

/// Number of eras for which a purge is kept.
const RETENTION_ERAS: u64 = 8;

/// Whether the mark of a copy can still be compared. All purges before the era `sure` were known when
/// the mark was computed; the mark is valid until purges that came later may have expired.
pub fn is_purge_mark_valid(sure: Era, now: Era) -> bool {
    now.0 <= sure.0 + RETENTION_ERAS
}

impl Key {
    /// Whether it is a purge of any kind.
    pub fn is_purge(&self) -> bool {
        matches!(self, Key::Purge(..) | Key::PurgeBy(_))
    }
}

/// Whether this is a purge that is no longer needed in this era.
pub fn is_expired_purge(era: Era, key: &Key, item: &Item) -> bool {
    key.is_purge() && (item.ver.0 >> 32) + RETENTION_ERAS < era.0
}

/// Digest of all known purges. Nodes with equal digests have dropped the same copies.
pub fn purge_digest(items: &BTreeMap<Key, Item>) -> u64 {
    let purges = items.iter().filter(|(key, _)| key.is_purge());
    purges.fold(0, |digest, (key, item)| digest ^ primitives::hash(&(key, item.ver.0)))
}

/// Digest of the purges by prefix that cover an object: it changes with each of them, so a copy
/// whose mark differs from the current one may be older than a purge.
pub fn mark(items: &BTreeMap<Key, Item>, object: &Object) -> u64 {
    let first = Key::Purge(object.service.clone(), String::new());
    let purges = items.range(first..).map_while(|(key, item)| match key {
        Key::Purge(service, prefix) if *service == object.service => Some((prefix, item.ver.0)),
        _ => None,
    });
    purges
        .filter(|(prefix, _)| object.path.starts_with(prefix.as_str()))
        .fold(0, |digest, (prefix, version)| digest ^ primitives::hash(&(prefix, version)))
}
