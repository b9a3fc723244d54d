//! Metrics: where an edge's requests wait, and what happens to borrowed tokens.
use crate::jobs::Stage;
use crate::sources::Source;
use control_state::{Denied, Reach};
use primitives::metrics::{wait_histograms, WaitHistograms};
use primitives::Span;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::{Registry, Unit};

/// What a request waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WaitLabels {
    stage: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DenialLabels {
    reason: String,
}

/// Where a token came from and what happened to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TokenLabels {
    source: &'static str,
    fate: &'static str,
}

/// An event in the life of a token, borrowed from the leader or of the edge's own share.
#[derive(Copy, Clone, Debug)]
pub(crate) enum Token {
    Lent,
    LentUsed,
    /// It arrived after it had expired.
    LentLate,
    /// It expired here.
    LentUnused,
    OwnUsed,
}

impl Token {
    fn labels(self) -> TokenLabels {
        let (source, fate) = match self {
            Token::Lent => ("lent", "received"),
            Token::LentUsed => ("lent", "used"),
            Token::LentLate => ("lent", "late"),
            Token::LentUnused => ("lent", "unused"),
            Token::OwnUsed => ("own", "used"),
        };
        TokenLabels { source, fate }
    }
}

/// An edge's metrics. Clones count into the same values.
#[derive(Clone, Debug)]
pub struct EdgeMetrics {
    waits: WaitHistograms<WaitLabels>,
    denials: Family<DenialLabels, Counter>,
    tokens: Family<TokenLabels, Counter>,
}

impl Default for EdgeMetrics {
    fn default() -> EdgeMetrics {
        EdgeMetrics { waits: wait_histograms(), denials: Family::default(), tokens: Family::default() }
    }
}

fn stage_name(stage: &Stage) -> &'static str {
    match stage {
        Stage::Home(copy_request) => match copy_request.source {
            Source::Home(Reach::Zone) => "zone_home",
            Source::Home(Reach::Region) => "region_home",
            Source::Home(Reach::Deployment) => "deployment_home",
            Source::Ledger | Source::Origin => "ledger",
        },
        Stage::Claim(_) => "claim",
        Stage::Queued => "line",
        Stage::Out(..) => "origin",
    }
}

impl EdgeMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register_with_unit(
            "edge_wait",
            "How long requests waited for each step",
            Unit::Seconds,
            self.waits.clone(),
        );
        registry.register("edge_denials", "Requests denied, by reason", self.denials.clone());
        registry.register("edge_tokens", "Requests' worth of ceilings, by fate", self.tokens.clone());
    }

    pub(crate) fn note_wait(&self, stage: &Stage, waited: Span) {
        let labels = WaitLabels { stage: stage_name(stage) };
        self.waits.get_or_create(&labels).observe(waited.as_secs_f64());
    }

    pub(crate) fn note_denial(&self, reason: Denied) {
        self.denials.get_or_create(&DenialLabels { reason: format!("{reason:?}") }).inc();
    }

    pub(crate) fn note_tokens(&self, token: Token, count: usize) {
        if count > 0 {
            self.tokens.get_or_create(&token.labels()).inc_by(count as u64);
        }
    }
}
