//! Which of its connections to a peer a message takes: large copies have one of their own, so
//! that nothing else waits behind them.
use control_state::Msg;
use primitives::Addr;
use serde::{Deserialize, Serialize};

/// Copies from this size on go by themselves.
const BULK_BYTES: usize = 16 << 10;

/// Sorts of connections. Invariant: messages that must stay in order are of one sort.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LinkClass {
    /// Everything whose order counts, and all that is small.
    Ordinary,
    /// Large copies: each is an answer of its own.
    Bulk,
}

impl LinkClass {
    /// Of a message that is so many bytes long.
    pub(super) fn of(m: &Msg, bytes: usize) -> LinkClass {
        match m {
            Msg::CopyResult { .. } if bytes >= BULK_BYTES => LinkClass::Bulk,
            _ => LinkClass::Ordinary,
        }
    }
}

/// The first frame of a connection: who sends, and what.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handshake {
    /// Where the sender listens itself.
    pub from: Addr,
    /// What it sends here.
    pub class: LinkClass,
}
