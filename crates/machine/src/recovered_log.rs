//! Decodes the records of a log that was just opened.
use crate::run::{Result, StartError};
use runtime::disk_log::DiskLog;
use runtime::shell;

/// Files of the controller's log.
pub(crate) const CONTROLLER_FILES: usize = 4;

/// The log, and its records.
pub(crate) fn decode_log<K>(
    (mut log, records): (DiskLog, Vec<Vec<u8>>),
    decode: fn(&[u8]) -> Option<K>,
) -> Result<(DiskLog, Vec<K>)> {
    let entries = shell::read_entries(&mut log, records);
    // Each entry is freed once it is decoded: all of them twice may be more than there is memory for.
    let decoded = entries.and_then(|entries| entries.into_iter().map(|entry| decode(&entry)).collect());
    decoded.map(|records| (log, records)).ok_or(StartError::Undecodable)
}
