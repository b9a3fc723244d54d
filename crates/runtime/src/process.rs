//! What the kernel tells about this process.

const STATUS: &str = "/proc/self/status";

/// Threads held now; none where the kernel's figures cannot be read.
pub fn threads() -> Option<u64> {
    figure("Threads:")?.parse().ok()
}

/// Bytes of memory in use; none where the kernel's figures cannot be read.
pub fn resident_bytes() -> Option<usize> {
    let kib: usize = figure("VmRSS:")?.strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib << 10)
}

fn figure(name: &str) -> Option<String> {
    let status = std::fs::read_to_string(STATUS).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix(name))?;
    Some(line.trim().to_string())
}

/// Hands memory that was freed back to the kernel. The allocator keeps what lies between live
/// allocations of its arenas, so that a burst of messages is held long after it is over.
pub fn release_freed_memory() {
    // SAFETY: malloc_trim takes the allocator's own locks and touches no live allocation.
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    unsafe {
        libc::malloc_trim(0);
    }
}
