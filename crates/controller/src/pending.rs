//! Changes that were proposed and are not acknowledged yet, with the callers that wait for each.
//!
//! Edits that are submitted again while a command with them is pending, here or at another controller,
//! wait for that command; edits that were confirmed before are not proposed again.
use crate::controller::Controller;
use caesar::{CommandId, MemberId};
use control_state::*;
use primitives::{Backoff, Mono, Span, Token};
use std::collections::BTreeSet;

/// Members report unasked that a change is in force, to the controller that proposed it and to those
/// that queried it once. They are queried after these delays: by the controller that proposed the
/// command, and by one that joined it.
const OWN_QUERY_DELAY: Span = Span::ms(400);
const JOINED_QUERY_DELAY: Span = Span::ms(50);
/// The longest pause between two queries.
const MAX_QUERY_DELAY: Span = Span::ms(1600);

/// A change, and the callers that are told its verdict.
pub(crate) struct PendingChange {
    pub change: Change,
    pub callers: Vec<Token>,
    /// Callers of other calls with the same edits, with the ids of these calls. They share a success;
    /// after a refusal their calls are proposed themselves, so that each refused call has its own receipt.
    pub joined: Vec<(ChangeId, Token)>,
}

impl PendingChange {
    pub(crate) fn new(change: Change, token: Option<Token>) -> PendingChange {
        PendingChange { change, callers: token.into_iter().collect(), joined: vec![] }
    }

    /// Whether anybody waits for the verdict.
    pub(crate) fn has_callers(&self) -> bool {
        !self.callers.is_empty() || !self.joined.is_empty()
    }

    /// The callers of a change with the same edits wait for this one.
    fn join(&mut self, other: &PendingChange) {
        match other.change.id.clone().filter(|id| Some(id) != self.change.id.as_ref()) {
            Some(id) => self.joined.extend(other.callers.iter().map(|token| (id.clone(), *token))),
            None => self.callers.extend(&other.callers),
        }
        self.joined.extend(other.joined.iter().cloned());
    }

    /// Removes all callers.
    pub(crate) fn take_callers(&mut self) -> Vec<Token> {
        let joined = std::mem::take(&mut self.joined).into_iter().map(|(_, token)| token);
        std::mem::take(&mut self.callers).into_iter().chain(joined).collect()
    }

    /// Separates the callers that a refusal does not concern: their calls, to be proposed.
    pub(crate) fn split_joined(&mut self) -> Vec<PendingChange> {
        let op = &self.change.op;
        let call = |(id, token)| PendingChange::new(Change { id: Some(id), op: op.clone() }, Some(token));
        std::mem::take(&mut self.joined).into_iter().map(call).collect()
    }
}

/// Changes that were proposed as one command.
pub(crate) struct Pending {
    pub asked: Vec<PendingChange>,
    /// In the order of `asked`; `None` until the command is delivered.
    pub verdicts: Option<Vec<Verdict>>,
    /// Members that reported the command as in force.
    pub in_force_at: BTreeSet<MemberId>,
    pub started_at: Mono,
    /// When members that have not reported it are queried.
    pub query_backoff: Backoff,
    /// Proposed by this process. Otherwise another controller proposed the command, and only the
    /// changes with callers here matter.
    pub own: bool,
}

impl Pending {
    pub(crate) fn new(asked: Vec<PendingChange>, started_at: Mono, own: bool) -> Pending {
        let delay = if own { OWN_QUERY_DELAY } else { JOINED_QUERY_DELAY };
        let query_backoff = Backoff::new(started_at, delay, MAX_QUERY_DELAY);
        Pending { asked, verdicts: None, in_force_at: BTreeSet::new(), started_at, query_backoff, own }
    }

    /// The changes to propose again if this command has no effect.
    pub(crate) fn into_reproposals(self) -> impl Iterator<Item = PendingChange> {
        let own = self.own;
        self.asked.into_iter().filter(move |a| own || a.has_callers())
    }

    /// The same change in this command, if whoever joins it waits for all that was applied here before.
    /// A decided barrier does not qualify: later edits may have been applied since.
    fn find_joinable(&mut self, change: &Change) -> Option<&mut PendingChange> {
        let decided = self.verdicts.is_some();
        let request = self.asked.iter_mut().find(|a| a.change.has_same_edits(change));
        request.filter(|_| !decided || !is_barrier(&change.op))
    }
}

/// An empty list of edits: in force once all edits before it are.
fn is_barrier(op: &Op) -> bool {
    matches!(op, Op::Edit(edits) if edits.is_empty())
}

impl Controller {
    /// Replaces edits that were all confirmed before by an empty list of edits. They stay confirmed; only
    /// whether they are in force is still open, which the empty list finds out.
    pub(crate) fn without_confirmed_edits(&self, change: Change) -> Change {
        match &change.op {
            Op::Edit(edits)
                if change.id.as_ref().is_none_or(ChangeId::is_call) && self.state.all_confirmed(edits) =>
            {
                Change { id: None, op: Op::Edit(vec![]) }
            }
            _ => change,
        }
    }

    /// Lets the callers wait for a pending command with the same edits. Returns whether there is one.
    pub(crate) fn join_identical_edits(&mut self, now: Mono, request: &PendingChange) -> bool {
        if !matches!(request.change.op, Op::Edit(_)) {
            return false;
        }
        let queued = self.queued_changes.iter_mut().find(|a| a.change.has_same_edits(&request.change));
        let pending = self.pending.values_mut().find_map(|p| p.find_joinable(&request.change));
        if let Some(same) = queued.or(pending) {
            same.join(request);
            self.count("joined");
            return true;
        }
        let Some((cid, mut pending)) = self.find_at_other_controllers(now, &request.change) else {
            return false;
        };
        let same = pending.find_joinable(&request.change).expect("the command contains the change");
        same.join(request);
        self.pending.insert(cid, pending);
        self.count("joined elsewhere");
        true
    }

    /// Another controller's command that contains the change and was not delivered here yet.
    fn find_at_other_controllers(&self, now: Mono, change: &Change) -> Option<(CommandId, Pending)> {
        let contains =
            |cmd: &Cmd| matches!(cmd, Cmd::Changes(all) if all.iter().any(|c| c.has_same_edits(change)));
        let mut undelivered = self.consensus.as_ref()?.under_way();
        let (cid, cmd) = undelivered.find(|(cid, cmd)| !self.pending.contains_key(cid) && contains(cmd))?;
        let Cmd::Changes(all) = cmd else { return None };
        let requests = all.iter().map(|c| PendingChange::new(c.clone(), None)).collect();
        Some((cid, Pending::new(requests, now, false)))
    }
}
