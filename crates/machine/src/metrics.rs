//! The listener at which a process tells its figures.
use prometheus_client::registry::Registry;
use runtime::front::Reply;
use runtime::http_server::{self, Limits};
use runtime::metrics;
use runtime::shell::Handle;
use std::net::TcpListener;
use std::sync::Arc;

const PATH: &str = "/metrics";

/// Serves all that is in the registry, and the counters of the parts, by name.
pub(crate) fn serve(
    listener: TcpListener,
    limits: fn() -> Limits,
    mut registry: Registry,
    parts: Vec<(&'static str, Handle)>,
) {
    metrics::register_parts(&mut registry, parts);
    http_server::open(listener, Arc::new(limits), move |visit| match visit.target.as_str() {
        PATH => metrics::page(&registry),
        _ => Reply::problem(404, "not found", "only the figures are told here"),
    });
}
