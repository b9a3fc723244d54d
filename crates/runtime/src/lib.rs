//! The basket round a part: it gives it a clock, links, a disk, HTTP and logs.
mod chunked_records;
pub mod conditional_requests;
pub mod connection_monitor;
pub mod disk_log;
mod disk_log_files;
mod disk_log_recovery;
mod disk_log_scan;
pub mod executor;
pub mod frame;
pub mod front;
pub mod full_disk;
pub mod http_server;
pub mod logs;
pub mod memory_budget;
pub mod metrics;
pub mod net;
mod origin_client;
mod origin_response;
pub mod process;
pub mod request_parser;
pub mod settings;
pub mod shell;

use primitives::Mono;

/// The machine's monotonic clock: the same for all processes of one boot.
pub fn now() -> Mono {
    let t = nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC);
    let t = t.expect("every Linux has this clock");
    // Above zero, which stands for "never".
    Mono(t.tv_sec() as u64 * 1_000_000 + t.tv_nsec() as u64 / 1000 + 1_000_000)
}

/// Which boot of the machine this is; drawn at random where it cannot be known,
/// so that no time of another boot is taken for one of this.
pub fn boot() -> u64 {
    let id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
    id.map(|s| primitives::hash(&s)).unwrap_or_else(|_| life())
}

/// A fresh random number for a life of a process or disk.
pub fn life() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut h = std::collections::hash_map::RandomState::new().build_hasher();
    h.write_u32(std::process::id());
    // Below 2^40: lives are shown to operators and pass through JSON numbers.
    (h.finish() >> 24).max(1)
}
