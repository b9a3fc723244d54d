//! Outcomes of rounds. The content of each stands in the log, and that of the newest also in memory.
use control_state::{Holder, Whole};

/// The outcome of a round, as the ledger holds it in memory.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The ledgers that hold it.
    pub holders: Vec<Holder>,
    /// Bytes of its content.
    pub size: usize,
    /// Its content; `None` if it stands in the log only.
    pub content: Option<Whole>,
}

impl Outcome {
    pub(crate) fn in_memory(whole: Whole) -> Outcome {
        Outcome { holders: whole.holders(), size: whole.size(), content: Some(whole) }
    }

    /// The same without its content, which stands in the log.
    pub(crate) fn in_log(whole: &Whole) -> Outcome {
        Outcome { holders: whole.holders(), size: whole.size(), content: None }
    }

    /// The same with other holders.
    pub(crate) fn with_holders(self, holders: Vec<Holder>) -> Outcome {
        let content = self.content.map(|whole| whole.with_holders(&holders));
        Outcome { holders, content, ..self }
    }

    /// Bytes of its content in memory.
    pub(crate) fn content_bytes(&self) -> usize {
        self.content.as_ref().map_or(0, |_| self.size)
    }

    /// Bytes that it takes in memory besides its content.
    pub(crate) fn index_bytes(&self) -> usize {
        std::mem::size_of::<Holder>() * self.holders.len()
    }
}
