//! Reads a disk log back when the process starts, one file at a time.
use crate::chunked_records::Assembler;
use crate::disk_log::{DamagedSnafu, DiskLog, DiskSnafu, MissingSnafu, Result};
use crate::disk_log_files::fill_with_zeros;
use crate::disk_log_scan::*;
use crate::disk_log_trim::RecordStart;
use snafu::ResultExt;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

impl DiskLog {
    /// Reads the last base and the records after it, and sets the write position to the end of
    /// the last valid record.
    pub(crate) fn recover(&mut self) -> Result<Vec<Vec<u8>>> {
        let Some(last) = self.last_segment()? else { return Ok(vec![]) };
        let (oldest_needed, last_segment_number) = (last.oldest_needed, last.segment);
        let mut assembler = Assembler::new(self.trims);
        let mut end_of_log = None;
        for segment in oldest_needed..=last_segment_number {
            let scanned = if segment == last_segment_number { None } else { Some(self.scan_file(segment)?) };
            let scanned = scanned.as_ref().unwrap_or(&last);
            self.check(scanned, oldest_needed, last_segment_number)?;
            let mut at = SEGMENT_HEADER_LEN as u64;
            for (number, kind, data) in &scanned.records {
                self.next_record = number + 1;
                let accepted = assembler.add(RecordStart { segment, at }, *kind, data.clone());
                accepted.or_else(|_| DamagedSnafu { path: self.path(segment), at: scanned.end }.fail())?;
                at += (RECORD_HEADER_LEN + data.len()) as u64;
            }
            if assembler.incomplete_base().is_none() {
                end_of_log = Some((segment, scanned.end, scanned.sealed()));
            }
        }
        if let Some(first_segment) = assembler.incomplete_base() {
            self.discard_segments(first_segment, last_segment_number)?;
        }
        if let Some((segment, end, sealed)) = end_of_log {
            (self.segment, self.at, self.sealed) = (segment, end, sealed);
            self.oldest_needed = assembler.base_segment.unwrap_or(oldest_needed);
        }
        self.entry_records.recovered = assembler.starts;
        Ok(assembler.records)
    }

    /// The last valid segment. One that was begun for a base is skipped if a crash came before
    /// the base was written.
    fn last_segment(&self) -> Result<Option<SegmentScan>> {
        let mut headers = vec![];
        for (index, file) in self.files.iter().enumerate() {
            let path = self.path(index as u64);
            let header = SegmentHeader::read(file).context(DiskSnafu { path: path.clone() })?;
            // The segment belongs in another file: files were swapped.
            if header.is_some_and(|header| header.segment as usize % self.files.len() != index) {
                return DamagedSnafu { path, at: 0u64 }.fail();
            }
            headers.extend(header);
        }
        headers.sort_by_key(|header| header.segment);
        while let Some(header) = headers.pop() {
            let scanned = self.scan_file(header.segment)?;
            let interrupted =
                scanned.oldest_needed == scanned.segment && !scanned.starts_with_base() && !scanned.corrupt;
            if !interrupted {
                return Ok(Some(scanned));
            }
        }
        Ok(None)
    }

    /// Reads and scans the file of a segment, which must hold that segment.
    fn scan_file(&self, segment: u64) -> Result<SegmentScan> {
        let mut buffer = vec![0u8; self.size as usize];
        let file = &self.files[segment as usize % self.files.len()];
        file.read_exact_at(&mut buffer, 0).context(DiskSnafu { path: self.path(segment) })?;
        let scanned = scan_segment(&buffer).filter(|scan| scan.segment == segment);
        scanned.map_or_else(|| MissingSnafu { path: self.path(segment) }.fail(), Ok)
    }

    /// Checks that a segment is intact, sealed unless it is the last one, and begins with a base if
    /// it is the oldest needed.
    fn check(&self, scanned: &SegmentScan, oldest_needed: u64, last_segment_number: u64) -> Result<()> {
        let unsealed = scanned.segment < last_segment_number && !scanned.sealed();
        let lacks_base = !self.trims && scanned.segment == oldest_needed && !scanned.starts_with_base();
        if scanned.corrupt || unsealed || lacks_base {
            return DamagedSnafu { path: self.path(scanned.segment), at: scanned.end }.fail();
        }
        Ok(())
    }

    /// Discards the segments of a base that was never completed. Clears their headers from the
    /// last segment down, so that after a crash halfway the next recovery finds the same
    /// incomplete base or none.
    fn discard_segments(&self, first_segment: u64, last_segment_number: u64) -> Result<()> {
        for segment in (first_segment..=last_segment_number).rev() {
            let file = &self.files[segment as usize % self.files.len()];
            let cleared = fill_with_zeros(file, 0, SEGMENT_HEADER_LEN as u64).and_then(|_| file.sync_data());
            cleared.context(DiskSnafu { path: self.path(segment) })?;
        }
        Ok(())
    }

    /// Clears files without a segment header. Records left there would otherwise pass their
    /// checksum if the next segment in that file gets the number they were written with.
    pub(crate) fn clear_files_without_header(&self) -> Result<()> {
        for (index, file) in self.files.iter().enumerate() {
            let path = self.path(index as u64);
            if SegmentHeader::read(file).context(DiskSnafu { path: path.clone() })?.is_none() {
                self.clear_file(file, path)?;
            }
        }
        Ok(())
    }

    /// Fills a file without a valid header with zeros, unless that would destroy records of the
    /// current log.
    fn clear_file(&self, file: &File, path: PathBuf) -> Result<()> {
        let mut buffer = vec![0u8; self.size as usize];
        file.read_exact_at(&mut buffer, 0).context(DiskSnafu { path: path.clone() })?;
        if buffer.iter().all(|b| *b == 0) {
            return Ok(());
        }
        // A header of zeros was discarded by recovery; any other invalid header was torn or
        // corrupted. Records of the next segment after it would be lost data, and in a log
        // without any valid header so would any bytes.
        let (header, body) = buffer.split_at(SEGMENT_HEADER_LEN);
        let header_corrupt = header.iter().any(|b| *b != 0);
        let records = read_record(&buffer, SEGMENT_HEADER_LEN, self.segment + 1).is_some();
        let log_without_header = self.at == 0 && body.iter().any(|b| *b != 0);
        if header_corrupt && (records || log_without_header) {
            return DamagedSnafu { path, at: 0u64 }.fail();
        }
        let cleared = fill_with_zeros(file, 0, self.size).and_then(|_| file.sync_data());
        cleared.context(DiskSnafu { path })
    }
}
