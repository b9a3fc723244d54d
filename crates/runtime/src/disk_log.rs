//! A ring of preallocated files holding a log of records.
use crate::chunked_records::{Whole, BEGIN, PIECE};
use crate::disk_log_files;
pub use crate::disk_log_files::existing_size;
use crate::disk_log_scan::{sum, Head, RecordKind, HEAD, RECORD_HEADER_LEN};
use crate::full_disk;
use snafu::{ResultExt, Snafu};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DiskLogError {
    #[snafu(display("{}: {source}", path.display()))]
    Disk { path: PathBuf, source: io::Error },
    #[snafu(display("{}: damaged at byte {at}, with good records behind it", path.display()))]
    Damaged { path: PathBuf, at: u64 },
    #[snafu(display("{}: the log breaks off before a later file", path.display()))]
    Missing { path: PathBuf },
    #[snafu(display("the ring is full of records still needed"))]
    Full,
    #[snafu(display("{} has {is} bytes, the settings say {size}: a ring keeps the size it was made with", path.display()))]
    SizeMismatch { path: PathBuf, is: u64, size: u64 },
    #[snafu(display("a record of {size} bytes does not fit the ring"))]
    TooLarge { size: usize },
}

pub(crate) type Result<T> = std::result::Result<T, DiskLogError>;

/// Invariant: segment `n` lies in file `n % files`; the needed ones are
/// `live ..= segment`, so never more than there are files.
pub struct DiskLog {
    dir: PathBuf,
    pub(crate) files: Vec<File>,
    pub(crate) size: u64,
    pub(crate) segment: u64,
    pub(crate) live: u64,
    pub(crate) at: u64,
    pub(crate) rec: u64,
    /// The base was written but not synced: what it frees is still needed.
    pending_live: Option<u64>,
    /// The segment has its seal; whatever comes begins the next one.
    pub(crate) sealed: bool,
}

/// So that little of a small file is left over at its end.
const PIECES_A_FILE: usize = 8;

impl DiskLog {
    /// Opens the ring, making it if need be, and reads back all that counts.
    pub fn open(dir: &Path, files: usize, size: u64) -> Result<(DiskLog, Vec<Vec<u8>>)> {
        let mut ring = DiskLog {
            dir: dir.to_path_buf(),
            files: disk_log_files::open_all(dir, files, size)?,
            size,
            segment: 0,
            live: 0,
            at: 0,
            rec: 0,
            pending_live: None,
            sealed: false,
        };
        let records = ring.recover()?;
        ring.clear_files_without_header()?;
        Ok((ring, records))
    }

    pub(crate) fn path(&self, segment: u64) -> PathBuf {
        self.dir.join(format!("ring-{}", segment as usize % self.files.len()))
    }

    fn put(&mut self, sort: RecordKind, data: &[u8]) -> Result<()> {
        let mut b = Vec::with_capacity(RECORD_HEADER_LEN + data.len());
        b.push(sort as u8);
        b.extend((data.len() as u32).to_le_bytes());
        b.extend(self.rec.to_le_bytes());
        let c = sum(self.segment, &b, data);
        b.extend(c.to_le_bytes());
        b.extend(data);
        full_disk::write_all_at(self.file(), &b, self.at)
            .context(DiskSnafu { path: self.path(self.segment) })?;
        self.at += b.len() as u64;
        self.rec += 1;
        Ok(())
    }

    fn file(&self) -> &File {
        &self.files[self.segment as usize % self.files.len()]
    }

    /// Begins the next segment; `live` is the first one needed from then on, and
    /// `spare` files are kept back.
    fn next(&mut self, live: u64, spare: u64) -> Result<()> {
        if self.segment + 1 + spare - self.live >= self.files.len() as u64 {
            return FullSnafu.fail();
        }
        self.segment += 1;
        let head = Head { segment: self.segment, live }.encode();
        full_disk::write_all_at(self.file(), &head, 0)
            .context(DiskSnafu { path: self.path(self.segment) })?;
        self.at = HEAD as u64;
        self.sealed = false;
        Ok(())
    }

    fn seal(&mut self) -> Result<()> {
        if self.at >= HEAD as u64 && !self.sealed {
            self.put(RecordKind::Seal, &[])?;
            self.sync_file()?;
            self.sealed = true;
        }
        Ok(())
    }

    fn sync_file(&self) -> Result<()> {
        self.file().sync_data().context(DiskSnafu { path: self.path(self.segment) })
    }

    /// The largest record that is written at once.
    fn piece(&self) -> usize {
        PIECE.min(self.size as usize / PIECES_A_FILE)
    }

    /// Puts a record where it has room, in the next file if need be.
    fn append(&mut self, sort: RecordKind, data: &[u8], spare: u64) -> Result<()> {
        let need = (2 * RECORD_HEADER_LEN + data.len()) as u64;
        if self.sealed || self.at + need > self.size {
            self.seal()?;
            self.next(self.live, spare)?;
        }
        self.put(sort, data)
    }

    /// Appends a record; it counts only once `sync` has returned. Invariant: the
    /// caller syncs before the next `save`, so a good record behind a bad one
    /// is always damage, never a write that was cut short.
    pub fn save(&mut self, data: &[u8]) -> Result<()> {
        if self.at == 0 {
            return self.base(data);
        }
        // One file is kept back for a base, so that a full ring can be emptied.
        let spare = 1;
        if data.len() <= self.piece() {
            return self.append(RecordKind::Plain, data, spare);
        }
        self.fits(data.len())?;
        self.append_pieces(false, data, spare)
    }

    /// Appends a record that stands for all before it.
    pub fn base(&mut self, data: &[u8]) -> Result<()> {
        let needed = self.fits(data.len())?;
        // All or nothing: no file is touched unless there is room for the whole.
        if self.at != 0 && self.segment + needed - self.live >= self.files.len() as u64 {
            return FullSnafu.fail();
        }
        self.seal()?;
        let first = self.segment + 1;
        if data.len() <= self.piece() {
            self.next(first, 0)?;
            self.put(RecordKind::Base, data)?;
        } else {
            // In a new ring there is no earlier segment to need.
            self.live = if self.at == 0 { first } else { self.live };
            self.next(self.live, 0)?;
            self.append_pieces(true, data, 0)?;
        }
        self.pending_live = Some(first);
        self.sync()
    }

    /// How many files a record takes at most; it may never take all of them.
    fn fits(&self, length: usize) -> Result<u64> {
        let piece = self.piece();
        let room = self.size as usize - HEAD - RECORD_HEADER_LEN;
        // One more record than pieces, for the begin and the end are smaller than one.
        let records = length.div_ceil(piece) + (length > piece) as usize;
        let per_file = room / (RECORD_HEADER_LEN + piece).max(RECORD_HEADER_LEN + BEGIN);
        let needed = records.div_ceil(per_file.max(1)) as u64;
        if needed >= self.files.len() as u64 {
            return TooLargeSnafu { size: length }.fail();
        }
        Ok(needed)
    }

    /// Each piece is synced before the next one is written.
    fn append_pieces(&mut self, base: bool, data: &[u8], spare: u64) -> Result<()> {
        self.append(RecordKind::Begin, &Whole::of(base, data).encode(), spare)?;
        for piece in data.chunks(self.piece()) {
            self.sync_file()?;
            self.append(RecordKind::Piece, piece, spare)?;
        }
        self.sync_file()?;
        self.append(RecordKind::End, &[], spare)
    }

    pub fn sync(&mut self) -> Result<()> {
        self.sync_file()?;
        self.live = self.pending_live.take().unwrap_or(self.live);
        Ok(())
    }
}
