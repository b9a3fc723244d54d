//! Records larger than one write: a begin, pieces of bounded size, and an end.
//!
//! Invariant: the end is written only after every piece was synced, and a record
//! without its end never counts.
use crate::disk_log_scan::{u32_at, u64_at, RecordKind};

/// The largest piece. Bounds the memory that writing takes.
pub(crate) const PIECE: usize = 64 << 10;
/// sort of the whole, its length, its checksum
pub(crate) const BEGIN: usize = 13;

/// What a `Begin` record says of the whole.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct Whole {
    pub base: bool,
    pub length: u64,
    pub check: u32,
}

impl Whole {
    pub(crate) fn of(base: bool, data: &[u8]) -> Whole {
        Whole { base, length: data.len() as u64, check: crc32fast::hash(data) }
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![if self.base { RecordKind::Base } else { RecordKind::Plain } as u8];
        bytes.extend(self.length.to_le_bytes());
        bytes.extend(self.check.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Whole> {
        let base = match bytes.first()? {
            1 => false,
            2 => true,
            _ => return None,
        };
        (bytes.len() == BEGIN).then(|| Whole { base, length: u64_at(bytes, 1), check: u32_at(bytes, 9) })
    }
}

/// A record that began and has not ended yet.
struct Open {
    whole: Whole,
    /// The segment that it began in.
    segment: u64,
    data: Vec<u8>,
}

/// A record that does not fit what began: the log is damaged.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Unfit;

/// Puts the records of a log together, in order.
#[derive(Default)]
pub(crate) struct Assembler {
    open: Option<Open>,
    /// All that counts: the last base and what follows it.
    pub records: Vec<Vec<u8>>,
    /// The segment in which the last base began.
    pub base_at: Option<u64>,
}

impl Assembler {
    /// The segment in which a base began that never got its end.
    pub(crate) fn abandoned(&self) -> Option<u64> {
        self.open.as_ref().filter(|o| o.whole.base).map(|o| o.segment)
    }

    pub(crate) fn take(&mut self, segment: u64, sort: RecordKind, data: Vec<u8>) -> Result<(), Unfit> {
        match sort {
            RecordKind::Seal => (),
            RecordKind::Plain => {
                self.open = None;
                self.records.push(data);
            }
            RecordKind::Base => {
                self.open = None;
                self.replace(segment, data);
            }
            RecordKind::Begin => {
                let whole = Whole::decode(&data).ok_or(Unfit)?;
                self.open = Some(Open { whole, segment, data: vec![] });
            }
            RecordKind::Piece => self.open.as_mut().ok_or(Unfit)?.data.extend(data),
            RecordKind::End => self.end()?,
        }
        Ok(())
    }

    fn end(&mut self) -> Result<(), Unfit> {
        let Open { whole, segment, data } = self.open.take().ok_or(Unfit)?;
        if Whole::of(whole.base, &data) != whole {
            return Err(Unfit);
        }
        if whole.base {
            self.replace(segment, data);
        } else {
            self.records.push(data);
        }
        Ok(())
    }

    fn replace(&mut self, segment: u64, data: Vec<u8>) {
        self.records = vec![data];
        self.base_at = Some(segment);
    }
}
