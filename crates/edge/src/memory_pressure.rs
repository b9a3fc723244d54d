//! What an edge gives up when its process comes near its memory limit.
use crate::edge::Edge;
use control_state::{Denied, MemoryPressure};

/// The part of the copies that stays each time under pressure is one in so many.
const SHRINK_DIVISOR: usize = 2;

impl Edge {
    pub(crate) fn on_memory_pressure(&mut self, pressure: MemoryPressure) {
        self.memory_pressure = pressure;
        if pressure > MemoryPressure::None {
            self.count("memory pressure");
            self.copies.shrink_to(self.copies.bytes() / SHRINK_DIVISOR);
        }
    }

    /// Whether a copy may be kept: what is served meanwhile is not.
    pub(crate) fn may_keep_copies(&self) -> bool {
        self.memory_pressure == MemoryPressure::None
    }

    /// Denies new requests while those that are accepted may need all memory that is left.
    pub(crate) fn require_memory(&self) -> Result<(), Denied> {
        let available = self.memory_pressure < MemoryPressure::Critical;
        available.then_some(()).ok_or(Denied::TooMany)
    }
}
