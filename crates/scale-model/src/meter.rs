//! Measuring processor time and memory.
use crate::plan::*;
use nix::time::{clock_gettime, ClockId};
use snafu::ResultExt;

const CLOCK: ClockId = ClockId::CLOCK_THREAD_CPUTIME_ID;
const NANOS_PER_SECOND: u64 = 1_000_000_000;
/// How often the clock's own cost is measured.
const CALIBRATIONS: u64 = 2000;
const PAGE_BYTES: u64 = 4096;

/// What one process of the model has sent, received and computed since the last reset.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Messages received.
    pub msgs_in: u64,
    /// Messages sent.
    pub msgs_out: u64,
    /// Bytes received, with the headers of frames.
    pub bytes_in: u64,
    /// Bytes sent, with the headers of frames.
    pub bytes_out: u64,
    /// Nanoseconds of processor time for checking, decoding, stepping and encoding.
    pub cpu: u64,
}

/// Measures the processor time of the calling thread.
#[derive(Debug)]
pub struct Meter {
    /// Nanoseconds that reading the clock twice takes by itself.
    overhead: u64,
}

fn thread_time() -> u64 {
    let time = clock_gettime(CLOCK);
    time.map_or(0, |time| time.tv_sec() as u64 * NANOS_PER_SECOND + time.tv_nsec() as u64)
}

impl Meter {
    /// Calibrates a meter. It is an error if the system has no such clock.
    pub fn new() -> Result<Meter> {
        clock_gettime(CLOCK).context(ClockSnafu)?;
        let uncalibrated = Meter { overhead: 0 };
        let total: u64 = (0..CALIBRATIONS).map(|_| uncalibrated.of(|| ()).1).sum();
        Ok(Meter { overhead: total / CALIBRATIONS })
    }

    /// Calls a function; returns its result and the nanoseconds of processor time it took.
    pub fn of<T>(&self, function: impl FnOnce() -> T) -> (T, u64) {
        let began = thread_time();
        let result = function();
        (result, (thread_time() - began).saturating_sub(self.overhead))
    }
}

/// Resident memory of this process in bytes; 0 if the system does not tell.
pub fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
