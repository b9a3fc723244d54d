//! Hands freed memory back, and says in the log what holds the memory of a process that comes
//! near its limit all the same.
use control_state::{Ask, NodeReply};
use runtime::process::{release_freed_memory, resident_bytes};
use runtime::shell::Handle;
use slog::Logger;
use std::thread;
use std::time::Duration;

const LOOK: Duration = Duration::from_millis(250);
const ANSWER: Duration = Duration::from_millis(500);
/// Freed memory is handed back from this share of the limit on, in hundredths.
const RELEASE: usize = 45;
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
            if share_used(limit) >= RELEASE {
                release_freed_memory();
            }
            let share = share_used(limit);
            if share >= next {
                next = share + STEP;
                report(limit, &parts, &log);
            }
        }
    });
}

fn share_used(limit: usize) -> usize {
    resident_bytes().unwrap_or(0) * 100 / limit.max(1)
}

fn report(limit: usize, parts: &[(&'static str, Handle)], log: &Logger) {
    let (used_kib, limit_kib) = (resident_bytes().unwrap_or(0) >> 10, limit >> 10);
    let all: Vec<String> = parts.iter().map(|(name, part)| format!("{name}: {}", figures(part))).collect();
    slog::error!(log, "memory runs short"; "used_kib" => used_kib, "limit_kib" => limit_kib,
        "held" => all.join("; "));
}

fn figures(part: &Handle) -> String {
    match part.ask(Ask::Ready, ANSWER) {
        Some(NodeReply::Health(health)) => {
            let some = health.counts.iter().filter(|(_, n)| *n > 0);
            let told: Vec<String> = some.map(|(name, n)| format!("{name}={n}")).collect();
            format!("in hand={} {}", health.in_hand, told.join(" "))
        }
        _ => "no answer".into(),
    }
}
