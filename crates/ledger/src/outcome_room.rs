//! Room for outcomes, in memory and in the log, and how the log is kept short.
//!
//! A key is granted only while its outcome can be stored for the whole window. An outcome that is
//! evicted all the same leaves its key granted, and later retries cannot learn what became of it.
use crate::compacted_state::CompactedState;
use crate::grant::Grant;
use crate::ledger::Ledger;
use crate::log_position::{LogForm, GRANTING_PERCENT};
use crate::records::{Kept, StoredGrant, StoredState};
use control_state::{MemoryPressure, Out};

impl Ledger {
    /// Bytes of grants and outcomes in memory above which outcomes are evicted, or, where they can be read
    /// from the log, their contents released. Where an outcome may be lost without harm, it must not take
    /// the room that grants need.
    fn outcome_room(&self) -> usize {
        match self.env.log_form {
            LogForm::Trimmed { .. } => self.env.most / 16 * 15,
            LogForm::Compacted if !self.env.minimal_outcome_copies => usize::MAX,
            LogForm::Compacted => self.env.most / 4 * 3,
        }
    }

    /// Whether the outcomes of further keys will find room.
    pub(crate) fn has_room_for_outcomes(&self) -> bool {
        match self.env.log_form {
            LogForm::Compacted => true,
            LogForm::Trimmed { capacity } => {
                let most_in_memory = self.outcome_room() / 100 * GRANTING_PERCENT as usize;
                self.grants.index_bytes() < most_in_memory && self.log.may_grant(&self.grants, capacity)
            }
        }
    }

    /// Makes room in memory and in the log for an outcome of so many bytes; the oldest ones give way.
    pub(crate) fn make_room(&mut self, bytes: usize) {
        let in_memory = self.outcome_room().saturating_sub(bytes);
        let evicted = match self.env.log_form {
            LogForm::Compacted => self.grants.evict_outcomes(in_memory),
            LogForm::Trimmed { capacity } => {
                let max_content_bytes = self.env.max_content_bytes.saturating_sub(bytes);
                self.grants.release_contents(in_memory, max_content_bytes);
                self.evict_from_log(capacity.saturating_sub(bytes) as u64)
            }
        };
        *self.counts.entry("outcomes evicted").or_default() += evicted;
    }

    /// The process comes near its memory limit: contents that stand in the log leave memory.
    pub(crate) fn on_memory_pressure(&mut self, pressure: MemoryPressure) {
        let is_in_log = matches!(self.env.log_form, LogForm::Trimmed { .. });
        if is_in_log && pressure > MemoryPressure::None {
            self.count("memory pressure");
            self.grants.release_contents(self.outcome_room(), 0);
        }
    }

    /// Evicts outcomes, oldest first, until the log needs at most so many bytes. Returns their number.
    fn evict_from_log(&mut self, limit: u64) -> u64 {
        let mut evicted = 0;
        while self.log.bytes_in_use(&self.grants) > limit && self.grants.evict_oldest_outcome() {
            evicted += 1;
        }
        evicted
    }

    /// Writes the state anew if enough was appended since the last time.
    pub(crate) fn shorten_log(&mut self, out: &mut Vec<Out>) {
        match self.env.log_form {
            LogForm::Compacted if self.written > self.env.compact_after_bytes => self.compact_log(out),
            LogForm::Trimmed { capacity } if self.log.is_checkpoint_due(&self.grants, capacity) => {
                self.trim_log(out)
            }
            _ => (),
        }
    }

    fn compact_log(&mut self, out: &mut Vec<Out>) {
        self.written = 0;
        let (birth, open, fence) = (self.follow.env.birth, self.open, self.fence);
        let compacted =
            CompactedState { birth, open, fence, grants: &self.grants, disk_cache: &self.disk_cache };
        let record = compacted.encode();
        self.log.append(record.len());
        out.push(Out::Base(record));
    }

    /// The state without outcomes, and then the records before the oldest outcome are not needed.
    fn trim_log(&mut self, out: &mut Vec<Out>) {
        self.make_room(0);
        let stored_grant = |(key, grant): (&String, &Grant)| StoredGrant {
            key: key.clone(),
            print: grant.print,
            round: grant.round,
            has_outcome: grant.outcome.is_some(),
        };
        let grants = self.grants.iter().map(stored_grant).collect();
        let (birth, open, fence) = (self.follow.env.birth, self.open, self.fence);
        let record = Kept::State(StoredState { birth, open, fence, grants }).encode();
        self.log.append_checkpoint(record.len());
        out.push(Out::Save(record));
        out.push(Out::Trim(self.log.trim(&self.grants).record));
    }
}
