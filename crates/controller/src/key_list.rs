//! All keys of a state, in one list that is shared by whoever needs it.
use control_state::{ControlState, Key};
use std::sync::Arc;

/// The list, as of when it was asked for last.
#[derive(Clone, Debug, Default)]
pub struct KeyList(Option<Arc<[Key]>>);

impl KeyList {
    /// The keys of that state, in their order: the same list as before if they are the same.
    pub fn of(&mut self, state: &ControlState) -> Arc<[Key]> {
        let same = |list: &&Arc<[Key]>| list.iter().eq(state.items.keys());
        if let Some(list) = self.0.as_ref().filter(same) {
            return list.clone();
        }
        let list: Arc<[Key]> = state.items.keys().cloned().collect();
        self.0 = Some(list.clone());
        list
    }
}
