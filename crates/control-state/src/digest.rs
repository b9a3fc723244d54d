//! Digest of the items, to compare those of two processes without sending them.
use crate::items::{Item, Key};
use crate::purges::is_expired_purge;
use crate::state::Era;
use primitives::Version;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Digest of all keys and versions. Invariant: a version of an item stands for one content, so equal
/// digests mean equal items.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemsDigest(u64);

impl ItemsDigest {
    /// The digest without purges that expire in this era: some processes may have dropped them
    /// already.
    pub fn of(era: Era, items: &BTreeMap<Key, Item>) -> ItemsDigest {
        let kept = items.iter().filter(|(key, item)| !is_expired_purge(era, key, item));
        let versions: Vec<(&Key, Version)> = kept.map(|(key, item)| (key, item.ver)).collect();
        ItemsDigest(primitives::hash(&versions))
    }
}
