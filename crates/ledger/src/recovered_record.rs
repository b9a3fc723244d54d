//! Records as they are read back when the ledger starts.
use crate::outcome::Outcome;
use crate::records::Kept;
use control_state::RoundId;

/// A record of the log, read back at the start.
#[derive(Clone, Debug)]
pub enum RecoveredRecord {
    /// All that the record holds.
    Complete(Kept),
    /// An outcome without its content, which stays in the log: the contents of a whole log may be more than
    /// there is memory for.
    Outcome { key: String, round: RoundId, outcome: Outcome, bytes: usize },
}

impl RecoveredRecord {
    /// The record in these bytes, of a log from which outcomes can be read again later; `None` if they are
    /// not a complete record.
    pub fn decode(bytes: &[u8]) -> Option<RecoveredRecord> {
        let record = Kept::decode(bytes)?;
        Some(match record {
            Kept::Outcome { key, round, whole } => {
                let outcome = Outcome::in_log(&whole);
                RecoveredRecord::Outcome { key, round, outcome, bytes: bytes.len() }
            }
            record => RecoveredRecord::Complete(record),
        })
    }

    /// The record in these bytes with all that it holds.
    pub fn decode_complete(bytes: &[u8]) -> Option<RecoveredRecord> {
        Kept::decode(bytes).map(RecoveredRecord::Complete)
    }

    /// Approximate bytes of the record as it is stored.
    pub(crate) fn approximate_bytes(&self) -> usize {
        match self {
            RecoveredRecord::Complete(record) => record.approximate_bytes(),
            RecoveredRecord::Outcome { bytes, .. } => *bytes,
        }
    }
}

impl From<Kept> for RecoveredRecord {
    fn from(record: Kept) -> RecoveredRecord {
        RecoveredRecord::Complete(record)
    }
}
