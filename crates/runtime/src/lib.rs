//! The environment in which a part runs: clock, links to other nodes, disk log, HTTP and logging.
mod chunked_records;
pub mod conditional_requests;
pub mod connection_monitor;
pub mod disk_log;
mod disk_log_files;
mod disk_log_read;
mod disk_log_recovery;
mod disk_log_scan;
mod disk_log_trim;
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

/// The monotonic clock of the machine in microseconds; the same for all processes of one boot.
pub fn now() -> Mono {
    let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC);
    let time = time.expect("every Linux has this clock");
    // Shifted by a second so that it is never zero, which means "never".
    Mono(time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1000 + 1_000_000)
}

/// Identifies the current boot of the machine. Random if the kernel does not tell, so that a
/// time from another boot is never taken for one of this boot.
pub fn boot() -> u64 {
    let id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
    id.map(|text| primitives::hash(&text)).unwrap_or_else(|_| life())
}

/// A random number that identifies an incarnation of a process or disk.
pub fn life() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    // Below 2^40: the number is shown to operators and must fit exactly in a JSON number.
    (hasher.finish() >> 24).max(1)
}
