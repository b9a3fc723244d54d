//! The request handler and the observer that is called after each response.
use super::departure_monitor::DepartureMonitor;
use super::HttpRequest;
use crate::front::Reply;
use crate::memory_budget::MemoryBudget;
use primitives::Span;
use std::sync::Arc;

pub(super) type Serve = dyn Fn(HttpRequest) -> Reply + Send + Sync;

/// Summary of one request and its response, for an observer.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub method: String,
    pub target: String,
    pub status: u16,
    /// Size of the response body in bytes.
    pub bytes: usize,
    /// Time from the request's last byte to the handler's reply.
    pub waited: Span,
    /// Time from the handler's reply to the last byte of the response written.
    pub sending: Span,
    /// Whether the response was written completely.
    pub written: bool,
}

/// Called after each response, on the connection's thread.
pub type ExchangeObserver = dyn Fn(Exchange) + Send + Sync;

/// Optional features of a server.
#[derive(Clone, Default)]
pub struct ServerOptions {
    /// Called after each response was written.
    pub watch: Option<Arc<ExchangeObserver>>,
    /// Memory budget for the bodies of all in-flight requests; without it they are not limited
    /// together.
    pub bodies: Option<Arc<MemoryBudget>>,
    /// Whether requests are told of callers that leave before their response.
    pub departures: bool,
}

/// The request handler with the server's options.
pub(super) struct Service {
    pub serve: Box<Serve>,
    pub options: ServerOptions,
    pub departures: Option<DepartureMonitor>,
}
