//! The basket round a part: it gives it a clock, links, a disk, HTTP and logs.
pub mod env;
pub mod exec;
pub mod front;
pub mod logs;
pub mod net;
pub mod ring;
mod scan;
pub mod shell;

use std::sync::OnceLock;
use std::time::Instant;
use wax::Mono;

/// The process's monotonic clock.
pub fn now() -> Mono {
    static START: OnceLock<Instant> = OnceLock::new();
    // Starts above zero, which stands for "never".
    Mono(START.get_or_init(Instant::now).elapsed().as_micros() as u64 + 1_000_000)
}

/// A fresh random number for a life of a process or disk.
pub fn life() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut h = std::collections::hash_map::RandomState::new().build_hasher();
    h.write_u32(std::process::id());
    // Below 2^40: lives are shown to operators and pass through JSON numbers.
    (h.finish() >> 24).max(1)
}
