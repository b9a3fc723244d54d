//! The disk thread, and how batches of saves are encoded and written.
use super::inbox::Inbox;
use super::Event;
use crate::disk_log::{DiskLog, DiskLogError};
use control_state::Out;
use slog::{error, Logger};
use std::sync::mpsc::Receiver;

/// Writes and syncs each batch, then reports the outcome to the actor.
pub(super) fn run_disk_thread(mut disk_log: DiskLog, batches: Receiver<Vec<Out>>, inbox: Inbox, log: Logger) {
    for batch in batches {
        let result = write(&mut disk_log, batch);
        if let Err(error) = &result {
            error!(log, "disk write failed"; "problem" => %error);
        }
        inbox.send(Event::Synced(result.is_ok()));
    }
}

fn write(disk_log: &mut DiskLog, batch: Vec<Out>) -> Result<(), DiskLogError> {
    let mut saves: Vec<Vec<u8>> = vec![];
    for output in batch {
        match output {
            Out::Base(data) => {
                // A base replaces all saves before it, so those of this batch need not be written.
                saves.clear();
                disk_log.base(&encode_single_entry(data))?;
            }
            Out::Save(data) => saves.push(data),
            _ => (),
        }
    }
    if !saves.is_empty() {
        disk_log.save(&pack(&saves))?;
    }
    disk_log.sync()
}

/// Encodes a batch as one record, so that after a crash it is present completely or not at all.
fn pack(entries: &[Vec<u8>]) -> Vec<u8> {
    postcard::to_stdvec(entries).expect("bytes always encode")
}

/// Encodes a batch of one entry as `pack` does, but reuses the memory of the entry: a base may
/// be large.
pub fn encode_single_entry(mut entry: Vec<u8>) -> Vec<u8> {
    const ENTRIES: usize = 1;
    let prefix = postcard::to_stdvec(&(ENTRIES, entry.len())).expect("numbers always encode");
    entry.splice(0..0, prefix);
    entry
}

/// The entries of all records that were read back; `None` if a record cannot be decoded.
pub fn unpack(records: Vec<Vec<u8>>) -> Option<Vec<Vec<u8>>> {
    let decoded = records.iter().map(|record| postcard::from_bytes::<Vec<Vec<u8>>>(record).ok());
    decoded.collect::<Option<Vec<_>>>().map(|entries| entries.concat())
}
