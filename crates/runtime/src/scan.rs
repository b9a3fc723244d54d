//! Reading one file of the ring: its head and its records.

pub(crate) const MAGIC: [u8; 4] = *b"LWR1";
/// magic, number of the segment, first segment still needed, crc
pub(crate) const HEAD: usize = 24;
/// sort, length, number of the record, crc
pub(crate) const REC: usize = 17;

#[derive(Copy, Clone, PartialEq, Eq, Debug)]
pub(crate) enum Sort {
    Plain = 1,
    /// Stands for all records before it.
    Base = 2,
    /// The segment ends here; the next one goes on.
    Seal = 3,
}

/// What a segment's records are checked with, so that an older lap's never pass.
pub(crate) fn sum(seg: u64, head: &[u8], data: &[u8]) -> u32 {
    let mut h = crc32fast::Hasher::new();
    h.update(&seg.to_le_bytes());
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

pub(crate) struct Found {
    pub seg: u64,
    pub live: u64,
    pub recs: Vec<(u64, Sort, Vec<u8>)>,
    pub end: u64,
    /// A good record stands somewhere behind the first bad one.
    pub broken: bool,
}

pub(crate) fn scan(buf: &[u8]) -> Option<Found> {
    let head_ok = buf.len() >= HEAD && buf[..4] == MAGIC && u32_at(buf, 20) == sum(0, &buf[..20], &[]);
    if !head_ok {
        return None;
    }
    let (seg, live) = (u64_at(buf, 4), u64_at(buf, 12));
    let mut f = Found { seg, live, recs: vec![], end: HEAD as u64, broken: false };
    let mut at = HEAD;
    while let Some((no, sort, data)) = read(buf, at, seg) {
        at += REC + data.len();
        f.recs.push((no, sort, data));
    }
    f.end = at as u64;
    let last = f.recs.last().map(|r| r.0);
    let later = |i: usize| read(buf, i, seg).is_some_and(|(no, ..)| last.is_none_or(|l| no > l));
    // Zeros are preallocated space; only other bytes can start a record.
    let tail = (at..buf.len().saturating_sub(REC)).filter(|i| (1..=3).contains(&buf[*i]));
    f.broken = tail.into_iter().any(later);
    Some(f)
}

pub(crate) fn read(buf: &[u8], at: usize, seg: u64) -> Option<(u64, Sort, Vec<u8>)> {
    let head = buf.get(at..at + REC)?;
    let sort = match head[0] {
        1 => Sort::Plain,
        2 => Sort::Base,
        3 => Sort::Seal,
        _ => return None,
    };
    let len = u32_at(head, 1) as usize;
    let data = buf.get(at + REC..(at + REC).checked_add(len)?)?;
    (u32_at(head, 13) == sum(seg, &head[..13], data)).then(|| (u64_at(head, 5), sort, data.to_vec()))
}
