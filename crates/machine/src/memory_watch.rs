//! Keeps the process below its memory limit: returns freed memory to the operating system, has edge and
//! ledger give up what they can when that does not suffice, and logs which parts hold memory.
use control_state::{Ask, MemoryPressure, NodeReply};
use runtime::process::{release_freed_memory, resident_bytes};
use runtime::shell::Handle;
use slog::Logger;
use std::thread;
use std::time::Duration;

const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The same while much of the limit is used.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Limit for a part's answer about its counters.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Percentage of the limit from which on freed memory is returned.
const RELEASE_PERCENT: usize = 45;
/// Percentages of the limit from which on copies are dropped, and from which on requests are denied too.
const HIGH_PERCENT: usize = 80;
const CRITICAL_PERCENT: usize = 90;
/// Percentage of the limit from which on the use of memory is logged.
const FIRST_LOG_PERCENT: usize = 60;
/// Further percentage points of growth before it is logged again.
const LOG_STEP_PERCENT: usize = 5;

/// Starts a thread that watches the memory of the process. `limit` is in bytes; `parts` are the named parts
/// whose counters are logged. Edge and ledger are told when memory runs short.
pub(crate) fn watch(
    limit: usize,
    edge: Handle,
    ledger: Option<Handle>,
    parts: Vec<(&'static str, Handle)>,
    log: Logger,
) {
    thread::spawn(move || {
        let mut next_log_percent = FIRST_LOG_PERCENT;
        let mut told = MemoryPressure::None;
        loop {
            if percent_used(limit) >= RELEASE_PERCENT {
                release_freed_memory();
            }
            let percent = percent_used(limit);
            let pressure = pressure_at(percent);
            if pressure != MemoryPressure::None || pressure != told {
                edge.ask(Ask::MemoryPressure(pressure), ANSWER_TIMEOUT);
                // Its answer may wait for the disk.
                ledger.iter().for_each(|ledger| {
                    ledger.ask(Ask::MemoryPressure(pressure), Duration::ZERO);
                });
                told = pressure;
            }
            if percent >= next_log_percent {
                next_log_percent = percent + LOG_STEP_PERCENT;
                report(limit, &parts, &log);
            }
            thread::sleep(if percent >= FIRST_LOG_PERCENT { CLOSE_CHECK_INTERVAL } else { CHECK_INTERVAL });
        }
    });
}

/// What the edge has to give up where this percentage of the limit is used.
pub fn pressure_at(percent: usize) -> MemoryPressure {
    match percent {
        CRITICAL_PERCENT.. => MemoryPressure::Critical,
        HIGH_PERCENT.. => MemoryPressure::High,
        _ => MemoryPressure::None,
    }
}

/// Resident memory in percent of the limit.
fn percent_used(limit: usize) -> usize {
    resident_bytes().unwrap_or(0) * 100 / limit.max(1)
}

fn report(limit: usize, parts: &[(&'static str, Handle)], log: &Logger) {
    let (used_kib, limit_kib) = (resident_bytes().unwrap_or(0) >> 10, limit >> 10);
    let held: Vec<String> = parts.iter().map(|(name, part)| format!("{name}: {}", counters(part))).collect();
    slog::error!(log, "memory use is near the limit"; "used_kib" => used_kib, "limit_kib" => limit_kib,
        "held" => held.join("; "));
}

/// The part's requests in flight and its counters that are not zero, as text for the log.
fn counters(part: &Handle) -> String {
    match part.ask(Ask::Ready, ANSWER_TIMEOUT) {
        Some(NodeReply::Health(health)) => {
            let nonzero = health.counts.iter().filter(|(_, n)| *n > 0);
            let counters: Vec<String> = nonzero.map(|(name, n)| format!("{name}={n}")).collect();
            format!("in_flight={} {}", health.in_hand, counters.join(" "))
        }
        _ => "no answer".into(),
    }
}
