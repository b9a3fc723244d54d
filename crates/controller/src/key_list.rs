//! A list of all keys of a state, shared by the streams that start with it.
use control_state::{ControlState, Key};
use std::sync::Arc;

/// Caches the list that was last handed out.
#[derive(Clone, Debug, Default)]
pub struct KeyList(Option<Arc<[Key]>>);

impl KeyList {
    /// The keys of `state` in order. Returns the cached list if the keys have not changed.
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
