//! The commands that controllers agree on, and which of them conflict.
use crate::configuration::{Edit, PurgeBy};
use crate::items::*;
use crate::roll::Seat;
use crate::state::Era;
use caesar::Command;
use primitives::{Addr, Birth, NodeId, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An operation on the control state. Its `Debug` text is hashed into stored receipts, so the names
/// of its variants and fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Sets one cell, or without a row deletes it, if it still has the expected version.
    Row { lane: Lane, svc: Svc, expect: Version, row: Option<Row> },
    /// Registers an origin, or a new incarnation of one.
    Register(Addr, Origin),
    /// Marks an origin as leaving.
    Drain(Addr, Birth),
    /// Removes an origin, for example one that is silent; it may register again.
    Remove(Addr, Birth),
    /// Deregistration by the origin itself: this incarnation is never registered again, whichever
    /// of its heartbeats are still in transit.
    SignOff(Addr, Birth),
    /// The same for an incarnation of which the proposer knows only the name that it gives itself.
    SignOffName(String),
    /// Registers an edge or ledger.
    Join(NodeId, Node),
    /// Marks a node as leaving.
    DrainNode(NodeId),
    /// Removes a node.
    RemoveNode(NodeId),
    /// Purges cached copies by service and path prefix.
    Purge(Vec<(Svc, String)>),
    /// Purges cached copies by page or tag.
    PurgeBy(Vec<PurgeBy>),
    /// Edits of the configuration, valid or refused as a whole.
    Edit(Vec<Edit>),
    /// Adds a newer ledger set beside the current one. Repeating the same set only gives it a new
    /// version, from which its time in force is counted.
    Seats { expect: Version, next: Vec<Seat> },
    /// Removes the older ledger set, which is not needed any more. `early`: without waiting, if no
    /// row ever existed.
    Settle { expect: Version, early: bool },
}

/// A change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// None for changes that controllers derive from heartbeats and joining nodes, and for those that may
    /// be decided more than once.
    pub id: Option<ChangeId>,
    pub op: Op,
}

/// A command of the agreement between controllers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cmd {
    /// Has no effect and conflicts with nothing.
    Noop,
    /// Usually one change; batchable changes that arrive together form one command.
    Changes(Arc<Vec<Change>>),
    /// A read barrier: it conflicts with every change, so that its position among them is known.
    Look,
    /// Reconfiguration: ends the era; the next one starts from the state at this point, with these
    /// members. Conflicts with all commands but the no-op. Memberships that ended at or before the
    /// given era are no longer in use.
    Cut(Vec<Member>, Era),
}

impl Op {
    /// The keys that the operation changes; two operations with a common key conflict.
    pub fn keys(&self) -> Vec<Key> {
        match self {
            Op::Row { lane, svc, .. } => vec![Key::Row(lane.clone(), svc.clone())],
            Op::Register(addr, _) | Op::Drain(addr, _) | Op::Remove(addr, _) | Op::SignOff(addr, _) => {
                vec![Key::Origin(*addr)]
            }
            Op::SignOffName(_) => vec![],
            Op::Join(id, _) | Op::DrainNode(id) | Op::RemoveNode(id) => vec![Key::Node(*id)],
            Op::Seats { .. } | Op::Settle { .. } => vec![Key::Roll],
            Op::PurgeBy(scopes) => scopes.iter().cloned().map(Key::PurgeBy).collect(),
            Op::Edit(edits) => edits.iter().map(Edit::key).collect(),
            Op::Purge(scopes) => {
                scopes.iter().map(|(svc, prefix)| Key::Purge(svc.clone(), prefix.clone())).collect()
            }
        }
    }

    /// Whether both change the same item. Purges arrive in large numbers and are compared often, so
    /// their scopes are compared directly, without building keys.
    fn overlaps(&self, other: &Op) -> bool {
        match (self, other) {
            (Op::Purge(mine), Op::Purge(theirs)) => mine.iter().any(|scope| theirs.contains(scope)),
            (Op::Purge(_), _) | (_, Op::Purge(_)) => false,
            (Op::PurgeBy(mine), Op::PurgeBy(theirs)) => mine.iter().any(|scope| theirs.contains(scope)),
            (Op::PurgeBy(_), _) | (_, Op::PurgeBy(_)) => false,
            // Which origin has the name depends on all earlier changes of origins.
            (Op::SignOffName(_), other) => other.changes_origin(),
            (op, Op::SignOffName(_)) => op.changes_origin(),
            // Whether routes name existing services depends on all earlier edits.
            (Op::Edit(_), Op::Edit(_)) => true,
            (Op::Edit(_), _) | (_, Op::Edit(_)) => false,
            _ => {
                let keys = other.keys();
                self.keys().iter().any(|key| keys.contains(key))
            }
        }
    }

    /// Whether its result depends on whether any row ever existed, and so on its position among all
    /// row changes.
    fn depends_on_rows(&self) -> bool {
        matches!(self, Op::Settle { early: true, .. })
    }

    /// Whether changes that arrive together form one command: purges, changes that come in numbers
    /// when many processes start or stop, and edits, which all conflict with one another and would
    /// each have to be ordered against all others in progress.
    pub fn is_batchable(&self) -> bool {
        matches!(self, Op::Purge(_) | Op::PurgeBy(_) | Op::Join(..) | Op::Edit(_)) || self.changes_origin()
    }

    fn changes_origin(&self) -> bool {
        let by_name = matches!(self, Op::SignOffName(_));
        by_name || matches!(self, Op::Register(..) | Op::Drain(..) | Op::Remove(..) | Op::SignOff(..))
    }

    /// Approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        const SMALL: usize = 200;
        match self {
            Op::PurgeBy(scopes) => SMALL + scopes.len() * 120,
            Op::Purge(scopes) => SMALL + scopes.iter().map(|(_, prefix)| prefix.len() + 40).sum::<usize>(),
            Op::Edit(edits) => SMALL + edits.iter().map(Edit::size).sum::<usize>(),
            _ => SMALL,
        }
    }

    fn changes_row(&self) -> bool {
        matches!(self, Op::Row { .. } | Op::Edit(_))
    }
}

impl Change {
    /// Whether both bring the same edits, and no operator's id tells them apart: what one of them
    /// achieves, the other one achieves too.
    pub fn has_same_edits(&self, other: &Change) -> bool {
        let joins = |change: &Change| change.id.as_ref().is_none_or(ChangeId::is_call);
        let same_id = self.id == other.id || (joins(self) && joins(other));
        same_id && matches!(self.op, Op::Edit(_)) && self.op == other.op
    }

    fn conflicts(&self, other: &Change) -> bool {
        let same_id = self.id.is_some() && self.id == other.id;
        let depends = |one: &Op, other: &Op| one.depends_on_rows() && other.changes_row();
        same_id || depends(&self.op, &other.op) || depends(&other.op, &self.op) || self.op.overlaps(&other.op)
    }
}

impl Command for Cmd {
    fn conflicts(&self, other: &Cmd) -> bool {
        match (self, other) {
            (Cmd::Noop, _) | (_, Cmd::Noop) => false,
            (Cmd::Cut(..), _) | (_, Cmd::Cut(..)) => true,
            (Cmd::Look, Cmd::Look) => false,
            (Cmd::Look, _) | (_, Cmd::Look) => true,
            (Cmd::Changes(a), Cmd::Changes(b)) => a.iter().any(|a| b.iter().any(|b| a.conflicts(b))),
        }
    }

    fn noop() -> Cmd {
        Cmd::Noop
    }

    fn bytes(&self) -> usize {
        const SMALL: usize = 64;
        match self {
            Cmd::Changes(changes) => SMALL + changes.iter().map(|change| change.op.size()).sum::<usize>(),
            Cmd::Cut(members, _) => SMALL * (1 + members.len()),
            Cmd::Noop | Cmd::Look => SMALL,
        }
    }
}
