//! The size and form of the ledger's log, given the machine's disk and memory.
use crate::recovered_log::decode_log;
use crate::run::Result;
use crate::MachineConfig;
use ledger::{LogForm, RecoveredRecord};
use runtime::disk_log::{existing_size, DiskLog, DiskLogError};
use std::path::Path;

/// Files of the log, and the size of each in two hundred and fifty-sixths of the disk. Many small files,
/// because a file is reused only once all that it holds has expired.
const FILES: usize = 40;
const FILE_SHARE: u64 = 5;
/// Files that hold no outcome which is still needed: the one that is written, the next one, one in reserve, and
/// the oldest, which is needed in part.
const SPARE_FILES: usize = 4;
/// The share of the other files, in percent, for outcomes and all that is written between them. The rest is for
/// what is written until the log is trimmed again.
const CAPACITY_PERCENT: usize = 72;
/// Grants and outcomes take at most this fraction (1/n) of the memory beyond what a process of any size needs.
const MEMORY_DIVISOR: usize = 4;
const BASE_MEMORY: usize = 24 << 20;
/// They may take at least this fraction (1/n) of all memory.
const MIN_MEMORY_DIVISOR: usize = 16;

/// Logs made by earlier versions keep their form: files, and the size of each in sixty-fourths of the disk.
const EARLIER_FILES: usize = 4;
const EARLIER_FILE_SHARE: u64 = 6;

/// The files of a ledger's log.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum LedgerLog {
    /// As made by earlier versions: four files, and the complete state is written anew into one of them.
    Compacted {
        file_size: u64,
    },
    Trimmed {
        file_size: u64,
    },
}

impl LedgerLog {
    pub(crate) fn open(self, dir: &Path) -> std::result::Result<(DiskLog, Vec<Vec<u8>>), DiskLogError> {
        match self {
            LedgerLog::Compacted { file_size } => DiskLog::open(dir, EARLIER_FILES, file_size),
            LedgerLog::Trimmed { file_size } => DiskLog::open_trimmable(dir, FILES, file_size),
        }
    }

    /// How the ledger keeps the log from growing.
    pub(crate) fn form(self) -> LogForm {
        match self {
            LedgerLog::Compacted { .. } => LogForm::Compacted,
            LedgerLog::Trimmed { .. } => LogForm::Trimmed { capacity: self.capacity() },
        }
    }

    /// Bytes of records that the log may hold.
    fn capacity(self) -> usize {
        match self {
            LedgerLog::Compacted { file_size } => file_size as usize * 3 / 4,
            LedgerLog::Trimmed { file_size } => {
                (FILES - SPARE_FILES) * (file_size as usize / 100) * CAPACITY_PERCENT
            }
        }
    }
}

impl MachineConfig {
    /// The log of this machine's ledger.
    pub(crate) fn ledger_log(&self) -> LedgerLog {
        let earlier = self.file_size(EARLIER_FILE_SHARE);
        let dir = self.disk.as_ref().map(|(dir, _)| dir.join("ledger"));
        if dir.and_then(|dir| existing_size(&dir)) == Some(earlier) {
            LedgerLog::Compacted { file_size: earlier }
        } else {
            LedgerLog::Trimmed { file_size: self.file_size(FILE_SHARE) / 4 }
        }
    }

    /// Opens the ledger's log in the machine's folder, and returns it with its records.
    pub fn open_ledger_log(&self, dir: &Path) -> Result<(DiskLog, Vec<RecoveredRecord>)> {
        let form = self.ledger_log();
        let decode = match form {
            LedgerLog::Compacted { .. } => RecoveredRecord::decode_complete,
            LedgerLog::Trimmed { .. } => RecoveredRecord::decode,
        };
        decode_log(form.open(&dir.join("ledger"))?, decode)
    }

    /// Bytes of grants and outcomes that the ledger may hold in memory.
    pub(crate) fn ledger_state_limit(&self) -> usize {
        let log = self.ledger_log();
        match log {
            LedgerLog::Compacted { .. } => log.capacity(),
            LedgerLog::Trimmed { .. } => {
                let share = self.memory.saturating_sub(BASE_MEMORY) / MEMORY_DIVISOR;
                log.capacity().min(share.max(self.memory / MIN_MEMORY_DIVISOR))
            }
        }
    }

    /// Bytes that the ledger may need in memory, with its indexes and what it writes at a time.
    pub(crate) fn ledger_memory(&self) -> usize {
        match self.ledger_log() {
            LedgerLog::Compacted { .. } => self.ledger_state_limit() * 3,
            LedgerLog::Trimmed { .. } => self.ledger_state_limit() / 2 * 3,
        }
    }
}
