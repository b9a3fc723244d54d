//! Shared copies of readable content, in memory.
use brood::{Lane, Shelf, Shelved, Svc, Whole};
use std::sync::Arc;
use wax::Mono;

#[derive(Clone, Debug)]
pub(crate) struct Copy {
    pub whole: Arc<Whole>,
    /// Invariant: not served after this; set when the fill began.
    pub until: Mono,
}

impl Shelved for Copy {
    fn until(&self) -> Mono {
        self.until
    }
    fn size(&self) -> usize {
        self.whole.body.len()
    }
}

pub(crate) type Copies = Shelf<(Svc, Lane, String), Copy>;
