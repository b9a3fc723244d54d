//! Filling a newer ledger set: each of its members recalls what the older set granted and
//! reports this to the controller that asked; after that the older set may be removed.
use crate::ledger::Ledger;
use crate::records::Kept;
use control_state::*;
use primitives::{Addr, Mono, Version};

/// The latest fill that a controller asked for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fill {
    /// The version of the ledger sets, and the controller that asked.
    requested: Option<(Version, Addr)>,
    /// Invariant: everything that the older set of this version granted before it was fenced
    /// is on this disk.
    completed: Option<Version>,
}

impl Fill {
    /// The version that is still to be filled.
    pub(crate) fn due(&self) -> Option<Version> {
        let requested = self.requested.map(|(version, _)| version);
        requested.filter(|version| self.completed != Some(*version))
    }
}

impl Ledger {
    /// A controller asks for a fill, which it does only once the version is in force: from
    /// then on a ledger that loses its disk starts again with this version, and so with the fence.
    pub(crate) fn on_fill(&mut self, now: Mono, from: Addr, version: Version, out: &mut Vec<Out>) {
        self.fill.requested = Some((version, from));
        if self.fill.completed == Some(version) {
            return self.report_filled(out);
        }
        self.recall(now, out);
    }

    /// Whether a fill is under way: this ledger is open and follows the very version to fill.
    pub(crate) fn filling(&self) -> bool {
        self.open && self.fill.due() == Some(self.ledger_set_version())
    }

    /// Completes the fill once enough members of the older set have answered in full.
    pub(crate) fn maybe_complete_fill(&mut self, out: &mut Vec<Out>) {
        let (version, purpose) = self.recall.task;
        let is_current =
            self.filling() && purpose == RecallPurpose::Fill && version == self.ledger_set_version();
        if is_current && self.unanswered_members() <= self.env.losses {
            self.count("fills");
            self.fill.completed = Some(version);
            self.report_filled(out);
        }
    }

    fn report_filled(&self, out: &mut Vec<Out>) {
        if let Some((roll, controller)) = self.fill.requested {
            out.push(Out::Send(controller, Msg::Filled { id: self.follow.env.id, roll }));
        }
    }

    /// From now on grants nothing to rounds claimed under a version before this one.
    pub(crate) fn raise_fence(&mut self, now: Mono, version: Version, out: &mut Vec<Out>) {
        if self.fence < version {
            self.fence = version;
            self.save(now, Kept::Fence(version), out);
        }
    }
}
