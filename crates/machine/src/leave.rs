//! Graceful shutdown. The machine reports not ready at once but keeps serving until callers have noticed, then
//! stops accepting connections, and ends once no request is in flight. The ledger drains last: it hands its
//! records over to the other ledgers.
use crate::run::CallerServer;
use control_state::*;
use primitives::Span;
use runtime::shell::Handle;
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Part of the grace period held in reserve, so that the process exits by itself before it is killed.
const GRACE_RESERVE: Span = Span::ms(400);

/// Time limit for the ledger's handover; normally the ledger gives up earlier by itself.
const HANDOVER_TIMEOUT: Span = Span::ms(2500);

/// How far a part has drained.
struct DrainProgress {
    accepting_requests: bool,
    busy: bool,
}

/// Asks a part to drain. A part that does not answer within a second counts as drained.
fn drain(part: &Handle) -> DrainProgress {
    match part.ask(Ask::Drain, Duration::from_secs(1)) {
        Some(NodeReply::Health(health)) => {
            DrainProgress { accepting_requests: health.accepting_requests, busy: health.in_hand > 0 }
        }
        _ => DrainProgress { accepting_requests: false, busy: false },
    }
}

/// Drains the edge and the controller at the same time, then the ledger: only then have the ledgers received the
/// outcomes of the last requests. Returns when everything is drained or the grace period is nearly over.
pub(crate) fn leave(
    edge: &Handle,
    controller: &Handle,
    ledger: Option<&Handle>,
    callers: CallerServer,
    grace: Span,
) {
    let deadline = runtime::now() + Span(grace.0.saturating_sub(GRACE_RESERVE.0));
    callers.into_iter().for_each(|server| server.leave());
    let drain_both = || (drain(controller), drain(edge));
    while drain_both().1.accepting_requests && runtime::now() < deadline {
        thread::sleep(POLL_INTERVAL);
    }
    callers.into_iter().for_each(|server| server.shut());
    let busy = || {
        let (controller, edge) = drain_both();
        controller.busy || edge.busy || callers.is_some_and(|server| server.in_hand() > 0)
    };
    while busy() && runtime::now() < deadline {
        thread::sleep(POLL_INTERVAL);
    }
    let handover_deadline = deadline.min(runtime::now() + HANDOVER_TIMEOUT);
    while ledger.is_some_and(|l| drain(l).busy) && runtime::now() < handover_deadline {
        thread::sleep(POLL_INTERVAL);
    }
}
