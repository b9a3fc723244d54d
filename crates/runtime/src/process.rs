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
