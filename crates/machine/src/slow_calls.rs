//! Rate-limited logging of control calls that were slow or whose answer was not fully sent.
use control_state::SLOW_CALL;
use primitives::{Mono, Span};
use runtime::http_server::Exchange;
use slog::Logger;
use std::sync::Mutex;

/// Minimum interval between log lines; calls in between are only counted.
const LOG_INTERVAL: Span = Span::ms(500);

/// When the last line was logged, and how many calls have been left out since.
#[derive(Default)]
struct RateLimit {
    last: Mono,
    left_out: u64,
}

/// Logs the slow calls of one listener.
pub(crate) struct SlowCalls {
    log: Logger,
    rate_limit: Mutex<RateLimit>,
}

impl SlowCalls {
    pub(crate) fn new(log: Logger) -> SlowCalls {
        SlowCalls { log, rate_limit: Mutex::default() }
    }

    /// Logs the call if it was slow or its answer was not fully sent. GET calls are exempt from the rate limit:
    /// they are rare, while most other calls are repeated by their callers.
    pub(crate) fn log_if_slow(&self, now: Mono, exchange: &Exchange) {
        if exchange.waited + exchange.sending < SLOW_CALL && exchange.written {
            return;
        }
        if let Some(left_out) = self.permit(now, exchange.method == "GET") {
            self.write(exchange, left_out);
        }
    }

    /// Whether a line may be logged now, with the number of calls left out since the last one.
    fn permit(&self, now: Mono, always: bool) -> Option<u64> {
        let mut rate_limit = self.rate_limit.lock().expect("no thread panics with it");
        if !always && now - rate_limit.last < LOG_INTERVAL {
            rate_limit.left_out += 1;
            return None;
        }
        rate_limit.last = now;
        Some(std::mem::take(&mut rate_limit.left_out))
    }

    fn write(&self, exchange: &Exchange, left_out: u64) {
        let Exchange { method, target, status, bytes, waited, sending, written } = exchange;
        let (waited_ms, sending_ms) = (waited.as_ms(), sending.as_ms());
        slog::error!(self.log, "control call was slow or its answer was not fully sent";
            "method" => method, "target" => target, "status" => status, "bytes" => bytes, "waited_ms" => waited_ms, "sending_ms" => sending_ms,
            "written" => written, "left_out" => left_out);
    }
}
