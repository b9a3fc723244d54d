//! Whether the caller of a request has left, for whoever works on the request.
use std::fmt::{Debug, Formatter};
use std::sync::Mutex;

type Action = Box<dyn FnOnce() + Send>;

#[derive(Default)]
enum State {
    #[default]
    Present,
    /// Present, and this is to be done once it leaves.
    Observed(Action),
    Gone,
}

/// The departure of one request's caller, which may or may not happen before the response.
#[derive(Default)]
pub struct Departure(Mutex<State>);

impl Departure {
    /// Calls the action once, when the caller leaves; at once if it has left already. An action
    /// that was set before is dropped.
    pub fn when_gone(&self, action: impl FnOnce() + Send + 'static) {
        let mut state = self.0.lock().expect("no thread panics with it");
        match *state {
            State::Gone => {
                drop(state);
                action();
            }
            _ => *state = State::Observed(Box::new(action)),
        }
    }

    /// Whether the caller has left.
    pub fn is_gone(&self) -> bool {
        matches!(*self.0.lock().expect("no thread panics with it"), State::Gone)
    }

    /// The caller has left.
    pub(super) fn note(&self) {
        let before = std::mem::replace(&mut *self.0.lock().expect("no thread panics with it"), State::Gone);
        if let State::Observed(action) = before {
            action();
        }
    }
}

impl Debug for Departure {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "Departure(gone: {})", self.is_gone())
    }
}
