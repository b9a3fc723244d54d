//! Messages with outcomes that stand in the sender's log: they are read from there before the message is sent.
use crate::{Holder, Msg};
use primitives::Addr;

/// An outcome that a message lacks, and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingOutcome {
    /// Position of its record among those of the message.
    pub position: usize,
    /// Number of the record in the log, as for `Out::Trim`.
    pub log_record: u64,
    /// The ledgers that hold the outcome now. The log may name earlier ones.
    pub holders: Vec<Holder>,
}

/// A message that is complete but for outcomes.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredMessage {
    pub to: Addr,
    pub message: Msg,
    pub missing: Vec<MissingOutcome>,
}

impl StoredMessage {
    /// Numbers of the records of the log that hold the outcomes, in the order of `missing`.
    pub fn log_records(&self) -> Vec<u64> {
        self.missing.iter().map(|outcome| outcome.log_record).collect()
    }
}
