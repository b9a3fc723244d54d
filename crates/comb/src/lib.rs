//! The comb, a pure part: grants each key to one round and keeps its outcome.
mod comb;
mod ledger;
mod mend;

pub use comb::{Comb, CombEnv};
pub use ledger::Kept;
