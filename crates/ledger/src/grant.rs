//! The grant of one key.
use crate::log_position::LogPosition;
use crate::outcome::Outcome;
use crate::outgoing::OutgoingRecord;
use control_state::{Fingerprint, Held, RoundId};
use primitives::Mono;

/// Approximate bytes that a grant takes in memory besides its key and its outcome.
const GRANT_OVERHEAD_BYTES: usize = 128;

/// A key that is granted to a round, and the outcome of that round if it is known.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub print: Fingerprint,
    pub round: RoundId,
    pub outcome: Option<Outcome>,
    /// Where the outcome stands in the log, if there is one.
    pub stored_at: LogPosition,
    /// Time from which the key window counts. Invariant: not before the true time of the grant;
    /// after a restart, the time of the restart. A key is therefore held longer than its
    /// window, never shorter.
    pub granted_at: Mono,
}

impl Grant {
    /// The record of this grant as other ledgers receive it.
    pub fn show(&self, now: Mono, key: &str) -> OutgoingRecord {
        let whole = self.outcome.as_ref().and_then(|outcome| outcome.content.clone());
        let (print, round, age) = (self.print, self.round, now - self.granted_at);
        let held = Held { key: key.into(), print, round, whole, age };
        OutgoingRecord { held, in_log: self.outcome_in_log() }
    }

    /// Bytes that it takes in memory besides the content of its outcome.
    pub fn index_bytes(&self, key: &str) -> usize {
        GRANT_OVERHEAD_BYTES + key.len() + self.outcome.as_ref().map_or(0, Outcome::index_bytes)
    }

    /// Bytes of the content of its outcome in memory.
    pub fn content_bytes(&self) -> usize {
        self.outcome.as_ref().map_or(0, Outcome::content_bytes)
    }
}
