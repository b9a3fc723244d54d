//! Leaving in order: not ready at once, serving on until callers have noticed, then
//! no more connections, and the end once nothing is in hand. The ledger goes last: it
//! hands what it holds to the others.
use crate::run::Callers;
use control_state::*;
use primitives::Span;
use runtime::shell::Handle;
use std::thread;
use std::time::Duration;

const LOOK: Duration = Duration::from_millis(40);
/// What is kept back of the grace, so that the end is ours.
const BACK: Span = Span::ms(400);

/// The longest that the ledger may take; it gives up earlier by itself.
const HAND_OVER: Span = Span::ms(2500);

/// How far a part is with its leaving.
struct Progress {
    accepting_requests: bool,
    busy: bool,
}

fn drain(part: &Handle) -> Progress {
    match part.ask(Ask::Drain, Duration::from_secs(1)) {
        Some(NodeReply::Health(x)) => {
            Progress { accepting_requests: x.accepting_requests, busy: x.in_hand > 0 }
        }
        _ => Progress { accepting_requests: false, busy: false },
    }
}

/// The edge leaves its callers while the controller leaves its seat; then the ledger hands
/// over, as the outcomes of the last requests are with the ledgers by then.
pub(crate) fn leave(
    edge: &Handle,
    controller: &Handle,
    ledger: Option<&Handle>,
    callers: Callers,
    grace: Span,
) {
    let until = runtime::now() + Span(grace.0.saturating_sub(BACK.0));
    callers.into_iter().for_each(|d| d.leave());
    let both = || (drain(controller), drain(edge));
    while both().1.accepting_requests && runtime::now() < until {
        thread::sleep(LOOK);
    }
    callers.into_iter().for_each(|d| d.shut());
    let busy = || {
        let (controller, edge) = both();
        controller.busy || edge.busy || callers.is_some_and(|d| d.in_hand() > 0)
    };
    while busy() && runtime::now() < until {
        thread::sleep(LOOK);
    }
    let handed_over = until.min(runtime::now() + HAND_OVER);
    while ledger.is_some_and(|l| drain(l).busy) && runtime::now() < handed_over {
        thread::sleep(LOOK);
    }
}
