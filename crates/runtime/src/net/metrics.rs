//! Figures of what the links of a process send.
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

/// What all links of a process sent; clones count together.
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
    /// Enters all figures into a registry.
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

    /// The figures of one part's links.
    pub fn of_part(&self, part: &'static str) -> PartLinkMetrics {
        let wait = self.waits.get_or_create(&PartLabels { part }).clone();
        PartLinkMetrics { part, all: self.clone(), wait }
    }
}

/// What the links of one part sent.
#[derive(Clone, Debug)]
pub struct PartLinkMetrics {
    part: &'static str,
    all: LinkMetrics,
    wait: Histogram,
}

impl Default for PartLinkMetrics {
    fn default() -> PartLinkMetrics {
        LinkMetrics::default().of_part("")
    }
}

impl PartLinkMetrics {
    pub(super) fn note_queued(&self, message: &'static str, bytes: usize) {
        let labels = MessageLabels { part: self.part, message };
        self.all.messages.get_or_create(&labels).inc();
        self.all.bytes.get_or_create(&labels).inc_by(bytes as u64);
    }

    /// A message was handed to the kernel whole, after so long.
    pub(super) fn note_written(&self, waited: Duration) {
        self.wait.observe(waited.as_secs_f64());
    }
}
