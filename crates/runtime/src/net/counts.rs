//! Counters of one part's links.
use std::sync::atomic::{AtomicU64, Ordering};

/// What the links of one part have done so far.
#[derive(Default, Debug)]
pub struct Counts {
    pub sent: AtomicU64,
    pub received: AtomicU64,
    /// Messages not sent, for whatever reason.
    pub dropped: AtomicU64,
    /// Of those: too old to mean anything.
    pub expired: AtomicU64,
    /// Of those: pushed out by newer ones when a link's queue was full.
    pub overflowed: AtomicU64,
    pub bad_frames: AtomicU64,
    /// Connections that came up, and attempts that failed.
    pub connected: AtomicU64,
    pub connect_failures: AtomicU64,
    /// Connections given up because the peer took nothing.
    pub stalled: AtomicU64,
    /// Calls to the kernel that wrote.
    pub writes: AtomicU64,
}

impl Counts {
    /// All counters by name, as a part's health shows them.
    pub fn figures(&self) -> Vec<(&'static str, u64)> {
        let all = [
            ("links sent", &self.sent),
            ("links received", &self.received),
            ("links dropped", &self.dropped),
            ("links expired", &self.expired),
            ("links overflowed", &self.overflowed),
            ("links bad frames", &self.bad_frames),
            ("links connected", &self.connected),
            ("links connect failures", &self.connect_failures),
            ("links stalled", &self.stalled),
            ("links writes", &self.writes),
        ];
        all.into_iter().map(|(name, n)| (name, n.load(Ordering::Relaxed))).collect()
    }
}

pub(super) fn count(counter: &AtomicU64, n: usize) {
    counter.fetch_add(n as u64, Ordering::Relaxed);
}
