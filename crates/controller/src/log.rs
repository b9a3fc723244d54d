//! How much the log on disk holds, and keeping it within its room.
//!
//! Invariant: the state, the log behind it and both written anew in short fit the disk
//! together. So the log is written in short before it has grown by what is left, the era
//! ends before its commands take a quarter of the room, and no change is taken that would
//! make the state larger than half of it.
use crate::controller::Controller;
use crate::stored_records::Kept;
use control_state::*;
use primitives::{Mono, Span};

/// A proposal to end the era stands for so long before another one is made.
const CUT_AGAIN: Span = Span::secs(2);
/// An earlier roster that landed is forgotten by a cut this long after taking a seat.
const TIDY_AFTER: Span = Span::secs(2);
/// Changes of this size always pass: a state that grew too large must be made smaller.
const SMALL_CHANGE: usize = 4 << 10;

/// Bytes of the log, by what they are.
#[derive(Copy, Clone, Debug, Default)]
pub(crate) struct LogSize {
    /// The state that the era started from.
    state: usize,
    /// The last record that stands for all before it.
    base: usize,
    /// All records after that.
    pub written: usize,
}

impl LogSize {
    pub(crate) fn begin_era(&mut self, state: usize) {
        *self = LogSize { state, base: state, written: 0 };
    }

    /// The state, with the commands that came since.
    pub(crate) fn state_now(&self, commands: usize) -> usize {
        self.state + commands
    }

    fn shortened(&mut self, base: usize) {
        self.base = base;
        self.written = 0;
    }

    /// Whether it is to be written in short.
    fn is_long(&self, most: usize, room: usize) -> bool {
        let left = room.saturating_sub(self.base).max(room / 8);
        self.written > most.min(left)
    }
}

impl Controller {
    /// Saves the state that the era starts from, in place of all records before.
    pub(crate) fn save_base(&mut self, out: &mut Vec<Out>) {
        let bytes = Kept::Base(self.birth, Box::new(self.base.clone())).encode();
        self.log.begin_era(bytes.len());
        out.push(Out::Base(bytes));
    }

    /// Writes the era anew in short before the ring fills up.
    pub(crate) fn compact_log(&mut self, out: &mut Vec<Out>) {
        if !self.log.is_long(self.env.compact_after_bytes, self.env.room) {
            return;
        }
        if let Some(recs) = self.consensus.as_ref().map(|m| m.dump()) {
            self.count("shortened");
            let whole = Kept::Whole(self.birth, Box::new(self.base.clone()), recs).encode();
            self.log.shortened(whole.len());
            out.push(Out::Base(whole));
        }
    }

    /// Whether the state with this change would still fit the disk.
    pub(crate) fn has_room(&self, change: &Change) -> bool {
        let size = change.op.size();
        let held = self.consensus.as_ref().map_or(0, |m| m.bytes());
        size <= SMALL_CHANGE || self.log.state_now(held) + size <= self.env.room / 2
    }

    /// Ends the era once it has grown; the leader sees to it.
    pub(crate) fn maybe_end_era(&mut self, now: Mono, out: &mut Vec<Out>) {
        // The others step in when the leader leaves it undone.
        let leads = self.leadership.is_held(now) && !self.transfer.sender.busy(now);
        let due = self.grown(4) && leads || self.grown(5);
        // A roster that landed is forgotten by a cut: kept, it would hold up a restart of
        // all, which must take every lease for alive.
        let past = !self.base.past.is_empty()
            && self.earlier_memberships_retired()
            && now - self.seated > TIDY_AFTER;
        let tidy = self.env.open.is_some() && past && self.leadership.is_held(now);
        let lately = self.era_end_proposed_at.is_some_and(|t| now - t < CUT_AGAIN);
        if (due || tidy) && !lately {
            self.propose_next_era(now, self.state.members.clone(), out);
        }
    }

    /// Whether the era's commands are so many quarters of what is to be, in number or bytes.
    fn grown(&self, quarters: usize) -> bool {
        let (count, bytes) = (self.env.cut_at, self.env.room / 4);
        self.consensus
            .as_ref()
            .is_some_and(|m| m.size() >= count * quarters / 4 || m.bytes() >= bytes * quarters / 4)
    }
}
