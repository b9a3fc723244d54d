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

fn asked(h: &Handle) -> (bool, bool) {
    match h.ask(Ask::Drain, Duration::from_secs(1)) {
        Some(Receipt::Health(x)) => (x.taking, x.in_hand > 0),
        _ => (false, false),
    }
}

pub(crate) fn leave(h: &Handle, callers: Callers, grace: Span) {
    let until = runtime::now() + Span(grace.0.saturating_sub(BACK.0));
    callers.into_iter().for_each(|d| d.leave());
    while asked(h).0 && runtime::now() < until {
        thread::sleep(LOOK);
    }
    callers.into_iter().for_each(|d| d.shut());
    let busy = |h: &Handle| asked(h).1 || callers.is_some_and(|d| d.in_hand() > 0);
    while busy(h) && runtime::now() < until {
        thread::sleep(LOOK);
    }
}

/// The outcomes of the last requests are with the ledgers by now.
pub(crate) fn hand_over(ledger: &Handle) {
    let until = runtime::now() + HAND_OVER;
    while asked(ledger).1 && runtime::now() < until {
        thread::sleep(LOOK);
    }
}
