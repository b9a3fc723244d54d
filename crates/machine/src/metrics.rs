//! The HTTP listener for the metrics of the process.
use prometheus_client::registry::Registry;
use runtime::front::Reply;
use runtime::http_server::{self, Limits};
use runtime::metrics;
use runtime::shell::Handle;
use std::net::TcpListener;
use std::sync::Arc;

const PATH: &str = "/metrics";

/// Serves the metrics of the registry and the counters of the named parts.
pub(crate) fn serve(
    listener: TcpListener,
    limits: fn() -> Limits,
    mut registry: Registry,
    parts: Vec<(&'static str, Handle)>,
) {
    metrics::register_parts(&mut registry, parts);
    http_server::open(listener, Arc::new(limits), move |request| match request.target.as_str() {
        PATH => metrics::page(&registry),
        _ => Reply::problem(404, "not found", "only the metrics path is served here"),
    });
}
