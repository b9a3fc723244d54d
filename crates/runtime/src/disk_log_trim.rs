//! Entries and where they stand. The segments at the beginning of a log are reused once their entries
//! are not needed.
//!
//! A process hands over entries, and one record of the log holds a batch of them. Entries are
//! numbered from the first one that was read back when the log was opened.
use crate::disk_log::DiskLog;
use std::collections::VecDeque;

/// Where a record begins.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordStart {
    pub segment: u64,
    /// Byte offset in the segment's file.
    pub at: u64,
}

/// The records that hold the entries of a log.
#[derive(Debug, Default)]
pub(crate) struct EntryRecords {
    /// The first entry of each record, oldest record first.
    first_entries: VecDeque<(u64, RecordStart)>,
    next_entry: u64,
    /// Where the record begins that was written last, with its chunks if it has any.
    pub(crate) last_written: RecordStart,
    /// Where the records begin that were read back when the log was opened.
    pub(crate) recovered: Vec<RecordStart>,
}

impl EntryRecords {
    /// The next `count` entries stand in the record that begins there.
    fn add(&mut self, count: usize, start: RecordStart) {
        self.first_entries.push_back((self.next_entry, start));
        self.next_entry += count as u64;
    }

    /// The record that holds the entry, and the position of the entry in it.
    pub(crate) fn locate(&self, entry: u64) -> Option<(RecordStart, usize)> {
        if entry >= self.next_entry {
            return None;
        }
        let after = self.first_entries.partition_point(|(first, _)| *first <= entry);
        let (first, start) = self.first_entries.get(after.checked_sub(1)?)?;
        Some((*start, (entry - first) as usize))
    }

    /// Forgets the records before the one that holds the entry, and returns the segment of that one.
    fn trim(&mut self, entry: u64) -> Option<u64> {
        while self.first_entries.get(1).is_some_and(|(first, _)| *first <= entry) {
            self.first_entries.pop_front();
        }
        self.first_entries.front().map(|(_, start)| start.segment)
    }
}

impl DiskLog {
    /// The next `count` entries stand in the record that was written last.
    pub(crate) fn note_entries(&mut self, count: usize) {
        self.note_entries_at(count, self.entry_records.last_written);
    }

    /// The next entry stands in the base that was written last; those before it are not needed.
    pub(crate) fn note_base(&mut self) {
        self.entry_records.first_entries.clear();
        self.note_entries(1);
    }

    /// The next `count` entries stand in the record that begins there.
    pub(crate) fn note_entries_at(&mut self, count: usize, start: RecordStart) {
        self.entry_records.add(count, start);
    }

    /// Where the records begin that were read back, one for each record.
    pub(crate) fn take_recovered_starts(&mut self) -> Vec<RecordStart> {
        std::mem::take(&mut self.entry_records.recovered)
    }

    /// Entries before this one are not needed any more, and everything saved so far is synced.
    /// Their segments are reused once the header of a further segment says so on disk.
    pub(crate) fn trim(&mut self, entry: u64) {
        if let Some(segment) = self.entry_records.trim(entry) {
            self.trimmed_to = self.trimmed_to.max(segment);
        }
    }
}
