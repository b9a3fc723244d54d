//! What controllers agree on, and which of it clashes.
use crate::configuration::{Edit, PurgeBy};
use crate::items::*;
use crate::roll::Seat;
use crate::state::Era;
use caesar::Command;
use primitives::{Addr, Birth, NodeId, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Sets (or with no row deletes) one cell, if it still has the version expected.
    Row {
        lane: Lane,
        svc: Svc,
        expect: Version,
        row: Option<Row>,
    },
    Register(Addr, Origin),
    Drain(Addr, Birth),
    Remove(Addr, Birth),
    /// Its own last word: this life is never registered again, whatever of it is
    /// still on its way.
    SignOff(Addr, Birth),
    /// The same for a life of which the proposer knows nothing but its name.
    SignOffName(String),
    Join(NodeId, Node),
    DrainNode(NodeId),
    RemoveNode(NodeId),
    Purge(Vec<(Svc, String)>),
    PurgeBy(Vec<PurgeBy>),
    /// Edits of the configuration, valid or refused as a whole.
    Edit(Vec<Edit>),
    /// Names the ledger's ledgers anew, beside the set there is; the same again
    /// only makes the version new, to count its time in force from.
    Seats {
        expect: Version,
        next: Vec<Seat>,
    },
    /// The older set has lost its force. Early: at once, if no row ever existed.
    Settle {
        expect: Version,
        early: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// None for what controllers derive from beats and joins.
    pub id: Option<ChangeId>,
    pub op: Op,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cmd {
    Noop,
    /// Most often one; purges that came together travel as one command.
    Changes(Arc<Vec<Change>>),
    /// Reads: clashes with every change, so that its place among them is known.
    Look,
    /// Ends the era: the next one starts from the state at this point, among
    /// these members. Clashes with everything but the noop. Rosters that ended up
    /// to the era named are known to be in nobody's use.
    Cut(Vec<Member>, Era),
}

impl Op {
    /// What the operation touches: the conflict relation's grain.
    pub fn keys(&self) -> Vec<Key> {
        match self {
            Op::Row { lane, svc, .. } => vec![Key::Row(lane.clone(), svc.clone())],
            Op::Register(a, _) | Op::Drain(a, _) | Op::Remove(a, _) | Op::SignOff(a, _) => {
                vec![Key::Origin(*a)]
            }
            Op::SignOffName(_) => vec![],
            Op::Join(n, _) | Op::DrainNode(n) | Op::RemoveNode(n) => vec![Key::Node(*n)],
            Op::Seats { .. } | Op::Settle { .. } => vec![Key::Roll],
            Op::PurgeBy(s) => s.iter().cloned().map(Key::PurgeBy).collect(),
            Op::Edit(es) => es.iter().map(Edit::key).collect(),
            Op::Purge(s) => s.iter().map(|(v, p)| Key::Purge(v.clone(), p.clone())).collect(),
        }
    }

    /// Whether both touch one thing. Floods of purges are compared often, so those are
    /// looked at as they stand.
    fn meets(&self, b: &Op) -> bool {
        match (self, b) {
            (Op::Purge(x), Op::Purge(y)) => x.iter().any(|s| y.contains(s)),
            (Op::Purge(_), _) | (_, Op::Purge(_)) => false,
            (Op::PurgeBy(x), Op::PurgeBy(y)) => x.iter().any(|s| y.contains(s)),
            (Op::PurgeBy(_), _) | (_, Op::PurgeBy(_)) => false,
            // Whose name it is depends on all origins before.
            (Op::SignOffName(_), b) => b.is_origin(),
            (a, Op::SignOffName(_)) => a.is_origin(),
            // Whether lanes name known services depends on all edits before.
            (Op::Edit(_), Op::Edit(_)) => true,
            (Op::Edit(_), _) | (_, Op::Edit(_)) => false,
            _ => {
                let ks = b.keys();
                self.keys().iter().any(|k| ks.contains(k))
            }
        }
    }

    /// Asks whether any row ever existed, so its place among all row changes matters.
    fn depends_on_rows(&self) -> bool {
        matches!(self, Op::Settle { early: true, .. })
    }
    /// Those that come together travel as one command: purges, what the start or the end of
    /// many processes brings, and edits, which all clash and would each be weighed against all
    /// others under way.
    pub fn is_batchable(&self) -> bool {
        matches!(self, Op::Purge(_) | Op::PurgeBy(_) | Op::Join(..) | Op::Edit(_)) || self.is_origin()
    }
    fn is_origin(&self) -> bool {
        let by_name = matches!(self, Op::SignOffName(_));
        by_name || matches!(self, Op::Register(..) | Op::Drain(..) | Op::Remove(..) | Op::SignOff(..))
    }
    /// What it takes on a link, roughly.
    pub fn size(&self) -> usize {
        const SMALL: usize = 200;
        match self {
            Op::PurgeBy(scopes) => SMALL + scopes.len() * 120,
            Op::Purge(scopes) => SMALL + scopes.iter().map(|(_, p)| p.len() + 40).sum::<usize>(),
            Op::Edit(edits) => SMALL + edits.iter().map(Edit::size).sum::<usize>(),
            _ => SMALL,
        }
    }
    fn is_row(&self) -> bool {
        matches!(self, Op::Row { .. } | Op::Edit(_))
    }
}

impl Change {
    fn conflicts(&self, b: &Change) -> bool {
        let same_id = self.id.is_some() && self.id == b.id;
        let asks = |x: &Op, y: &Op| x.depends_on_rows() && y.is_row();
        same_id || asks(&self.op, &b.op) || asks(&b.op, &self.op) || self.op.meets(&b.op)
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
            Cmd::Changes(all) => SMALL + all.iter().map(|c| c.op.size()).sum::<usize>(),
            Cmd::Cut(members, _) => SMALL * (1 + members.len()),
            Cmd::Noop | Cmd::Look => SMALL,
        }
    }
}
