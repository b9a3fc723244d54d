//! Says in the log what holds the memory of a process that comes near its limit.
use control_state::{Ask, Receipt};
use runtime::process::resident_bytes;
use runtime::shell::Handle;
use slog::Logger;
use std::thread;
use std::time::Duration;

const LOOK: Duration = Duration::from_millis(500);
const ANSWER: Duration = Duration::from_millis(500);
/// A line is written from this share of the limit on, in hundredths, and again for each
/// further step.
const FIRST: usize = 60;
const STEP: usize = 5;

/// Watches on a thread of its own; `parts` are asked for their figures, by name.
pub(crate) fn watch(limit: usize, parts: Vec<(&'static str, Handle)>, log: Logger) {
    thread::spawn(move || {
        let mut next = FIRST;
        loop {
            thread::sleep(LOOK);
            let used = resident_bytes().unwrap_or(0);
            let share = used * 100 / limit.max(1);
            if share >= next {
                next = share + STEP;
                report(used, limit, &parts, &log);
            }
        }
    });
}

fn report(used: usize, limit: usize, parts: &[(&'static str, Handle)], log: &Logger) {
    let (used_kib, limit_kib) = (used >> 10, limit >> 10);
    let all: Vec<String> = parts.iter().map(|(name, part)| format!("{name}: {}", figures(part))).collect();
    slog::error!(log, "memory runs short"; "used_kib" => used_kib, "limit_kib" => limit_kib,
        "held" => all.join("; "));
}

fn figures(part: &Handle) -> String {
    match part.ask(Ask::Ready, ANSWER) {
        Some(Receipt::Health(health)) => {
            let some = health.counts.iter().filter(|(_, n)| *n > 0);
            let told: Vec<String> = some.map(|(name, n)| format!("{name}={n}")).collect();
            format!("in hand={} {}", health.in_hand, told.join(" "))
        }
        _ => "no answer".into(),
    }
}
