//! The comb, a pure part: grants each key to one round and keeps its outcome.
mod comb;
mod ledger;
mod mend;
mod recall;
mod stock;

pub use comb::{Comb, CombEnv};
pub use ledger::Kept;
pub use stock::Stocked;
