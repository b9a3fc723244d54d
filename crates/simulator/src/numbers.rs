//! Checks over all replies to operators that a version of an entry never has two contents.
use crate::requests::{Exchange, Want};
use control_state::*;
use primitives::Version;
use std::collections::BTreeMap;

/// The content that was confirmed under each version of an entry.
#[derive(Debug, Default)]
pub(crate) struct Numbers(BTreeMap<(Key, Version), ContentDigest>);

impl Numbers {
    /// Faults of a reply, given all replies before it; empty if there are none.
    pub(crate) fn check_reply(&mut self, exchange: &Exchange) -> Vec<String> {
        match (&exchange.want, &exchange.receipt) {
            (Want::Change(Change { op: Op::Edit(edits), .. }), NodeReply::Change(verdict)) => match verdict {
                Verdict::Done(_) => self.confirm(edits),
                _ => self.refused(edits, verdict),
            },
            (Want::Table | Want::Read, NodeReply::Table(p, _)) => self.read_back(p),
            _ => vec![],
        }
    }

    fn confirm(&mut self, edits: &[Edit]) -> Vec<String> {
        let mut one = |e: &Edit| {
            let first = self.0.entry((e.key(), e.ver)).or_insert(e.content);
            (*first != e.content).then(|| format!("{}: two contents confirmed under {}", e.name, e.ver))
        };
        edits.iter().filter_map(&mut one).collect()
    }

    fn was_confirmed(&self, e: &Edit) -> bool {
        self.0.get(&(e.key(), e.ver)) == Some(&e.content)
    }

    fn refused(&self, edits: &[Edit], verdict: &Verdict) -> Vec<String> {
        let number = |e: &Edit, n: &EntryNumber| (e.section, &e.name, e.ver) == (n.section, &n.name, n.ver);
        let wrong = match verdict {
            Verdict::Conflict(n) => {
                let mut named = edits.iter().filter(|e| number(e, n));
                named.all(|e| self.was_confirmed(e))
            }
            _ => edits.iter().all(|e| self.was_confirmed(e)),
        };
        Some(format!("confirmed, then {verdict:?}")).filter(|_| wrong).into_iter().collect()
    }

    fn read_back(&self, p: &ControlState) -> Vec<String> {
        let differing = |(section, name, it): (Section, &String, &Item)| {
            let current = Edit::new(section, name, it.ver, it.body.clone());
            let confirmed = self.0.get(&(current.key(), it.ver));
            let wrong = confirmed.is_some_and(|c| *c != current.content);
            wrong.then(|| format!("{name}: {} stands for another content than was confirmed", it.ver))
        };
        p.entries().filter_map(differing).collect()
    }
}
