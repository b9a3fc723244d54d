//! Creates the files of a disk log, and tells a log whose creation was interrupted from one
//! that lost a file.
//!
//! Invariant: no record is written before all files, their directory and its parents are
//! synced. So a log with a record in any file was once complete, and a missing file
//! means lost data.
use crate::disk_log::{DiskSnafu, MissingSnafu, Result, SizeMismatchSnafu};
use crate::disk_log_scan::SegmentHeader;
use snafu::ResultExt;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Size in bytes of the blocks of zeros that are written.
const BLOCK: usize = 64 << 10;

/// Opens all files of the log and creates missing ones, unless another file is in use already.
pub(crate) fn open_all(dir: &Path, count: usize, size: u64) -> Result<Vec<File>> {
    create_directory(dir)?;
    let paths: Vec<PathBuf> = (0..count).map(|i| dir.join(format!("ring-{i}"))).collect();
    let missing: Vec<&PathBuf> = paths.iter().filter(|p| !p.exists()).collect();
    if let Some(path) = missing.first().filter(|_| !missing.is_empty()) {
        if any_in_use(&paths)? {
            return MissingSnafu { path: path.to_path_buf() }.fail();
        }
    }
    for path in &missing {
        preallocate(path, size).context(DiskSnafu { path: path.to_path_buf() })?;
    }
    sync_directory(dir)?;
    paths.iter().map(|p| open_file(p, size)).collect()
}

/// The size in bytes of the files of the disk log in `dir`; `None` if there is no log.
pub fn existing_size(dir: &Path) -> Option<u64> {
    std::fs::metadata(dir.join("ring-0")).ok().map(|m| m.len())
}

fn open_file(path: &Path, size: u64) -> Result<File> {
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .open(path)
        .context(DiskSnafu { path: path.to_path_buf() })?;
    let actual = file.metadata().context(DiskSnafu { path: path.to_path_buf() })?.len();
    if actual != size {
        return SizeMismatchSnafu { path: path.to_path_buf(), actual, size }.fail();
    }
    Ok(file)
}

/// Whether any of the existing files begins with a valid segment header.
fn any_in_use(paths: &[PathBuf]) -> Result<bool> {
    for path in paths.iter().filter(|p| p.exists()) {
        let file = File::open(path).context(DiskSnafu { path: path.clone() })?;
        if SegmentHeader::read(&file).context(DiskSnafu { path: path.clone() })?.is_some() {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Creates a file filled with zeros. It is filled under a temporary name and then renamed, so
/// that a crash leaves no file that is only partly filled.
fn preallocate(path: &Path, size: u64) -> io::Result<()> {
    let new = path.with_extension("new");
    let file = File::create(&new)?;
    fill_with_zeros(&file, 0, size)?;
    file.sync_all()?;
    std::fs::rename(&new, path)
}

/// Overwrites the bytes `from..to` of the file with zeros.
pub(crate) fn fill_with_zeros(file: &File, from: u64, to: u64) -> io::Result<()> {
    let zeros = [0u8; BLOCK];
    let mut at = from;
    while at < to {
        let length = (to - at).min(BLOCK as u64);
        file.write_all_at(&zeros[..length as usize], at)?;
        at += length;
    }
    Ok(())
}

/// Creates the directory with its parents, and syncs each directory that got a new entry: a
/// power loss may remove an unsynced entry, and the log with it.
fn create_directory(dir: &Path) -> Result<()> {
    let new: Vec<&Path> = dir.ancestors().take_while(|p| !p.as_os_str().is_empty() && !p.exists()).collect();
    std::fs::create_dir_all(dir).context(DiskSnafu { path: dir.to_path_buf() })?;
    // Also the parent of an existing directory: its creator may not have synced it.
    let parents = new.into_iter().chain([dir]).filter_map(Path::parent);
    parents.filter(|p| !p.as_os_str().is_empty()).try_for_each(sync_directory)
}

fn sync_directory(dir: &Path) -> Result<()> {
    File::open(dir).and_then(|d| d.sync_all()).context(DiskSnafu { path: dir.to_path_buf() })
}
