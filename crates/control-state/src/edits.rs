//! Applying edits of the configuration: all edits of a call, or none.
use crate::configuration::*;
use crate::confirmed::{ConfirmationStatus, Confirmed, ContentDigest, MAX_CONFIRMED_NUMBERS};
use crate::items::*;
use crate::state::ControlState;
use crate::verdict::Verdict;
use primitives::Version;
use std::collections::BTreeMap;

impl ControlState {
    fn is_newer(&self, edit: &Edit) -> bool {
        self.items.get(&edit.key()).is_none_or(|item| edit.ver > item.ver)
    }

    fn confirmation(&self, edit: &Edit) -> ConfirmationStatus {
        self.confirmed.known(&edit.key(), edit.ver, &edit.content)
    }

    /// Whether each of these edits was confirmed before, with the same content. Confirmed edits stay
    /// confirmed.
    pub fn all_confirmed(&self, edits: &[Edit]) -> bool {
        edits.iter().all(|edit| self.confirmation(edit) == ConfirmationStatus::Same)
    }

    /// Whether the service exists once the edits are applied.
    fn service_exists_after(&self, edits: &[Edit], svc: &Svc) -> bool {
        let key = Key::Entry(Section::Services, svc.0.clone());
        let current = self.item(&key);
        let newer = edits.iter().filter(|edit| edit.key() == key && self.is_newer(edit));
        let last = newer.max_by_key(|edit| edit.ver);
        last.map_or(current.body.is_some(), |edit| edit.body.is_some())
    }

    /// The first fault because of which the edits are refused, all of them together.
    pub fn flaw(&self, edits: &[Edit]) -> Option<EditError> {
        // An edit below the current version has no effect: it may name a service that was deleted
        // since, but not one that never existed.
        let names_deleted = |edit: &Edit, svc: &Svc| {
            let existed = self.items.contains_key(&Key::Entry(Section::Services, svc.0.clone()));
            existed && !self.is_newer(edit)
        };
        let unknown_service = |edit: &&Edit| {
            let is_known = |name: &Svc| self.service_exists_after(edits, name) || names_deleted(edit, name);
            let missing = edit.lane()?.weights.iter().find(|(name, _)| !is_known(name))?;
            Some(EditError::UnknownService { name: edit.name.clone(), svc: missing.0.clone() })
        };
        // An edit that was confirmed was valid then, whatever was deleted since.
        let unconfirmed = || edits.iter().filter(|edit| self.confirmation(edit) != ConfirmationStatus::Same);
        unconfirmed().find_map(Edit::flaw).or_else(|| unconfirmed().find_map(|edit| unknown_service(&edit)))
    }

    /// The first edit whose version number stands for other content, already or within this call.
    fn conflict(&self, edits: &[Edit]) -> Option<EntryNumber> {
        let mut contents: BTreeMap<(Key, Version), ContentDigest> = BTreeMap::new();
        let conflicts = |edit: &&Edit| {
            let first = contents.entry((edit.key(), edit.ver)).or_insert(edit.content);
            *first != edit.content || self.confirmation(edit) == ConfirmationStatus::Other
        };
        edits.iter().find(conflicts).map(Edit::number)
    }

    /// The first edit for which it is no longer recorded whether it was confirmed.
    fn forgotten(&self, edits: &[Edit]) -> Option<EntryNumber> {
        edits.iter().find(|edit| self.confirmation(edit) == ConfirmationStatus::Forgotten).map(Edit::number)
    }

    /// Applies all edits or none. An edit below the current version of its entry leaves the entry as
    /// it is, but its version number is confirmed and stands for its content from then on.
    pub(crate) fn apply_edits(&mut self, edits: &[Edit]) -> Verdict {
        if let Some(flaw) = self.flaw(edits) {
            return Verdict::InvalidEdit(flaw);
        }
        if let Some(conflict) = self.conflict(edits) {
            return Verdict::Conflict(conflict);
        }
        if let Some(number) = self.forgotten(edits) {
            return Verdict::Forgotten(number);
        }
        let mut changed = vec![];
        for edit in edits {
            self.confirmed.confirm(edit.key(), edit.ver, edit.content);
            if self.is_newer(edit) {
                self.items.insert(edit.key(), Item { ver: edit.ver, body: edit.body.clone() });
                changed.push((edit.key(), edit.ver));
            }
        }
        self.confirmed.trim(MAX_CONFIRMED_NUMBERS);
        Verdict::Done(changed)
    }

    /// A copy for readers: without receipts and confirmed numbers, which only controllers need.
    pub fn shown(&self) -> ControlState {
        ControlState { confirmed: Confirmed::default(), receipts: BTreeMap::new(), ..self.clone() }
    }

    /// The entries of the configuration that exist, by section and name.
    pub fn entries(&self) -> impl Iterator<Item = (Section, &String, &Item)> {
        self.items.iter().filter_map(|(key, item)| match key {
            Key::Entry(section, name) if item.body.is_some() => Some((*section, name, item)),
            _ => None,
        })
    }
}
