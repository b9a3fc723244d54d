//! Log lines for control calls that were slow or not answered whole, not too many of them.
use control_state::SLOW_CALL;
use primitives::{Mono, Span};
use runtime::http_server::Exchange;
use slog::Logger;
use std::sync::Mutex;

/// Between two lines; what comes in between is counted only.
const EVERY: Span = Span::ms(500);

/// When the last line was written, and how many calls were left out since.
#[derive(Default)]
struct Written {
    last: Mono,
    left_out: u64,
}

/// Writes the lines of one listener.
pub(crate) struct SlowCalls {
    log: Logger,
    written: Mutex<Written>,
}

impl SlowCalls {
    pub(crate) fn new(log: Logger) -> SlowCalls {
        SlowCalls { log, written: Mutex::default() }
    }

    /// A line if the call was slow or its answer did not go out whole. Reading calls always
    /// have one: they are rare, and of many other calls each is repeated anyway.
    pub(crate) fn note(&self, now: Mono, exchange: &Exchange) {
        if exchange.waited + exchange.sending < SLOW_CALL && exchange.written {
            return;
        }
        if let Some(left_out) = self.turn(now, exchange.method == "GET") {
            self.write(exchange, left_out);
        }
    }

    fn turn(&self, now: Mono, always: bool) -> Option<u64> {
        let mut written = self.written.lock().expect("no thread panics with it");
        if !always && now - written.last < EVERY {
            written.left_out += 1;
            return None;
        }
        written.last = now;
        Some(std::mem::take(&mut written.left_out))
    }

    fn write(&self, exchange: &Exchange, left_out: u64) {
        let Exchange { method, target, status, bytes, waited, sending, written } = exchange;
        let (waited_ms, sending_ms) = (waited.as_ms(), sending.as_ms());
        slog::error!(self.log, "a slow control call"; "method" => method, "target" => target,
            "status" => status, "bytes" => bytes, "waited_ms" => waited_ms, "sending_ms" => sending_ms,
            "written" => written, "left_out" => left_out);
    }
}
