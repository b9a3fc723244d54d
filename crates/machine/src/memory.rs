//! How the memory of a process is shared out among its parts.
use crate::MachineConfig;

/// Of what is left beside the parts that keep data on disk: copies may take a third, answers on
/// their way a quarter, and bodies of callers' requests three tenths. The rest is for threads and what
/// allocation loses.
const COPIES: usize = 3;
const ANSWERS: usize = 4;
const BODIES: (usize, usize) = (3, 10);
/// What a ledger takes in memory beside its grants' size on disk: the grants themselves, their
/// indexes, and the buffer in which they are written in short.
const LEDGER_TIMES: usize = 3;
/// The same for a controller's state: the state, the one its era began with, commands, update
/// streams, and an encoded form of each while it is written or sent.
const CONTROLLER_TIMES: usize = 6;

impl MachineConfig {
    /// Bytes that controller and ledger may come to need, as far as their disk bounds them;
    /// at most half of the memory.
    pub fn durable_parts_memory(&self) -> usize {
        if self.keeps().is_none() {
            return 0;
        }
        let ledger = self.ledger_state_limit() * LEDGER_TIMES;
        let controller = self.controller_room() / 2 * CONTROLLER_TIMES;
        (ledger + controller).min(self.memory / 2)
    }

    /// Bytes of copies that the edge may keep.
    pub fn cache_memory(&self) -> usize {
        (self.memory - self.durable_parts_memory()) / COPIES
    }

    /// Bytes of answers that may be on their way from origins at a time.
    pub fn answers_memory(&self) -> usize {
        (self.memory - self.durable_parts_memory()) / ANSWERS
    }

    /// Bytes of bodies of callers' requests that may be in hand at a time.
    pub fn bodies_memory(&self) -> usize {
        (self.memory - self.durable_parts_memory()) / BODIES.1 * BODIES.0
    }
}
