//! The disk's thread, and how batches of records are written.
use super::inbox::Inbox;
use super::Event;
use crate::disk_log::{DiskLog, DiskLogError};
use control_state::Out;
use slog::{error, Logger};
use std::sync::mpsc::Receiver;

/// Writes each batch, syncs it, says so.
pub(super) fn run_disk_thread(mut ring: DiskLog, rx: Receiver<Vec<Out>>, tell: Inbox, log: Logger) {
    for batch in rx {
        let r = write(&mut ring, batch);
        if let Err(p) = &r {
            error!(log, "disk"; "problem" => %p);
        }
        tell.send(Event::Synced(r.is_ok()));
    }
}

fn write(ring: &mut DiskLog, batch: Vec<Out>) -> Result<(), DiskLogError> {
    let mut plain: Vec<Vec<u8>> = vec![];
    for o in batch {
        match o {
            Out::Base(b) => {
                // All before it is void now, written or not.
                plain.clear();
                ring.base(&encode_single_entry(b))?;
            }
            Out::Save(b) => plain.push(b),
            _ => (),
        }
    }
    if !plain.is_empty() {
        ring.save(&pack(&plain))?;
    }
    ring.sync()
}

/// One record holds a whole batch, so that a batch is there or not.
fn pack(b: &[Vec<u8>]) -> Vec<u8> {
    postcard::to_stdvec(b).expect("bytes always encode")
}

/// As `pack` packs one entry, in its own memory: a base may be large.
pub fn encode_single_entry(mut entry: Vec<u8>) -> Vec<u8> {
    const ONE: usize = 1;
    let ahead = postcard::to_stdvec(&(ONE, entry.len())).expect("numbers always encode");
    entry.splice(0..0, ahead);
    entry
}

/// The entries of all records read back; none if one does not unpack.
pub fn unpack(recs: Vec<Vec<u8>>) -> Option<Vec<Vec<u8>>> {
    let each = recs.iter().map(|r| postcard::from_bytes::<Vec<Vec<u8>>>(r).ok());
    each.collect::<Option<Vec<_>>>().map(|v| v.concat())
}
