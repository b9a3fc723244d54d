//! Counters of the links of one part.
use super::PartLinkMetrics;
use crate::frame::FrameError;
use slog::{warn, Logger};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Totals of the links of one part since the process started.
#[derive(Default, Debug)]
pub struct Counts {
    /// Messages queued to be sent.
    pub sent: AtomicU64,
    /// Messages received.
    pub received: AtomicU64,
    /// Messages dropped before they were sent, for any reason.
    pub dropped: AtomicU64,
    /// Of those: dropped because they had expired.
    pub expired: AtomicU64,
    /// Of those: dropped for newer ones because the queue of a link was full.
    pub overflowed: AtomicU64,
    /// Messages received but dropped because too many were waiting for the part.
    pub inbox_full: AtomicU64,
    /// Messages received but dropped because they had expired before the part came to them.
    pub inbox_expired: AtomicU64,
    /// Connections closed because of an invalid frame.
    pub bad_frames: AtomicU64,
    /// Of those: the frame had another protocol version.
    pub other_versions: AtomicU64,
    /// Logger for the first frame of another protocol version.
    pub log: OnceLock<Logger>,
    /// Connections established.
    pub connected: AtomicU64,
    /// Attempts to connect that failed.
    pub connect_failures: AtomicU64,
    /// Connections closed because the peer accepted no data for too long.
    pub stalled: AtomicU64,
    /// System calls that wrote to a connection.
    pub writes: AtomicU64,
    /// Metrics by kind of message.
    pub metrics: PartLinkMetrics,
}

impl Counts {
    /// Counters that start at zero and also feed the given metrics.
    pub fn with_metrics(metrics: PartLinkMetrics) -> Counts {
        Counts { metrics, ..Counts::default() }
    }

    /// All counters with their names, as shown in the health of a part.
    pub fn by_name(&self) -> Vec<(&'static str, u64)> {
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
    /// Counts a connection closed because of an invalid frame. Logs only the first frame of
    /// another protocol version.
    pub(super) fn count_rejected_frame(&self, error: &FrameError) {
        count(&self.bad_frames, 1);
        if !matches!(error, FrameError::VersionMismatch { .. }) {
            return;
        }
        let is_first = self.other_versions.fetch_add(1, Ordering::Relaxed) == 0;
        if let Some(log) = self.log.get().filter(|_| is_first) {
            warn!(log, "link closed: peer sent an unsupported protocol version"; "problem" => %error);
        }
    }
}

pub(super) fn count(counter: &AtomicU64, n: usize) {
    counter.fetch_add(n as u64, Ordering::Relaxed);
}
