//! The ledger's log on disk as the ledger counts it: positions of records, and what must stay.
use crate::grants::Grants;

/// How the ledger keeps its log from growing without end.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum LogForm {
    /// The complete state, with all outcomes, is written anew as one record.
    Compacted,
    /// Outcomes stay where they were written until the windows of their keys are over. Only the
    /// rest of the state is written anew, and the beginning of the log is trimmed.
    Trimmed {
        /// Bytes of records, from the oldest outcome that is held to the newest record, above which
        /// outcomes are evicted.
        capacity: usize,
    },
}

/// Where a record stands among all records of the log.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogPosition {
    /// Number of the record, from the first one that was read back at the start.
    pub record: u64,
    /// Bytes of all records before it.
    pub byte: u64,
}

/// The share of the capacity, in percent, above which no further key is granted: the rest is for the
/// outcomes of keys that are granted already.
pub(crate) const GRANTING_PERCENT: u64 = 90;
/// The rest of the state is written anew after this fraction (1/n) of the capacity was appended, or can be
/// trimmed.
const CHECKPOINT_DIVISOR: u64 = 6;

/// Bookkeeping of the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogUse {
    /// Where the next record will stand.
    pub next: LogPosition,
    /// The last record of the state without outcomes, and its size in bytes.
    checkpoint: LogPosition,
    checkpoint_bytes: u64,
    /// Bytes before the first record that was needed when the log was last trimmed.
    trimmed: u64,
}

impl LogUse {
    /// Counts the next record and returns its position.
    pub fn append(&mut self, bytes: usize) -> LogPosition {
        let position = self.next;
        self.next = LogPosition { record: position.record + 1, byte: position.byte + bytes as u64 };
        position
    }

    /// The next record, of so many bytes, is the state without outcomes.
    pub fn append_checkpoint(&mut self, bytes: usize) -> LogPosition {
        (self.checkpoint, self.checkpoint_bytes) = (self.append(bytes), bytes as u64);
        self.checkpoint
    }

    /// Whether the state without outcomes should be written anew. A restart would hold the grants of
    /// records that could have been trimmed for another window.
    pub fn is_checkpoint_due(&self, grants: &Grants, capacity: usize) -> bool {
        let appended = self.next.byte - self.checkpoint.byte - self.checkpoint_bytes;
        let needed_from = grants.oldest_outcome().unwrap_or(self.next).byte;
        let obsolete = needed_from.saturating_sub(self.trimmed + self.checkpoint_bytes);
        appended.max(obsolete) > capacity as u64 / CHECKPOINT_DIVISOR
    }

    /// The log is trimmed; returns the oldest record that is needed.
    pub fn trim(&mut self, grants: &Grants) -> LogPosition {
        let first_needed = grants.oldest_outcome().unwrap_or(self.checkpoint).min(self.checkpoint);
        self.trimmed = first_needed.byte;
        first_needed
    }

    /// Bytes of records from the oldest outcome that is held to the newest record.
    pub fn bytes_in_use(&self, grants: &Grants) -> u64 {
        grants.oldest_outcome().map_or(0, |oldest| self.next.byte - oldest.byte)
    }

    /// Whether there is room for the outcomes of further keys.
    pub fn may_grant(&self, grants: &Grants, capacity: usize) -> bool {
        self.bytes_in_use(grants) < capacity as u64 * GRANTING_PERCENT / 100
    }
}
