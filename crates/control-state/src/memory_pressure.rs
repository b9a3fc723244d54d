//! How close a process is to its memory limit.

/// Tells a part how to save memory. Holders of memory yield in this order: cached copies, then
/// requests that are not accepted yet; accepted requests are completed.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryPressure {
    #[default]
    None,
    /// Copies are dropped, and no more are kept; so are contents that can be read from a log again.
    High,
    /// New requests are denied as well.
    Critical,
}
