//! Shutting a process down without cutting off requests.
use control_state::{Ask, NodeReply};
use primitives::Span;
use runtime::front::Open;
use runtime::settings::Limits;
use runtime::shell::Handle;
use signal_hook::iterator::Signals;
use slog::info;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How often a process that shuts down checks for in-flight requests.
const LEAVE_POLL: Duration = Duration::from_millis(50);
/// It ends after this many consecutive checks without in-flight requests.
const IDLE_POLLS: u32 = 4;
/// Timeout of one such check.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a thread that shuts the process down on SIGTERM or SIGINT.
pub fn shut_down_on_signal(
    mut signals: Signals,
    handle: Handle,
    open: Arc<Open>,
    limits: Limits,
    log: slog::Logger,
) {
    thread::spawn(move || {
        if let Some(signal) = signals.forever().next() {
            info!(log, "shutting down"; "signal" => signal);
            drain(&handle, &open, limits.patience, limits.grace);
            open.close_idle();
            handle.stop();
        }
    });
}

/// Drains this process: it reports that it is not ready, accepts requests for the grace period,
/// and then waits for in-flight ones, so that no request that an origin is working on is cut off.
fn drain(handle: &Handle, open: &Open, patience: Span, grace: Span) {
    let longest = Duration::from(patience.times(3) + grace);
    let mut idle_polls = 0;
    for _ in 0..longest.as_millis() / LEAVE_POLL.as_millis() {
        let busy = match handle.ask(Ask::Drain, DRAIN_TIMEOUT) {
            Some(NodeReply::Health(health)) => health.in_hand > 0 || health.accepting_requests,
            _ => false,
        };
        idle_polls = if busy || open.any() { 0 } else { idle_polls + 1 };
        if idle_polls >= IDLE_POLLS {
            return;
        }
        thread::sleep(LEAVE_POLL);
    }
}
