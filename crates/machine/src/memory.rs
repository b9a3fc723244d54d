//! How the memory limit of the process is divided among its parts.
use crate::MachineConfig;

/// Shares of the memory that remains after the parts that store data on disk: a third for cached copies, a
/// fifth for answers in transit from origins, and three tenths for the bodies of callers' requests. The rest
/// is for threads and for fragmentation in the allocator.
const CACHE_DIVISOR: usize = 3;
const ANSWERS_DIVISOR: usize = 5;
/// Numerator and denominator.
const BODIES_SHARE: (usize, usize) = (3, 10);
/// Memory of a controller as a multiple of its state's size on disk: the state, the state at the start of its
/// era, commands, update streams, and an encoded form of each while it is written or sent.
const CONTROLLER_MEMORY_FACTOR: usize = 6;

impl MachineConfig {
    /// Bytes that controller and ledger may need given the size of their disk; at most half of the memory,
    /// and 0 if nothing is stored on disk.
    pub fn durable_parts_memory(&self) -> usize {
        if self.durable_storage().is_none() {
            return 0;
        }
        let ledger = self.ledger_memory();
        let controller = self.controller_state_limit() / 2 * CONTROLLER_MEMORY_FACTOR;
        (ledger + controller).min(self.memory / 2)
    }

    /// Bytes of copies that the edge may cache.
    pub fn cache_memory(&self) -> usize {
        (self.memory - self.durable_parts_memory()) / CACHE_DIVISOR
    }

    /// Bytes of answers that may be in transit from origins at a time.
    pub fn answers_memory(&self) -> usize {
        (self.memory - self.durable_parts_memory()) / ANSWERS_DIVISOR
    }

    /// Bytes of callers' request bodies that may be in flight at a time.
    pub fn bodies_memory(&self) -> usize {
        (self.memory - self.durable_parts_memory()) / BODIES_SHARE.1 * BODIES_SHARE.0
    }
}
