//! The consensus protocol CAESAR ("Speeding up Consensus by Chasing Fast Decisions") as a pure
//! state machine.
//!
//! Inputs are messages and timer ticks; outputs are log records to save, messages to send and
//! commands to deliver. The crate uses no sockets, disks, threads or wall clock.
#![deny(missing_docs)]
#![deny(clippy::too_many_lines)]

mod accept;
mod catch_up;
mod config;
mod deliver;
mod disk;
mod lead;
mod machine;
mod recover;
mod types;

pub use config::ReplicaConfig;
pub use machine::Machine;
pub use types::*;

/// Size of a classic quorum of `n` members: `floor(n/2) + 1`.
pub fn classic_quorum(n: usize) -> usize {
    n / 2 + 1
}

/// Size of a blocking quorum: `n - classic_quorum(n) + 1` members, of which every classic quorum
/// has at least one.
pub fn blocking_quorum(n: usize) -> usize {
    n + 1 - classic_quorum(n)
}

/// Size of a fast quorum of `n` members: `ceil(3n/4)`.
pub fn fast_quorum(n: usize) -> usize {
    (3 * n).div_ceil(4)
}

/// The minimum overlap of a classic and a fast quorum that recovery relies on:
/// `floor(classic_quorum(n)/2) + 1`.
pub fn overlap(n: usize) -> usize {
    classic_quorum(n) / 2 + 1
}
