//! Counters of one part's links.
use super::PartLinkMetrics;
use crate::frame::FrameError;
use slog::{warn, Logger};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

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
    /// Messages that arrived and were not taken in: the part had fallen behind, and too many
    /// waited, or they meant nothing any more when it came to them.
    pub inbox_full: AtomicU64,
    pub inbox_expired: AtomicU64,
    /// Connections ended for what came on them, and
    pub bad_frames: AtomicU64,
    /// those among them that spoke another version.
    pub other_versions: AtomicU64,
    /// Where the first frame of another version is named.
    pub log: OnceLock<Logger>,
    /// Connections that came up, and attempts that failed.
    pub connected: AtomicU64,
    pub connect_failures: AtomicU64,
    /// Connections given up because the peer took nothing.
    pub stalled: AtomicU64,
    /// Calls to the kernel that wrote.
    pub writes: AtomicU64,
    /// By kind of message.
    pub metrics: PartLinkMetrics,
}

impl Counts {
    /// Counters of links whose figures are entered with others.
    pub fn with_metrics(metrics: PartLinkMetrics) -> Counts {
        Counts { metrics, ..Counts::default() }
    }

    /// All counters by name, as a part's health shows them.
    pub fn figures(&self) -> Vec<(&'static str, u64)> {
        let all = [
            ("links sent", &self.sent),
            ("links received", &self.received),
            ("links dropped", &self.dropped),
            ("links expired", &self.expired),
            ("links overflowed", &self.overflowed),
            ("inbox full", &self.inbox_full),
            ("inbox expired", &self.inbox_expired),
            ("links bad frames", &self.bad_frames),
            ("links other versions", &self.other_versions),
            ("links connected", &self.connected),
            ("links connect failures", &self.connect_failures),
            ("links stalled", &self.stalled),
            ("links writes", &self.writes),
        ];
        all.into_iter().map(|(name, n)| (name, n.load(Ordering::Relaxed))).collect()
    }
}

impl Counts {
    /// A connection ended for a frame that is not right; the first one of another version
    /// is named in the log.
    pub(super) fn refused(&self, problem: &FrameError) {
        count(&self.bad_frames, 1);
        if !matches!(problem, FrameError::VersionMismatch { .. }) {
            return;
        }
        let first = self.other_versions.fetch_add(1, Ordering::Relaxed) == 0;
        if let Some(log) = self.log.get().filter(|_| first) {
            warn!(log, "link refused"; "problem" => %problem);
        }
    }
}

pub(super) fn count(counter: &AtomicU64, n: usize) {
    counter.fetch_add(n as u64, Ordering::Relaxed);
}
