//! Filling a newer set of ledgers: each of them recalls what the older set granted, and
//! says so to the controller that asks; then the older set may go.
use crate::grants::Kept;
use crate::ledger::Ledger;
use control_state::*;
use primitives::{Addr, Mono, Version};

/// The fill asked for last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fill {
    /// The version of the roll, and the controller that asked.
    wanted: Option<(Version, Addr)>,
    /// Invariant: whatever the older set of this version granted before it was fenced is
    /// on this disk.
    done: Option<Version>,
}

impl Fill {
    /// The version that is still to be filled.
    pub(crate) fn due(&self) -> Option<Version> {
        let wanted = self.wanted.map(|(version, _)| version);
        wanted.filter(|version| self.done != Some(*version))
    }
}

impl Ledger {
    /// Sent only once this version is in force: from then on a ledger that loses its disk
    /// comes back knowing it, and so with the fence.
    pub(crate) fn on_fill(&mut self, now: Mono, from: Addr, roll: Version, out: &mut Vec<Out>) {
        self.fill.wanted = Some((roll, from));
        if self.fill.done == Some(roll) {
            return self.say_filled(out);
        }
        self.recall(now, out);
    }

    /// Open, asked to, and going by that very version.
    pub(crate) fn filling(&self) -> bool {
        self.open && self.fill.due() == Some(self.roll_version())
    }

    pub(crate) fn maybe_filled(&mut self, out: &mut Vec<Out>) {
        let (roll, purpose) = self.recall.task;
        let heard = self.filling() && purpose == RecallPurpose::Fill && roll == self.roll_version();
        if heard && self.unheard() <= self.env.losses {
            self.count("fills");
            self.fill.done = Some(roll);
            self.say_filled(out);
        }
    }

    fn say_filled(&self, out: &mut Vec<Out>) {
        if let Some((roll, asker)) = self.fill.wanted {
            out.push(Out::Send(asker, Msg::Filled { id: self.follow.env.id, roll }));
        }
    }

    /// Grants nothing any more to rounds claimed by an earlier version of the roll.
    pub(crate) fn raise_fence(&mut self, now: Mono, roll: Version, out: &mut Vec<Out>) {
        if self.fence < roll {
            self.fence = roll;
            self.save(now, Kept::Fence(roll), out);
        }
    }
}
