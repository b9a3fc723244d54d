//! A bounded shelf of things that live until a point in time.
use primitives::Mono;
use std::collections::{BTreeMap, BTreeSet};

pub trait BoundedCacheEntry {
    fn until(&self) -> Mono;
    /// When it is of no use any more, not even to be compared with what is there now.
    fn kept(&self) -> Mono {
        self.until()
    }
    fn size(&self) -> usize;
    /// Gives way only once all is gone that does not stay.
    fn stays(&self) -> bool {
        true
    }
}

/// Invariants: the sizes of all on it come to at most `room`; what does not stay goes first,
/// then what ends soonest; `order` names each thing once.
#[derive(Clone, Debug)]
pub struct BoundedCache<K, T> {
    all: BTreeMap<K, T>,
    order: BTreeSet<(bool, Mono, K)>,
    bytes: usize,
    room: usize,
}

impl<K: Ord + Clone, T: BoundedCacheEntry> BoundedCache<K, T> {
    pub fn new(room: usize) -> BoundedCache<K, T> {
        BoundedCache { all: BTreeMap::new(), order: BTreeSet::new(), bytes: 0, room }
    }

    /// Only what is still alive.
    pub fn get(&self, now: Mono, k: &K) -> Option<&T> {
        self.all.get(k).filter(|t| t.until() > now)
    }

    /// Alive or not.
    pub fn peek(&self, k: &K) -> Option<&T> {
        self.all.get(k)
    }

    pub fn put(&mut self, k: K, t: T) {
        self.remove(&k);
        self.bytes += t.size();
        self.order.insert((t.stays(), t.kept(), k.clone()));
        self.all.insert(k, t);
        while self.bytes > self.room {
            let Some((.., first)) = self.order.first().cloned() else { return };
            self.remove(&first);
        }
    }

    fn remove(&mut self, k: &K) {
        let Some(was) = self.all.remove(k) else { return };
        self.bytes -= was.size();
        self.order.remove(&(was.stays(), was.kept(), k.clone()));
    }

    pub fn drop_where(&mut self, gone: impl Fn(&K, &T) -> bool) {
        let ks: Vec<K> = self.all.iter().filter(|(k, t)| gone(k, t)).map(|(k, _)| k.clone()).collect();
        ks.iter().for_each(|k| self.remove(k));
    }

    pub fn drop_old(&mut self, now: Mono) {
        self.drop_where(|_, t| t.kept() <= now);
    }

    pub fn clear(&mut self) {
        self.drop_where(|_, _| true);
    }

    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.all.values()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}
