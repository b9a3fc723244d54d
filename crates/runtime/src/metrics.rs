//! The figures of a process, as text in the OpenMetrics format.
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

/// What the name of each figure begins with.
const PREFIX: &str = "lanewing";
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// A part that does not answer within this is left out.
const PART_ANSWER: Duration = Duration::from_millis(500);

/// An empty registry, to be filled by all that has figures.
pub fn registry() -> Registry {
    Registry::with_prefix(PREFIX)
}

/// The counters that the parts of this process tell in their health.
struct PartFigures {
    parts: Vec<(&'static str, Handle)>,
}

impl fmt::Debug for PartFigures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_list().entries(self.parts.iter().map(|(name, _)| name)).finish()
    }
}

fn health(part: &Handle) -> Option<Health> {
    match part.ask(Ask::Ready, PART_ANSWER) {
        Some(NodeReply::Health(health)) => Some(health),
        _ => None,
    }
}

impl Collector for PartFigures {
    fn encode(&self, mut encoder: DescriptorEncoder) -> fmt::Result {
        let help = "Counters and sizes of the parts of this process";
        let mut figures = encoder.encode_descriptor("part_figure", help, None, MetricType::Gauge)?;
        for (part, handle) in &self.parts {
            let Some(health) = health(handle) else { continue };
            let more = [("ready", health.ready as u64), ("in hand", health.in_hand)];
            for (name, value) in health.counts.into_iter().chain(more) {
                let labels = [("part", *part), ("figure", name)];
                ConstGauge::new(value as i64).encode(figures.encode_family(&labels)?)?;
            }
        }
        Ok(())
    }
}

/// Enters the counters that parts tell in their health.
pub fn register_parts(registry: &mut Registry, parts: Vec<(&'static str, Handle)>) {
    registry.register_collector(Box::new(PartFigures { parts }));
}

/// All figures as text.
pub fn page(registry: &Registry) -> Reply {
    let mut body = String::new();
    match text::encode(&mut body, registry) {
        Ok(()) => {
            let heads = Headers::default().with("content-type", CONTENT_TYPE);
            Reply::new(200, heads, Arc::new(body.into_bytes()))
        }
        Err(_) => Reply::problem(500, "unreadable", "the figures could not be written as text"),
    }
}
