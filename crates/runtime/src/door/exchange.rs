//! What answers requests, and what is told of each once its answer was written.
use super::Visit;
use crate::front::Reply;
use crate::room::Room;
use primitives::Span;
use std::sync::Arc;

pub(super) type Serve = dyn Fn(Visit) -> Reply + Send + Sync;

/// How one request went, for whoever watches.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub method: String,
    pub target: String,
    pub status: u16,
    /// Bytes of the answer's body.
    pub bytes: usize,
    /// From the request's last byte to the answer, and from there to its last byte written.
    pub waited: Span,
    pub sending: Span,
    /// Whether the answer was written whole.
    pub written: bool,
}

/// Is told how each request went, on its connection's thread.
pub type Watch = dyn Fn(Exchange) + Send + Sync;

/// What a door may have besides.
#[derive(Clone, Default)]
pub struct Extras {
    /// Told of each request once its answer was written.
    pub watch: Option<Arc<Watch>>,
    /// Memory for the bodies of all requests in hand; without it they are not counted.
    pub bodies: Option<Arc<Room>>,
}

/// What answers requests, and what stands beside it.
pub(super) struct Service {
    pub serve: Box<Serve>,
    pub extras: Extras,
}
