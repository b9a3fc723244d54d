//! Metrics of a process, as text in the OpenMetrics format.
use crate::front::Reply;
use crate::shell::Handle;
use control_state::{Ask, Headers, Health, NodeReply};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{text, DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::Registry;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Prefix of all metric names.
const PREFIX: &str = "lanewing";
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Timeout for a part's counters; the counters of one that does not answer are omitted.
const PART_TIMEOUT: Duration = Duration::from_millis(500);

/// An empty registry with the common prefix.
pub fn registry() -> Registry {
    Registry::with_prefix(PREFIX)
}

/// Collects the counters that the parts of this process report in their health.
struct PartCollector {
    parts: Vec<(&'static str, Handle)>,
}

impl fmt::Debug for PartCollector {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_list().entries(self.parts.iter().map(|(name, _)| name)).finish()
    }
}

fn health(part: &Handle) -> Option<Health> {
    match part.ask(Ask::Ready, PART_TIMEOUT) {
        Some(NodeReply::Health(health)) => Some(health),
        _ => None,
    }
}

impl Collector for PartCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> fmt::Result {
        let help = "Counters and sizes of the parts of this process";
        let mut family = encoder.encode_descriptor("part_figure", help, None, MetricType::Gauge)?;
        for (part, handle) in &self.parts {
            let Some(health) = health(handle) else { continue };
            let other_counts = [("ready", health.ready as u64), ("in hand", health.in_hand)];
            for (name, value) in health.counts.into_iter().chain(other_counts) {
                let labels = [("part", *part), ("figure", name)];
                ConstGauge::new(value as i64).encode(family.encode_family(&labels)?)?;
            }
        }
        Ok(())
    }
}

/// Registers the counters that parts report in their health.
pub fn register_parts(registry: &mut Registry, parts: Vec<(&'static str, Handle)>) {
    registry.register_collector(Box::new(PartCollector { parts }));
}

/// The response with all metrics as text.
pub fn page(registry: &Registry) -> Reply {
    let mut body = String::new();
    match text::encode(&mut body, registry) {
        Ok(()) => {
            let heads = Headers::default().with("content-type", CONTENT_TYPE);
            Reply::new(200, heads, Arc::new(body.into_bytes()))
        }
        Err(_) => Reply::problem(500, "unreadable", "the metrics could not be encoded as text"),
    }
}
