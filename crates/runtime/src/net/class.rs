//! Chooses the connection for a message: large cached copies have a connection of their own,
//! so that other messages do not wait behind them.
use control_state::Msg;
use primitives::Addr;
use serde::{Deserialize, Serialize};

/// Copies of at least this many bytes use the bulk connection.
const BULK_BYTES: usize = 16 << 10;

/// The class of a connection. Invariant: messages that must stay in order are of one class.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LinkClass {
    /// All small messages, and all whose order matters.
    Ordinary,
    /// Large copies. Each is a complete answer, so their order does not matter.
    Bulk,
}

impl LinkClass {
    /// The class of a message whose encoding has `bytes` bytes.
    pub(super) fn of(message: &Msg, bytes: usize) -> LinkClass {
        match message {
            Msg::CopyResult { .. } if bytes >= BULK_BYTES => LinkClass::Bulk,
            _ => LinkClass::Ordinary,
        }
    }
}

/// The first frame of a connection: who sends, and which class of messages.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handshake {
    /// The address on which the sender itself listens.
    pub from: Addr,
    /// The class of messages sent on this connection.
    pub class: LinkClass,
}
