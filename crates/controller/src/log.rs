//! Size of the log on disk, and keeping it within its budget.
//!
//! Invariant: the state, the log behind it, and a compacted copy of both fit the disk together. The
//! log is therefore compacted before it has grown by the remaining space, the era ends before its
//! commands take a quarter of the budget, and a change that would make the state larger than half
//! of the budget is refused.
use crate::controller::Controller;
use crate::stored_records::Kept;
use control_state::*;
use primitives::{Mono, Span};

/// Time to wait for a proposed era end before proposing another.
const ERA_END_RETRY_INTERVAL: Span = Span::secs(2);
/// A retired membership is dropped by ending the era, at the earliest this long after this
/// controller became a member.
const CLEANUP_DELAY: Span = Span::secs(2);
/// Changes up to this size are always accepted, so that a state that grew too large can be reduced.
const ALWAYS_ACCEPTED_BYTES: usize = 4 << 10;

/// Size of the log in bytes, by kind of record.
#[derive(Copy, Clone, Debug, Default)]
pub(crate) struct LogSize {
    /// The state from which the era started.
    state_bytes: usize,
    /// The last record that replaced all before it.
    compacted_bytes: usize,
    /// All records after that one.
    pub written: usize,
}

impl LogSize {
    /// Resets the sizes for an era that starts from a state of this size.
    pub(crate) fn begin_era(&mut self, state_bytes: usize) {
        *self = LogSize { state_bytes, compacted_bytes: state_bytes, written: 0 };
    }

    /// Size of the state including the commands since it was saved.
    pub(crate) fn state_now(&self, command_bytes: usize) -> usize {
        self.state_bytes + command_bytes
    }

    /// Resets the sizes after a compaction to this many bytes.
    fn on_compacted(&mut self, bytes: usize) {
        self.compacted_bytes = bytes;
        self.written = 0;
    }

    /// Whether the log should be compacted: it exceeds `limit`, or the free part of the budget (an
    /// eighth of the budget at least).
    fn needs_compaction(&self, limit: usize, budget: usize) -> bool {
        let free = budget.saturating_sub(self.compacted_bytes).max(budget / 8);
        self.written > limit.min(free)
    }
}

impl Controller {
    /// Saves the state from which the era starts, replacing all earlier records.
    pub(crate) fn save_base(&mut self, out: &mut Vec<Out>) {
        let bytes = Kept::Base(self.birth, Box::new(self.base.clone())).encode();
        self.log.begin_era(bytes.len());
        out.push(Out::Base(bytes));
    }

    /// Compacts the records of the era before the log ring fills up.
    pub(crate) fn compact_log(&mut self, out: &mut Vec<Out>) {
        if !self.log.needs_compaction(self.env.compact_after_bytes, self.env.room) {
            return;
        }
        if let Some(records) = self.consensus.as_ref().map(|m| m.dump()) {
            self.count("shortened");
            let compacted = Kept::Whole(self.birth, Box::new(self.base.clone()), records).encode();
            self.log.on_compacted(compacted.len());
            out.push(Out::Base(compacted));
        }
    }

    /// Whether the state would still fit the disk after this change.
    pub(crate) fn has_room(&self, change: &Change) -> bool {
        let size = change.op.size();
        let command_bytes = self.consensus.as_ref().map_or(0, |m| m.bytes());
        size <= ALWAYS_ACCEPTED_BYTES || self.log.state_now(command_bytes) + size <= self.env.room / 2
    }

    /// Proposes to end the era once it is large enough; normally the leader does.
    pub(crate) fn maybe_end_era(&mut self, now: Mono, out: &mut Vec<Out>) {
        // The other members propose it a quarter later if the leader does not.
        let leads = self.leadership.is_held(now) && !self.transfer.sender.busy(now);
        let due = self.era_size_reached(4) && leads || self.era_size_reached(5);
        // Ending the era also drops retired memberships. If they were kept, a restart of the whole
        // deployment would be delayed, as it has to assume that every lease is still valid.
        let past_retired = !self.base.past.is_empty()
            && self.earlier_memberships_retired()
            && now - self.seated > CLEANUP_DELAY;
        let cleanup_due = self.env.open.is_some() && past_retired && self.leadership.is_held(now);
        let recently = self.era_end_proposed_at.is_some_and(|t| now - t < ERA_END_RETRY_INTERVAL);
        if (due || cleanup_due) && !recently {
            self.propose_next_era(now, self.state.members.clone(), out);
        }
    }

    /// Whether the era's commands have reached this many quarters of the limit, in number or bytes.
    fn era_size_reached(&self, quarters: usize) -> bool {
        let (count, bytes) = (self.env.cut_at, self.env.room / 4);
        self.consensus
            .as_ref()
            .is_some_and(|m| m.size() >= count * quarters / 4 || m.bytes() >= bytes * quarters / 4)
    }
}
