//! The ledger, a pure part: grants each key to one round and keeps its outcome.
mod claims;
mod compacted_state;
mod disk_cache;
mod fill;
mod grants;
mod leave;
mod ledger;
mod recall;
mod repair;
mod replicate;

pub use disk_cache::StoredCopy;
pub use grants::Kept;
pub use ledger::{Ledger, LedgerEnv};
