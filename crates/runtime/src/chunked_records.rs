//! Records too large for a single write: a begin record, chunks of bounded size, and an end.
//!
//! Invariant: the end record is written only after every chunk is synced, and a record
//! without its end record is ignored.
use crate::disk_log_scan::{read_u32, read_u64, RecordKind};
use crate::disk_log_trim::RecordStart;

/// Largest chunk in bytes; bounds the memory that a write takes.
pub(crate) const MAX_CHUNK_LEN: usize = 64 << 10;
/// Length in bytes of the payload of a `Begin` record: kind, length and checksum of the
/// large record.
pub(crate) const BEGIN_PAYLOAD_LEN: usize = 13;

/// The payload of a `Begin` record: describes the large record that follows in chunks.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct LargeRecordHeader {
    pub base: bool,
    pub length: u64,
    pub check: u32,
}

impl LargeRecordHeader {
    pub(crate) fn of(base: bool, data: &[u8]) -> LargeRecordHeader {
        LargeRecordHeader { base, length: data.len() as u64, check: crc32fast::hash(data) }
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![if self.base { RecordKind::Base } else { RecordKind::Plain } as u8];
        bytes.extend(self.length.to_le_bytes());
        bytes.extend(self.check.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<LargeRecordHeader> {
        let base = match bytes.first()? {
            1 => false,
            2 => true,
            _ => return None,
        };
        (bytes.len() == BEGIN_PAYLOAD_LEN).then(|| LargeRecordHeader {
            base,
            length: read_u64(bytes, 1),
            check: read_u32(bytes, 9),
        })
    }
}

/// A large record whose end has not been read yet.
struct IncompleteRecord {
    header: LargeRecordHeader,
    start: RecordStart,
    data: Vec<u8>,
}

/// A chunk or end record that does not belong to the record begun before: the log is corrupt.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct OutOfSequence;

/// Rebuilds the contents of a log from its records, which must be passed in order.
#[derive(Default)]
pub(crate) struct Assembler {
    incomplete: Option<IncompleteRecord>,
    /// The last base and the records after it.
    pub records: Vec<Vec<u8>>,
    /// Where each of them begins.
    pub starts: Vec<RecordStart>,
    /// The segment in which the last base begins.
    pub base_segment: Option<u64>,
    /// The log may begin within a large record, whose beginning was trimmed. It is left out.
    begins_trimmed: bool,
}

impl Assembler {
    /// `begins_trimmed`: the log may begin within a large record.
    pub(crate) fn new(begins_trimmed: bool) -> Assembler {
        Assembler { begins_trimmed, ..Assembler::default() }
    }

    /// The first segment of a base that was never completed.
    pub(crate) fn incomplete_base(&self) -> Option<u64> {
        self.incomplete.as_ref().filter(|r| r.header.base).map(|r| r.start.segment)
    }

    /// Adds the next record of the log, which begins at `start`.
    pub(crate) fn add(
        &mut self,
        start: RecordStart,
        kind: RecordKind,
        data: Vec<u8>,
    ) -> Result<(), OutOfSequence> {
        let is_remainder = matches!(kind, RecordKind::Chunk | RecordKind::End);
        if self.begins_trimmed && is_remainder {
            return Ok(());
        }
        self.begins_trimmed &= kind == RecordKind::Seal;
        match kind {
            RecordKind::Seal => (),
            RecordKind::Plain => {
                self.incomplete = None;
                self.push(start, data);
            }
            RecordKind::Base => {
                self.incomplete = None;
                self.replace_with_base(start, data);
            }
            RecordKind::Begin => {
                let header = LargeRecordHeader::decode(&data).ok_or(OutOfSequence)?;
                self.incomplete = Some(IncompleteRecord { header, start, data: vec![] });
            }
            RecordKind::Chunk => self.incomplete.as_mut().ok_or(OutOfSequence)?.data.extend(data),
            RecordKind::End => self.finish()?,
        }
        Ok(())
    }

    fn finish(&mut self) -> Result<(), OutOfSequence> {
        let IncompleteRecord { header, start, data } = self.incomplete.take().ok_or(OutOfSequence)?;
        if LargeRecordHeader::of(header.base, &data) != header {
            return Err(OutOfSequence);
        }
        if header.base {
            self.replace_with_base(start, data);
        } else {
            self.push(start, data);
        }
        Ok(())
    }

    fn push(&mut self, start: RecordStart, data: Vec<u8>) {
        self.records.push(data);
        self.starts.push(start);
    }

    fn replace_with_base(&mut self, start: RecordStart, data: Vec<u8>) {
        (self.records, self.starts) = (vec![data], vec![start]);
        self.base_segment = Some(start.segment);
    }
}
