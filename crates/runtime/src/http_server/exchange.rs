//! What answers requests, and what is told of each once its answer was written.
use super::HttpRequest;
use crate::front::Reply;
use crate::memory_budget::MemoryBudget;
use primitives::Span;
use std::sync::Arc;

pub(super) type Serve = dyn Fn(HttpRequest) -> Reply + Send + Sync;

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
pub type ExchangeObserver = dyn Fn(Exchange) + Send + Sync;

/// What a door may have besides.
#[derive(Clone, Default)]
pub struct ServerOptions {
    /// Told of each request once its answer was written.
    pub watch: Option<Arc<ExchangeObserver>>,
    /// Memory for the bodies of all requests in hand; without it they are not counted.
    pub bodies: Option<Arc<MemoryBudget>>,
}

/// What answers requests, and what stands beside it.
pub(super) struct Service {
    pub serve: Box<Serve>,
    pub extras: ServerOptions,
}
