//! Applying edits of the configuration: all of a call, or nothing of it.
use crate::configuration::*;
use crate::confirmed::{ConfirmationStatus, Confirmed, ContentDigest, MAX_CONFIRMED_NUMBERS};
use crate::items::*;
use crate::state::{ControlState, Verdict};
use primitives::Version;
use std::collections::BTreeMap;

impl ControlState {
    fn newer(&self, e: &Edit) -> bool {
        self.items.get(&e.key()).is_none_or(|it| e.ver > it.ver)
    }

    fn known(&self, e: &Edit) -> ConfirmationStatus {
        self.confirmed.known(&e.key(), e.ver, &e.content)
    }

    /// Whether all of this was confirmed before; then it is confirmed for ever.
    pub fn all_confirmed(&self, edits: &[Edit]) -> bool {
        edits.iter().all(|e| self.known(e) == ConfirmationStatus::Same)
    }

    fn service_after(&self, edits: &[Edit], svc: &Svc) -> bool {
        let k = Key::Entry(Section::Services, svc.0.clone());
        let was = self.item(&k);
        let mine = edits.iter().filter(|e| e.key() == k && self.newer(e));
        let edit = mine.max_by_key(|e| e.ver);
        edit.map_or(was.body.is_some(), |e| e.body.is_some())
    }

    /// Why the edits, all together, may not be taken.
    pub fn flaw(&self, edits: &[Edit]) -> Option<EditError> {
        // What is overtaken has no effect: it may name what has gone since, though not
        // what never was.
        let gone = |e: &Edit, svc: &Svc| {
            let was = self.items.contains_key(&Key::Entry(Section::Services, svc.0.clone()));
            was && !self.newer(e)
        };
        let unknown = |e: &&Edit| {
            let known = |s: &Svc| self.service_after(edits, s) || gone(e, s);
            let lost = e.lane()?.weights.iter().find(|(s, _)| !known(s))?;
            Some(EditError::UnknownService { name: e.name.clone(), svc: lost.0.clone() })
        };
        // What was confirmed was valid, whatever has gone since.
        let open = || edits.iter().filter(|e| self.known(e) != ConfirmationStatus::Same);
        open().find_map(Edit::flaw).or_else(|| open().find_map(|e| unknown(&e)))
    }

    /// The first edit whose number stands for another content, before the call or in it.
    fn conflict(&self, edits: &[Edit]) -> Option<EntryNumber> {
        let mut call: BTreeMap<(Key, Version), ContentDigest> = BTreeMap::new();
        let conflicts = |e: &&Edit| {
            let first = call.entry((e.key(), e.ver)).or_insert(e.content);
            *first != e.content || self.known(e) == ConfirmationStatus::Other
        };
        edits.iter().find(conflicts).map(Edit::number)
    }

    /// The first edit of which nobody knows any more whether it was confirmed.
    fn forgotten(&self, edits: &[Edit]) -> Option<EntryNumber> {
        edits.iter().find(|e| self.known(e) == ConfirmationStatus::Forgotten).map(Edit::number)
    }

    /// All of them or none; those that are overtaken have no effect, but their numbers
    /// are confirmed and so belong to their contents.
    pub(crate) fn edit(&mut self, edits: &[Edit]) -> Verdict {
        if let Some(flaw) = self.flaw(edits) {
            return Verdict::InvalidEdit(flaw);
        }
        if let Some(conflict) = self.conflict(edits) {
            return Verdict::Conflict(conflict);
        }
        if let Some(number) = self.forgotten(edits) {
            return Verdict::Forgotten(number);
        }
        let mut done = vec![];
        for e in edits {
            self.confirmed.confirm(e.key(), e.ver, e.content);
            if self.newer(e) {
                self.items.insert(e.key(), Item { ver: e.ver, body: e.body.clone() });
                done.push((e.key(), e.ver));
            }
        }
        self.confirmed.trim(MAX_CONFIRMED_NUMBERS);
        Verdict::Done(done)
    }

    /// Without what only controllers need: whoever reads it has all that stands.
    pub fn shown(&self) -> ControlState {
        ControlState { confirmed: Confirmed::default(), receipts: BTreeMap::new(), ..self.clone() }
    }

    /// The configuration's entries that stand, by section and name.
    pub fn entries(&self) -> impl Iterator<Item = (Section, &String, &Item)> {
        self.items.iter().filter_map(|(k, it)| match k {
            Key::Entry(s, n) if it.body.is_some() => Some((*s, n, it)),
            _ => None,
        })
    }
}
