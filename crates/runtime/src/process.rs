//! Resource usage of this process, as the kernel reports it.

const STATUS_FILE: &str = "/proc/self/status";

/// The number of threads; `None` if the status file of the kernel cannot be read.
pub fn threads() -> Option<u64> {
    status_value("Threads:")?.parse().ok()
}

/// Resident memory in bytes; `None` if the status file of the kernel cannot be read.
pub fn resident_bytes() -> Option<usize> {
    let kib: usize = status_value("VmRSS:")?.strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib << 10)
}

/// The value of one line of the status file.
fn status_value(name: &str) -> Option<String> {
    let status = std::fs::read_to_string(STATUS_FILE).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix(name))?;
    Some(line.trim().to_string())
}

/// Returns freed memory to the kernel. The allocator keeps free memory that lies between live
/// allocations, so that without this the memory of a burst of messages stays resident long after.
pub fn release_freed_memory() {
    // SAFETY: malloc_trim takes the allocator's own locks and touches no live allocation.
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    unsafe {
        libc::malloc_trim(0);
    }
}
