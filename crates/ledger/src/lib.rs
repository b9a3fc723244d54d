//! The ledger, a pure part: grants each key to one round and keeps its outcome.
mod claims;
mod fill;
mod grants;
mod leave;
mod ledger;
mod mend;
mod recall;
mod replicate;
mod short_form;
mod stock;

pub use grants::Kept;
pub use ledger::{Ledger, LedgerEnv};
pub use stock::Stocked;
