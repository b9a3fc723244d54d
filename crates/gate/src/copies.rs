//! Shared copies of readable content, in memory.
use brood::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use wax::Mono;

#[derive(Clone, Debug)]
pub(crate) struct Copy {
    pub whole: Arc<Whole>,
    /// Invariant: not served after this; set when the fill began.
    pub until: Mono,
}

#[derive(Debug)]
pub(crate) struct Copies {
    all: BTreeMap<(Svc, Lane, String), Copy>,
    /// Invariant: the bodies' bytes stay at most `room`.
    bytes: usize,
    room: usize,
}

impl Copies {
    pub fn new(room: usize) -> Copies {
        Copies { all: BTreeMap::new(), bytes: 0, room }
    }
    pub fn len(&self) -> usize {
        self.all.len()
    }
    pub fn clear(&mut self) {
        self.all.clear();
        self.bytes = 0;
    }
    pub fn get(&self, now: Mono, k: &(Svc, Lane, String)) -> Option<&Copy> {
        self.all.get(k).filter(|c| c.until > now)
    }
    pub fn keep(&mut self, now: Mono, k: (Svc, Lane, String), c: Copy) {
        if c.until <= now || c.whole.body.len() > self.room {
            return;
        }
        self.bytes += c.whole.body.len();
        let was = self.all.insert(k, c);
        self.bytes -= was.map_or(0, |w| w.whole.body.len());
        while self.bytes > self.room {
            let soonest = self.all.iter().min_by_key(|(_, c)| c.until).map(|(k, _)| k.clone());
            soonest.into_iter().for_each(|k| self.remove(&k));
        }
    }
    fn remove(&mut self, k: &(Svc, Lane, String)) {
        self.bytes -= self.all.remove(k).map_or(0, |w| w.whole.body.len());
    }
    pub fn purge(&mut self, svc: &Svc, prefix: &str) {
        let hit = |k: &&(Svc, Lane, String)| k.0 == *svc && k.2.starts_with(prefix);
        let gone: Vec<_> = self.all.keys().filter(hit).cloned().collect();
        gone.iter().for_each(|k| self.remove(k));
    }
    pub fn drop_old(&mut self, now: Mono) {
        let gone: Vec<_> = self.all.iter().filter(|(_, c)| c.until <= now).map(|(k, _)| k.clone()).collect();
        gone.iter().for_each(|k| self.remove(k));
    }
}
