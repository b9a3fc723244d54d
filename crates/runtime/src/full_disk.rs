//! Writes to a disk that may be full for a while. The disk log writes at explicit offsets, so a
//! write that failed for lack of space can simply be repeated; nothing is acknowledged before
//! it succeeds.
use std::fs::File;
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::thread;
use std::time::Duration;

/// Delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Repeats a write while the disk or the quota is full, calling `pause` after each failure.
/// Any other error is returned at once, for the state of the disk after it is unknown.
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

/// Writes all of `data` at byte `at`, blocking while the disk is full. A caller that waits
/// for the sync sees this as a slow disk.
pub(crate) fn write_all_at(file: &File, data: &[u8], at: u64) -> io::Result<()> {
    retry_while_full(|| file.write_all_at(data, at), || thread::sleep(RETRY_DELAY))
}
