//! The ledger: a pure state machine that grants each idempotency key to one round and stores
//! the round's outcome. A round is one attempt to run the request with that key; it may run
//! once a quorum of the key's ledgers has granted it the key.
mod claims;
mod compacted_state;
mod disk_cache;
mod fill;
mod grant;
mod grants;
mod leave;
mod ledger;
mod log_position;
mod outcome;
mod outcome_room;
mod outgoing;
mod page;
mod recall;
mod recall_answer;
mod records;
mod recovered_record;
mod recovered_state;
mod repair;
mod replicate;

pub use disk_cache::StoredCopy;
pub use ledger::{Ledger, LedgerEnv};
pub use log_position::LogForm;
pub use outcome::Outcome;
pub use records::{Kept, StoredGrant, StoredState};
pub use recovered_record::RecoveredRecord;
