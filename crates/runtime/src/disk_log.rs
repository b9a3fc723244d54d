//! A log of records in a fixed set of preallocated files that are reused in turn (a ring).
use crate::chunked_records::{LargeRecordHeader, BEGIN_PAYLOAD_LEN, MAX_CHUNK_LEN};
use crate::disk_log_files;
pub use crate::disk_log_files::existing_size;
use crate::disk_log_scan::{checksum, RecordKind, SegmentHeader, RECORD_HEADER_LEN, SEGMENT_HEADER_LEN};
use crate::disk_log_trim::{EntryRecords, RecordStart};
use crate::full_disk;
use snafu::{ResultExt, Snafu};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// Why the log could not be opened or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DiskLogError {
    #[snafu(display("disk log: I/O error on {}: {source}", path.display()))]
    Disk { path: PathBuf, source: io::Error },
    #[snafu(display("{}: disk log corrupt at byte {at}: a header or record is invalid and not merely the end of an interrupted write", path.display()))]
    Damaged { path: PathBuf, at: u64 },
    #[snafu(display("{}: file or segment of the disk log is missing although other files hold records", path.display()))]
    Missing { path: PathBuf },
    #[snafu(display("disk log full: every file holds records that are still needed"))]
    Full,
    #[snafu(display("{} has {actual} bytes but {size} are configured: the file size of an existing disk log cannot be changed", path.display()))]
    SizeMismatch { path: PathBuf, actual: u64, size: u64 },
    #[snafu(display("record of {size} bytes does not fit in the disk log"))]
    TooLarge { size: usize },
}

pub(crate) type Result<T> = std::result::Result<T, DiskLogError>;

/// A log of records on disk. Segments are numbered from 1 and each fills one file.
///
/// Invariant: segment `n` is stored in file `n % files`; the needed segments are
/// `oldest_needed ..= segment`, so never more than there are files.
pub struct DiskLog {
    dir: PathBuf,
    pub(crate) files: Vec<File>,
    /// Size of each file in bytes.
    pub(crate) size: u64,
    /// The segment being written; 0 in an empty log.
    pub(crate) segment: u64,
    /// The oldest segment with records that are still needed.
    pub(crate) oldest_needed: u64,
    /// Byte offset of the next record in the current file; 0 in an empty log.
    pub(crate) at: u64,
    /// Number of the next record.
    pub(crate) next_record: u64,
    /// First segment of a base that is written but not yet synced; until then the segments
    /// before it are still needed.
    pending_oldest_needed: Option<u64>,
    /// The current segment ends with a seal; the next record begins a new segment.
    pub(crate) sealed: bool,
    /// Records at the beginning may be trimmed: the oldest needed segment may begin with any record.
    pub(crate) trims: bool,
    /// Segments before this one are not needed; the header of the next segment will say so.
    pub(crate) trimmed_to: u64,
    pub(crate) entry_records: EntryRecords,
}

/// Limits a chunk to this fraction of a file, so that little space stays unused at the end
/// of a small file.
const CHUNKS_PER_FILE: usize = 8;

impl DiskLog {
    /// Opens the log in `dir`, creating its `files` files of `size` bytes if there are none, and
    /// returns it with the last base and the records after it, in order.
    ///
    /// Fails if a file is missing, has another size or holds corrupt data. A last record cut
    /// short by a crash is not an error: it is dropped.
    pub fn open(dir: &Path, files: usize, size: u64) -> Result<(DiskLog, Vec<Vec<u8>>)> {
        DiskLog::open_as(false, dir, files, size)
    }

    /// The same for a log whose oldest records may be trimmed. Returns all records that were not,
    /// or not yet.
    pub fn open_trimmable(dir: &Path, files: usize, size: u64) -> Result<(DiskLog, Vec<Vec<u8>>)> {
        DiskLog::open_as(true, dir, files, size)
    }

    fn open_as(trims: bool, dir: &Path, files: usize, size: u64) -> Result<(DiskLog, Vec<Vec<u8>>)> {
        let mut log = DiskLog {
            dir: dir.to_path_buf(),
            files: disk_log_files::open_all(dir, files, size)?,
            size,
            segment: 0,
            oldest_needed: 0,
            at: 0,
            next_record: 0,
            pending_oldest_needed: None,
            sealed: false,
            trims,
            trimmed_to: 0,
            entry_records: EntryRecords::default(),
        };
        let records = log.recover()?;
        log.clear_files_without_header()?;
        Ok((log, records))
    }

    /// The file in which a segment is stored.
    pub(crate) fn path(&self, segment: u64) -> PathBuf {
        self.dir.join(format!("ring-{}", segment as usize % self.files.len()))
    }

    fn write_record(&mut self, kind: RecordKind, data: &[u8]) -> Result<()> {
        let mut record = Vec::with_capacity(RECORD_HEADER_LEN + data.len());
        record.push(kind as u8);
        record.extend((data.len() as u32).to_le_bytes());
        record.extend(self.next_record.to_le_bytes());
        let check = checksum(self.segment, &record, data);
        record.extend(check.to_le_bytes());
        record.extend(data);
        full_disk::write_all_at(self.file(), &record, self.at)
            .context(DiskSnafu { path: self.path(self.segment) })?;
        if matches!(kind, RecordKind::Plain | RecordKind::Base | RecordKind::Begin) {
            self.entry_records.last_written = RecordStart { segment: self.segment, at: self.at };
        }
        self.at += record.len() as u64;
        self.next_record += 1;
        Ok(())
    }

    fn file(&self) -> &File {
        &self.files[self.segment as usize % self.files.len()]
    }

    /// Begins the next segment. `oldest_needed` is the oldest segment that is needed from then on;
    /// `spare` files are left unused.
    fn begin_segment(&mut self, oldest_needed: u64, spare: u64) -> Result<()> {
        if self.segment + 1 + spare - self.oldest_needed >= self.files.len() as u64 {
            return FullSnafu.fail();
        }
        self.segment += 1;
        let header = SegmentHeader { segment: self.segment, oldest_needed }.encode();
        full_disk::write_all_at(self.file(), &header, 0)
            .context(DiskSnafu { path: self.path(self.segment) })?;
        self.at = SEGMENT_HEADER_LEN as u64;
        self.sealed = false;
        if self.trims {
            self.pending_oldest_needed = Some(oldest_needed);
        }
        Ok(())
    }

    /// Ends the current segment with a synced seal, unless it has one.
    fn seal(&mut self) -> Result<()> {
        if self.at >= SEGMENT_HEADER_LEN as u64 && !self.sealed {
            self.write_record(RecordKind::Seal, &[])?;
            self.sync_file()?;
            self.sealed = true;
        }
        Ok(())
    }

    fn sync_file(&self) -> Result<()> {
        self.file().sync_data().context(DiskSnafu { path: self.path(self.segment) })
    }

    /// The largest record in bytes that is written as a whole; also the size of a chunk.
    fn max_chunk_len(&self) -> usize {
        MAX_CHUNK_LEN.min(self.size as usize / CHUNKS_PER_FILE)
    }

    /// Writes a record to the current segment, or to a new one if it does not fit.
    fn append(&mut self, kind: RecordKind, data: &[u8], spare: u64) -> Result<()> {
        let required = (2 * RECORD_HEADER_LEN + data.len()) as u64;
        if self.sealed || self.at + required > self.size {
            self.seal()?;
            self.begin_segment(self.oldest_needed.max(self.trimmed_to), spare)?;
        }
        self.write_record(kind, data)
    }

    /// Appends a record, which is durable only once `sync` has returned. Fails with
    /// [`DiskLogError::Full`] if no file is free; one stays reserved for a base. The first record of
    /// an empty log becomes a base.
    ///
    /// Invariant: the caller syncs before the next `save`, so a valid record after an invalid
    /// one always means corruption and never an interrupted write.
    pub fn save(&mut self, data: &[u8]) -> Result<()> {
        if self.at == 0 {
            return self.base(data);
        }
        // One file stays reserved for a base, so that a full log can be compacted.
        let spare = 1;
        if data.len() <= self.max_chunk_len() {
            return self.append(RecordKind::Plain, data, spare);
        }
        self.files_needed(data.len())?;
        self.append_chunked(false, data, spare)
    }

    /// Appends and syncs a base: a record that replaces all records before it. Their files are
    /// reused. Fails before it writes anything if the base does not fit in the free files.
    pub fn base(&mut self, data: &[u8]) -> Result<()> {
        let needed = self.files_needed(data.len())?;
        // Checked first, so that no file is modified unless the whole record fits.
        if self.at != 0 && self.segment + needed - self.oldest_needed >= self.files.len() as u64 {
            return FullSnafu.fail();
        }
        self.seal()?;
        let first_segment = self.segment + 1;
        if data.len() <= self.max_chunk_len() {
            self.begin_segment(first_segment, 0)?;
            self.write_record(RecordKind::Base, data)?;
        } else {
            // An empty log has no earlier segment that is still needed.
            self.oldest_needed = if self.at == 0 { first_segment } else { self.oldest_needed };
            self.begin_segment(self.oldest_needed, 0)?;
            self.append_chunked(true, data, 0)?;
        }
        self.pending_oldest_needed = Some(first_segment);
        self.sync()
    }

    /// The number of files that a record of `length` bytes takes at most. Fails if it would take
    /// all files.
    fn files_needed(&self, length: usize) -> Result<u64> {
        let chunk_len = self.max_chunk_len();
        let usable = self.size as usize - SEGMENT_HEADER_LEN - RECORD_HEADER_LEN;
        // One record more than there are chunks: begin and end together are smaller than a chunk.
        let records = length.div_ceil(chunk_len) + (length > chunk_len) as usize;
        let per_file = usable / (RECORD_HEADER_LEN + chunk_len).max(RECORD_HEADER_LEN + BEGIN_PAYLOAD_LEN);
        let needed = records.div_ceil(per_file.max(1)) as u64;
        if needed >= self.files.len() as u64 {
            return TooLargeSnafu { size: length }.fail();
        }
        Ok(needed)
    }

    /// Writes a large record in chunks and syncs each chunk before the next one is written.
    fn append_chunked(&mut self, base: bool, data: &[u8], spare: u64) -> Result<()> {
        self.append(RecordKind::Begin, &LargeRecordHeader::of(base, data).encode(), spare)?;
        for chunk in data.chunks(self.max_chunk_len()) {
            self.sync_file()?;
            self.append(RecordKind::Chunk, chunk, spare)?;
        }
        self.sync_file()?;
        self.append(RecordKind::End, &[], spare)
    }

    /// Syncs all that was written. Once it returns, files that a base replaced may be reused.
    pub fn sync(&mut self) -> Result<()> {
        self.sync_file()?;
        self.oldest_needed = self.pending_oldest_needed.take().unwrap_or(self.oldest_needed);
        Ok(())
    }
}
