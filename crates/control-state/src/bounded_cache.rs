//! A cache of bounded size whose entries expire.
use primitives::Mono;
use std::collections::{BTreeMap, BTreeSet};

/// An entry of a `BoundedCache`.
pub trait BoundedCacheEntry {
    /// When it expires.
    fn until(&self) -> Mono;
    /// When it is to be dropped; until then an expired entry may still be compared with a new one.
    fn kept(&self) -> Mono {
        self.until()
    }
    /// Bytes.
    fn size(&self) -> usize;
    /// Whether it is evicted only after all entries for which this is false.
    fn stays(&self) -> bool {
        true
    }
}

/// A cache of bounded size. Invariants: the sizes of all entries add up to at most `capacity`;
/// entries that do not stay are evicted first, then those that are dropped soonest; `order` has each
/// key once.
#[derive(Clone, Debug)]
pub struct BoundedCache<K, T> {
    entries: BTreeMap<K, T>,
    /// In order of eviction.
    order: BTreeSet<(bool, Mono, K)>,
    bytes: usize,
    /// Bytes.
    capacity: usize,
}

impl<K: Ord + Clone, T: BoundedCacheEntry> BoundedCache<K, T> {
    /// An empty cache for this many bytes.
    pub fn new(capacity: usize) -> BoundedCache<K, T> {
        BoundedCache { entries: BTreeMap::new(), order: BTreeSet::new(), bytes: 0, capacity }
    }

    /// The entry, unless it has expired.
    pub fn get(&self, now: Mono, key: &K) -> Option<&T> {
        self.entries.get(key).filter(|entry| entry.until() > now)
    }

    /// The entry, expired or not.
    pub fn peek(&self, key: &K) -> Option<&T> {
        self.entries.get(key)
    }

    /// Stores an entry, and evicts others, or this one, until the size is within bounds.
    pub fn put(&mut self, key: K, entry: T) {
        self.remove(&key);
        self.bytes += entry.size();
        self.order.insert((entry.stays(), entry.kept(), key.clone()));
        self.entries.insert(key, entry);
        self.shrink_to(self.capacity);
    }

    /// Evicts entries until they take at most so many bytes. The capacity stays as it is.
    pub fn shrink_to(&mut self, bytes: usize) {
        while self.bytes > bytes {
            let Some((.., first)) = self.order.first().cloned() else { return };
            self.remove(&first);
        }
    }

    fn remove(&mut self, key: &K) {
        let Some(removed) = self.entries.remove(key) else { return };
        self.bytes -= removed.size();
        self.order.remove(&(removed.stays(), removed.kept(), key.clone()));
    }

    /// Removes the entries that satisfy `condition`.
    pub fn drop_where(&mut self, condition: impl Fn(&K, &T) -> bool) {
        let keys: Vec<K> = self
            .entries
            .iter()
            .filter(|(key, entry)| condition(key, entry))
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Removes the entries that are to be dropped by now; see `BoundedCacheEntry::kept`.
    pub fn drop_old(&mut self, now: Mono) {
        self.drop_where(|_, entry| entry.kept() <= now);
    }

    pub fn clear(&mut self) {
        self.drop_where(|_, _| true);
    }

    /// All entries, expired ones too.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.entries.values()
    }

    /// The sizes of all entries together.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
