//! Reads entries of an open log back from its files.
use crate::disk_log::DiskLog;
use crate::disk_log_scan::{checksum, read_u32, RecordKind, RECORD_HEADER_LEN, SEGMENT_HEADER_LEN};
use crate::disk_log_trim::RecordStart;
use std::os::unix::fs::FileExt;

impl DiskLog {
    /// The entries with these numbers, in order; `None` for one that was trimmed or cannot be read.
    pub fn entries_at(&self, entries: &[u64]) -> Vec<Option<Vec<u8>>> {
        let mut last: Option<(RecordStart, Vec<u8>)> = None;
        let read = |entry: &u64| {
            let (start, index) = self.entry_records.locate(*entry)?;
            if last.as_ref().is_none_or(|(read, _)| *read != start) {
                last = Some((start, self.read_record_at(start)?));
            }
            let (_, record) = last.as_ref()?;
            let packed: Vec<&[u8]> = postcard::from_bytes(record).ok()?;
            packed.get(index).map(|entry| entry.to_vec())
        };
        entries.iter().map(read).collect()
    }

    /// The record that begins there, put together if it was written in chunks.
    fn read_record_at(&self, start: RecordStart) -> Option<Vec<u8>> {
        let RecordStart { mut segment, mut at } = start;
        let mut record = vec![];
        loop {
            let (kind, data) = self.read_part_at(segment, at)?;
            at += (RECORD_HEADER_LEN + data.len()) as u64;
            match kind {
                RecordKind::Plain | RecordKind::Base => return Some(data),
                RecordKind::Begin => (),
                RecordKind::Chunk => record.extend(data),
                RecordKind::End => return Some(record),
                RecordKind::Seal => (segment, at) = (segment + 1, SEGMENT_HEADER_LEN as u64),
            }
        }
    }

    /// One record of a segment, as it was written; `None` if its checksum does not match.
    fn read_part_at(&self, segment: u64, at: u64) -> Option<(RecordKind, Vec<u8>)> {
        let file = &self.files[segment as usize % self.files.len()];
        let mut header = [0u8; RECORD_HEADER_LEN];
        file.read_exact_at(&mut header, at).ok()?;
        let kind = RecordKind::from_byte(header[0])?;
        let length = u64::from(read_u32(&header, 1));
        if at + RECORD_HEADER_LEN as u64 + length > self.size {
            return None;
        }
        let mut data = vec![0u8; length as usize];
        file.read_exact_at(&mut data, at + RECORD_HEADER_LEN as u64).ok()?;
        (read_u32(&header, 13) == checksum(segment, &header[..13], &data)).then_some((kind, data))
    }
}
