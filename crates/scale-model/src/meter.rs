//! What a step costs: the thread's processor time, never a wall clock.
use crate::plan::*;
use nix::time::{clock_gettime, ClockId};
use snafu::ResultExt;

/// Counted since the last reset, of one process of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub msgs_in: u64,
    pub msgs_out: u64,
    /// With the frame's head, as on a link.
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Nanoseconds of processor time: checking, decoding, stepping, encoding.
    pub cpu: u64,
}

#[derive(Debug)]
pub struct Meter {
    /// Nanoseconds that reading the clock twice takes by itself.
    own: u64,
}

fn spent() -> u64 {
    let t = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    t.map_or(0, |t| t.tv_sec() as u64 * 1_000_000_000 + t.tv_nsec() as u64)
}

impl Meter {
    pub fn new() -> Result<Meter> {
        clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).context(ClockSnafu)?;
        const N: u64 = 2000;
        let all: u64 = (0..N).map(|_| Meter { own: 0 }.of(|| ()).1).sum();
        Ok(Meter { own: all / N })
    }

    /// Runs it; what it returned, and the nanoseconds of processor time it took.
    pub fn of<T>(&self, f: impl FnOnce() -> T) -> (T, u64) {
        let began = spent();
        let r = f();
        (r, (spent() - began).saturating_sub(self.own))
    }
}

/// Bytes of memory that this process has resident.
pub fn resident() -> u64 {
    let s = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = s.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}
