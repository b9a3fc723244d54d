//! CAESAR ("Speeding up Consensus by Chasing Fast Decisions") as a pure state
//! machine: inputs are messages and ticks, outputs are saves, sends and
//! deliveries. It knows no socket, disk, thread or wall clock.
#![deny(missing_docs)]
#![deny(clippy::too_many_lines)]

mod accept;
mod catch_up;
mod deliver;
mod disk;
mod lead;
mod machine;
mod pace;
mod recover;
mod types;

pub use machine::Machine;
pub use pace::ReplicaConfig;
pub use types::*;

/// `floor(N/2) + 1`.
pub fn classic_quorum(n: usize) -> usize {
    n / 2 + 1
}

/// `N - CQ + 1`: so many that every classic quorum has one of them.
pub fn blocking_quorum(n: usize) -> usize {
    n + 1 - classic_quorum(n)
}

/// `ceil(3N/4)`.
pub fn fast(n: usize) -> usize {
    (3 * n).div_ceil(4)
}

/// The least overlap of a classic and a fast quorum that recovery counts on:
/// `floor(CQ/2) + 1`.
pub fn overlap(n: usize) -> usize {
    classic_quorum(n) / 2 + 1
}
