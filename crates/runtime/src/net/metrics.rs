//! Metrics of the messages that the links of a process send.
use primitives::metrics::{wait_histograms, WaitHistograms};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PartLabels {
    part: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MessageLabels {
    part: &'static str,
    message: &'static str,
}

/// Metrics of all links of a process. Clones share their counters.
#[derive(Clone, Debug)]
pub struct LinkMetrics {
    messages: Family<MessageLabels, Counter>,
    bytes: Family<MessageLabels, Counter>,
    waits: WaitHistograms<PartLabels>,
}

impl Default for LinkMetrics {
    fn default() -> LinkMetrics {
        LinkMetrics { messages: Family::default(), bytes: Family::default(), waits: wait_histograms() }
    }
}

impl LinkMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("link_messages", "Messages queued to be sent, by kind", self.messages.clone());
        registry.register_with_unit(
            "link_sent",
            "Size of messages queued to be sent, by kind",
            Unit::Bytes,
            self.bytes.clone(),
        );
        registry.register_with_unit(
            "link_wait",
            "How long messages waited to be written to their connection",
            Unit::Seconds,
            self.waits.clone(),
        );
    }

    /// The metrics of the links of one part.
    pub fn of_part(&self, part: &'static str) -> PartLinkMetrics {
        let wait = self.waits.get_or_create(&PartLabels { part }).clone();
        PartLinkMetrics { part, metrics: self.clone(), wait }
    }
}

/// Metrics of the links of one part.
#[derive(Clone, Debug)]
pub struct PartLinkMetrics {
    part: &'static str,
    metrics: LinkMetrics,
    wait: Histogram,
}

impl Default for PartLinkMetrics {
    fn default() -> PartLinkMetrics {
        LinkMetrics::default().of_part("")
    }
}

impl PartLinkMetrics {
    /// Counts a message queued to be sent, with the size of its frame.
    pub(super) fn record_queued(&self, message: &'static str, bytes: usize) {
        let labels = MessageLabels { part: self.part, message };
        self.metrics.messages.get_or_create(&labels).inc();
        self.metrics.bytes.get_or_create(&labels).inc_by(bytes as u64);
    }

    /// Records how long a frame waited after it was due until the kernel accepted all of it.
    pub(super) fn record_written(&self, waited: Duration) {
        self.wait.observe(waited.as_secs_f64());
    }
}
