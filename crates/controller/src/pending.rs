//! Changes on their way, and who waits for each of them.
//!
//! Edits that are sent again while they are under way, here or at another controller,
//! wait for the command that carries them already; edits confirmed before need no second
//! command that carries them.
use crate::controller::Controller;
use caesar::{CommandId, MemberId};
use control_state::*;
use primitives::{Backoff, Mono, Span, Token};
use std::collections::BTreeSet;

/// Members say by themselves that a change is in force, to whoever leads it and to all who
/// asked once. After so long they are asked by who leads it, and by who has joined it.
const ASK_OWN: Span = Span::ms(400);
const ASK_JOINED: Span = Span::ms(50);
/// The longest pause between two askings.
const ASK_LONGEST: Span = Span::ms(1600);

/// A change, and who is told what becomes of it.
pub(crate) struct Asked {
    pub change: Change,
    pub tokens: Vec<Token>,
}

impl Asked {
    pub(crate) fn new(change: Change, token: Option<Token>) -> Asked {
        Asked { change, tokens: token.into_iter().collect() }
    }
}

/// Changes that travel as one command.
pub(crate) struct Pending {
    pub asked: Vec<Asked>,
    /// In the order of `asked`, once delivered.
    pub verdicts: Option<Vec<Verdict>>,
    pub yes: BTreeSet<MemberId>,
    pub began: Mono,
    /// When members whose word is lacking are asked for it.
    pub ask_again: Backoff,
    /// Proposed here in this life; otherwise the command is another's, and only those who
    /// wait for it count.
    pub own: bool,
}

impl Pending {
    pub(crate) fn new(asked: Vec<Asked>, began: Mono, own: bool) -> Pending {
        let first = if own { ASK_OWN } else { ASK_JOINED };
        let ask_again = Backoff::new(began, first, ASK_LONGEST);
        Pending { asked, verdicts: None, yes: BTreeSet::new(), began, ask_again, own }
    }

    /// What has to be proposed anew if this command comes to nothing.
    pub(crate) fn wanted(self) -> impl Iterator<Item = Asked> {
        let own = self.own;
        self.asked.into_iter().filter(move |a| own || !a.tokens.is_empty())
    }

    /// One that carries the same edits, and comes after all that was applied here.
    fn carries(&mut self, change: &Change) -> Option<&mut Asked> {
        let decided = self.verdicts.is_some();
        let asked = self.asked.iter_mut().find(|a| a.change == *change);
        asked.filter(|_| !decided || !is_mark(&change.op))
    }
}

/// Edits of nothing: in force once all edits before them are.
fn is_mark(op: &Op) -> bool {
    matches!(op, Op::Edit(edits) if edits.is_empty())
}

impl Controller {
    /// Edits that were all confirmed before stay so; what remains to be known is that
    /// they are in force, which edits of nothing find out.
    pub(crate) fn shortened(&self, change: Change) -> Change {
        match &change.op {
            Op::Edit(edits) if change.id.is_none() && self.state.all_confirmed(edits) => {
                Change { id: None, op: Op::Edit(vec![]) }
            }
            _ => change,
        }
    }

    /// Lets them wait for the same edits that are under way, if there are such.
    pub(crate) fn join(&mut self, now: Mono, asked: &Asked) -> bool {
        if !matches!(asked.change.op, Op::Edit(_)) {
            return false;
        }
        let queued = self.line.iter_mut().find(|a| a.change == asked.change);
        let here = self.pending.values_mut().find_map(|p| p.carries(&asked.change));
        if let Some(same) = queued.or(here) {
            same.tokens.extend(&asked.tokens);
            self.count("joined");
            return true;
        }
        let Some((cid, mut pending)) = self.elsewhere(now, &asked.change) else { return false };
        let same = pending.carries(&asked.change).expect("found by it");
        same.tokens.extend(&asked.tokens);
        self.pending.insert(cid, pending);
        self.count("joined elsewhere");
        true
    }

    /// Another controller's command that carries the change and was not delivered here.
    fn elsewhere(&self, now: Mono, change: &Change) -> Option<(CommandId, Pending)> {
        let carries = |cmd: &Cmd| matches!(cmd, Cmd::Changes(all) if all.contains(change));
        let mut open = self.consensus.as_ref()?.under_way();
        let (cid, cmd) = open.find(|(cid, cmd)| !self.pending.contains_key(cid) && carries(cmd))?;
        let Cmd::Changes(all) = cmd else { return None };
        let asked = all.iter().map(|c| Asked::new(c.clone(), None)).collect();
        Some((cid, Pending::new(asked, now, false)))
    }
}
