//! Writing to a disk that may be full for a while. All writes of the ring name their place, so
//! one that failed for want of room is simply done again; nothing was promised meanwhile.
use std::fs::File;
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::thread;
use std::time::Duration;

/// How long to wait before a write is done again.
const PAUSE: Duration = Duration::from_millis(100);

/// Does a write again for as long as the disk is full. Any other failure is the caller's:
/// what a disk holds after one is not known.
pub fn retry_while_full(
    mut write: impl FnMut() -> io::Result<()>,
    mut pause: impl FnMut(),
) -> io::Result<()> {
    loop {
        match write() {
            Err(e) if matches!(e.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded) => pause(),
            result => return result,
        }
    }
}

/// Writes all of it at a place of the file, however long the disk is full; to whoever waits
/// for the sync this is a disk that takes long.
pub(crate) fn write_all_at(file: &File, data: &[u8], at: u64) -> io::Result<()> {
    retry_while_full(|| file.write_all_at(data, at), || thread::sleep(PAUSE))
}
