//! Reading one file of the ring: its head and its records.
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

pub(crate) const MAGIC: [u8; 4] = *b"LWR1";
/// magic, number of the segment, first segment still needed, crc
pub(crate) const HEAD: usize = 24;
/// sort, length, number of the record, crc
pub(crate) const RECORD_HEADER_LEN: usize = 17;

#[derive(Copy, Clone, PartialEq, Eq, Debug)]
pub(crate) enum RecordKind {
    Plain = 1,
    /// Stands for all records before it.
    Base = 2,
    /// The segment ends here; the next one goes on.
    Seal = 3,
    /// A record too large to be written at once begins; see `pieces`.
    Begin = 4,
    Piece = 5,
    /// The record that began is whole.
    End = 6,
}

impl RecordKind {
    fn of(byte: u8) -> Option<RecordKind> {
        match byte {
            1 => Some(RecordKind::Plain),
            2 => Some(RecordKind::Base),
            3 => Some(RecordKind::Seal),
            4 => Some(RecordKind::Begin),
            5 => Some(RecordKind::Piece),
            6 => Some(RecordKind::End),
            _ => None,
        }
    }
}

/// What a segment's records are checked with, so that an older lap's never pass.
pub(crate) fn sum(segment: u64, head: &[u8], data: &[u8]) -> u32 {
    let mut h = crc32fast::Hasher::new();
    h.update(&segment.to_le_bytes());
    h.update(head);
    h.update(data);
    h.finalize()
}

pub(crate) fn u64_at(b: &[u8], i: usize) -> u64 {
    u64::from_le_bytes(b[i..i + 8].try_into().expect("eight bytes"))
}

pub(crate) fn u32_at(b: &[u8], i: usize) -> u32 {
    u32::from_le_bytes(b[i..i + 4].try_into().expect("four bytes"))
}

/// The head of a segment.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    /// The number of the segment.
    pub segment: u64,
    /// The first segment that was needed when this one began.
    pub live: u64,
}

impl Head {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend(self.segment.to_le_bytes());
        bytes.extend(self.live.to_le_bytes());
        let check = sum(0, &bytes, &[]);
        bytes.extend(check.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Head> {
        let good =
            bytes.len() >= HEAD && bytes[..4] == MAGIC && u32_at(bytes, 20) == sum(0, &bytes[..20], &[]);
        good.then(|| Head { segment: u64_at(bytes, 4), live: u64_at(bytes, 12) })
    }

    /// None if the file begins with none, or is too short for one.
    pub(crate) fn read(file: &File) -> io::Result<Option<Head>> {
        let mut bytes = [0u8; HEAD];
        match file.read_exact_at(&mut bytes, 0) {
            Ok(()) => Ok(Head::decode(&bytes)),
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => Ok(None),
            Err(e) => Err(e),
        }
    }
}

pub(crate) struct Found {
    pub segment: u64,
    pub live: u64,
    pub recs: Vec<(u64, RecordKind, Vec<u8>)>,
    pub end: u64,
    /// A good record stands somewhere behind the first bad one.
    pub broken: bool,
}

impl Found {
    pub(crate) fn sealed(&self) -> bool {
        self.recs.last().is_some_and(|r| r.1 == RecordKind::Seal)
    }

    /// Whether its first record can stand for all before it.
    pub(crate) fn starts_with_base(&self) -> bool {
        self.recs.first().is_some_and(|r| matches!(r.1, RecordKind::Base | RecordKind::Begin))
    }
}

pub(crate) fn scan(buf: &[u8]) -> Option<Found> {
    let Head { segment, live } = Head::decode(buf)?;
    let mut f = Found { segment, live, recs: vec![], end: HEAD as u64, broken: false };
    let mut at = HEAD;
    while let Some((no, sort, data)) = read(buf, at, segment) {
        at += RECORD_HEADER_LEN + data.len();
        f.recs.push((no, sort, data));
    }
    f.end = at as u64;
    let last = f.recs.last().map(|r| r.0);
    let later = |i: usize| read(buf, i, segment).is_some_and(|(no, ..)| last.is_none_or(|l| no > l));
    // Zeros are preallocated space; only other bytes can start a record.
    let tail =
        (at..buf.len().saturating_sub(RECORD_HEADER_LEN)).filter(|i| RecordKind::of(buf[*i]).is_some());
    f.broken = tail.into_iter().any(later);
    Some(f)
}

pub(crate) fn read(buf: &[u8], at: usize, segment: u64) -> Option<(u64, RecordKind, Vec<u8>)> {
    let head = buf.get(at..at + RECORD_HEADER_LEN)?;
    let sort = RecordKind::of(head[0])?;
    let len = u32_at(head, 1) as usize;
    let data = buf.get(at + RECORD_HEADER_LEN..(at + RECORD_HEADER_LEN).checked_add(len)?)?;
    (u32_at(head, 13) == sum(segment, &head[..13], data)).then(|| (u64_at(head, 5), sort, data.to_vec()))
}
