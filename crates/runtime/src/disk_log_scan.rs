//! Reads one file of a disk log: its segment header and its records.
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

pub(crate) const MAGIC: [u8; 4] = *b"LWR1";
/// Length in bytes: magic, segment number, oldest segment still needed, CRC.
pub(crate) const SEGMENT_HEADER_LEN: usize = 24;
/// Length in bytes: kind, payload length, record number, CRC.
pub(crate) const RECORD_HEADER_LEN: usize = 17;

/// What a record is; the value is its first byte on disk.
#[derive(Copy, Clone, PartialEq, Eq, Debug)]
pub(crate) enum RecordKind {
    Plain = 1,
    /// Replaces all records before it.
    Base = 2,
    /// Ends the segment; the log continues in the next one.
    Seal = 3,
    /// Begins a record that is too large for a single write; see `chunked_records`.
    Begin = 4,
    Chunk = 5,
    /// Completes the record that the last `Begin` announced.
    End = 6,
}

impl RecordKind {
    pub(crate) fn from_byte(byte: u8) -> Option<RecordKind> {
        match byte {
            1 => Some(RecordKind::Plain),
            2 => Some(RecordKind::Base),
            3 => Some(RecordKind::Seal),
            4 => Some(RecordKind::Begin),
            5 => Some(RecordKind::Chunk),
            6 => Some(RecordKind::End),
            _ => None,
        }
    }
}

/// CRC over header and payload. It includes the segment number, so that a record left from
/// an earlier use of the file never passes.
pub(crate) fn checksum(segment: u64, header: &[u8], data: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&segment.to_le_bytes());
    hasher.update(header);
    hasher.update(data);
    hasher.finalize()
}

pub(crate) fn read_u64(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes[at..at + 8].try_into().expect("the slice has eight bytes"))
}

pub(crate) fn read_u32(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes[at..at + 4].try_into().expect("the slice has four bytes"))
}

/// The header at the start of a segment.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct SegmentHeader {
    /// Number of the segment.
    pub segment: u64,
    /// The oldest segment that was still needed when this one began.
    pub oldest_needed: u64,
}

impl SegmentHeader {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend(self.segment.to_le_bytes());
        bytes.extend(self.oldest_needed.to_le_bytes());
        let check = checksum(0, &bytes, &[]);
        bytes.extend(check.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<SegmentHeader> {
        let valid = bytes.len() >= SEGMENT_HEADER_LEN
            && bytes[..4] == MAGIC
            && read_u32(bytes, 20) == checksum(0, &bytes[..20], &[]);
        valid.then(|| SegmentHeader { segment: read_u64(bytes, 4), oldest_needed: read_u64(bytes, 12) })
    }

    /// Reads the header of a file; `None` if it is invalid or the file is too short for one.
    pub(crate) fn read(file: &File) -> io::Result<Option<SegmentHeader>> {
        let mut bytes = [0u8; SEGMENT_HEADER_LEN];
        match file.read_exact_at(&mut bytes, 0) {
            Ok(()) => Ok(SegmentHeader::decode(&bytes)),
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => Ok(None),
            Err(e) => Err(e),
        }
    }
}

/// The records of one segment, up to the first invalid one.
pub(crate) struct SegmentScan {
    pub segment: u64,
    pub oldest_needed: u64,
    /// Number, kind and payload of each record.
    pub records: Vec<(u64, RecordKind, Vec<u8>)>,
    /// Byte offset after the last valid record.
    pub end: u64,
    /// A valid record follows somewhere after the first invalid one.
    pub corrupt: bool,
}

impl SegmentScan {
    pub(crate) fn sealed(&self) -> bool {
        self.records.last().is_some_and(|r| r.1 == RecordKind::Seal)
    }

    /// Whether its first record is a base, or may be the beginning of one.
    pub(crate) fn starts_with_base(&self) -> bool {
        self.records.first().is_some_and(|r| matches!(r.1, RecordKind::Base | RecordKind::Begin))
    }
}

/// Reads all valid records of a file; `None` if it has no valid segment header.
pub(crate) fn scan_segment(buffer: &[u8]) -> Option<SegmentScan> {
    let SegmentHeader { segment, oldest_needed } = SegmentHeader::decode(buffer)?;
    let mut scan = SegmentScan {
        segment,
        oldest_needed,
        records: vec![],
        end: SEGMENT_HEADER_LEN as u64,
        corrupt: false,
    };
    let mut at = SEGMENT_HEADER_LEN;
    while let Some((number, kind, data)) = read_record(buffer, at, segment) {
        at += RECORD_HEADER_LEN + data.len();
        scan.records.push((number, kind, data));
    }
    scan.end = at as u64;
    let last_number = scan.records.last().map(|r| r.0);
    let is_later_record = |at: usize| {
        read_record(buffer, at, segment)
            .is_some_and(|(number, ..)| last_number.is_none_or(|last| number > last))
    };
    // Zeros are preallocated space; a record starts with one of the known kinds.
    let candidates = (at..buffer.len().saturating_sub(RECORD_HEADER_LEN))
        .filter(|at| RecordKind::from_byte(buffer[*at]).is_some());
    scan.corrupt = candidates.into_iter().any(is_later_record);
    Some(scan)
}

/// The record at byte `at`: number, kind and payload; `None` if its checksum does not match.
pub(crate) fn read_record(buffer: &[u8], at: usize, segment: u64) -> Option<(u64, RecordKind, Vec<u8>)> {
    let header = buffer.get(at..at + RECORD_HEADER_LEN)?;
    let kind = RecordKind::from_byte(header[0])?;
    let length = read_u32(header, 1) as usize;
    let data = buffer.get(at + RECORD_HEADER_LEN..(at + RECORD_HEADER_LEN).checked_add(length)?)?;
    (read_u32(header, 13) == checksum(segment, &header[..13], data))
        .then(|| (read_u64(header, 5), kind, data.to_vec()))
}
