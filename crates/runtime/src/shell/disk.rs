//! The disk thread, and how batches of saves are encoded and written.
use super::inbox::Inbox;
use super::Event;
use crate::disk_log::{DiskLog, DiskLogError};
use control_state::{Out, StoredMessage};
use slog::{error, Logger};
use std::sync::mpsc::Receiver;

/// What the disk thread does next.
pub(super) enum DiskCommand {
    /// Writes and syncs the batch, and reports whether that succeeded.
    Write(Vec<Out>),
    /// Reads the records that the message lacks.
    Read(Box<StoredMessage>),
}

/// Executes commands in order, and reports each to the actor.
pub(super) fn run_disk_thread(
    mut disk_log: DiskLog,
    commands: Receiver<DiskCommand>,
    inbox: Inbox,
    log: Logger,
) {
    for command in commands {
        match command {
            DiskCommand::Write(batch) => {
                let result = write(&mut disk_log, batch);
                if let Err(error) = &result {
                    error!(log, "disk write failed"; "problem" => %error);
                }
                inbox.send(Event::Synced(result.is_ok()));
            }
            DiskCommand::Read(message) => {
                let records = disk_log.entries_at(&message.log_records());
                inbox.send(Event::Read(message, records));
            }
        }
    }
}

fn write(disk_log: &mut DiskLog, batch: Vec<Out>) -> Result<(), DiskLogError> {
    let (mut saves, mut first_needed) = (vec![], None);
    for output in batch {
        match output {
            Out::Base(data) => {
                // A base replaces all saves before it, so those of this batch need not be written.
                saves.clear();
                write_base(disk_log, data)?;
            }
            Out::Save(data) => saves.push(data),
            Out::Trim(entry) => first_needed = Some(entry),
            _ => (),
        }
    }
    append_entries(disk_log, saves, first_needed)
}

fn write_base(disk_log: &mut DiskLog, data: Vec<u8>) -> Result<(), DiskLogError> {
    disk_log.base(&encode_single_entry(data))?;
    disk_log.note_base();
    Ok(())
}

/// Appends and syncs entries as one record. Entries before `first_needed`, by the number in which they were
/// read back or appended since, are not needed from then on.
pub fn append_entries(
    disk_log: &mut DiskLog,
    entries: Vec<Vec<u8>>,
    first_needed: Option<u64>,
) -> Result<(), DiskLogError> {
    if !entries.is_empty() {
        disk_log.save(&pack(&entries))?;
        disk_log.note_entries(entries.len());
    }
    disk_log.sync()?;
    first_needed.into_iter().for_each(|entry| disk_log.trim(entry));
    Ok(())
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

/// The entries of all records that a log returned when it was opened, which are numbered from now on;
/// `None` if a record cannot be decoded.
pub fn read_entries(disk_log: &mut DiskLog, records: Vec<Vec<u8>>) -> Option<Vec<Vec<u8>>> {
    let mut all = vec![];
    let starts = disk_log.take_recovered_starts();
    for (record, start) in records.into_iter().zip(starts) {
        let entries = postcard::from_bytes::<Vec<Vec<u8>>>(&record).ok()?;
        disk_log.note_entries_at(entries.len(), start);
        all.extend(entries);
    }
    Some(all)
}

/// The entries of all records that were read back; `None` if a record cannot be decoded.
pub fn unpack(records: Vec<Vec<u8>>) -> Option<Vec<Vec<u8>>> {
    let decoded = records.iter().map(|record| postcard::from_bytes::<Vec<Vec<u8>>>(record).ok());
    decoded.collect::<Option<Vec<_>>>().map(|entries| entries.concat())
}
