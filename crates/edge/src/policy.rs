//! What a deployment may choose of an edge's ways.
use crate::edge::Edge;
use control_state::Denied;
use primitives::Span;

/// What a deployment may choose; the default is the product's own.
#[derive(Clone, Debug)]
pub struct EdgePolicy {
    /// What each first try earns of an extra one.
    pub retry_credit_per_request: f64,
    /// Extra tries that all edges of the deployment together may have saved up; each
    /// may have one at least.
    pub saved: f64,
    /// An object has a home in each zone, which asks the one of its region, which asks the one of
    /// the deployment. Else it has one home. Either way every edge keeps what it asked for, as a guest that makes room first.
    pub near: bool,
    /// Origins are chosen by load and nearness, not by rendezvous.
    pub load_balanced: bool,
    /// How long an object's home may take to say that it is at it.
    pub home: Span,
    /// The same of homes of wider reaches: in their place the origin is asked.
    pub wide_home_timeout: Span,
    /// When a denied caller should come back, to any edge; else it depends on why.
    pub back: Option<Span>,
    /// The same of one that came to an edge without a lease: where callers follow readiness, it
    /// had nowhere better to go.
    pub retry_after_no_lease: Span,
    /// Bodies that are larger, in the middle, are asked of an origin of the own region rather than
    /// carried from another region.
    pub cross_region_body_limit: usize,
}

impl Default for EdgePolicy {
    /// A tenth: well under a fifth.
    fn default() -> EdgePolicy {
        EdgePolicy {
            retry_credit_per_request: 0.1,
            saved: 0.0,
            home: Span::ms(400),
            wide_home_timeout: Span::ms(400),
            near: false,
            load_balanced: false,
            back: None,
            retry_after_no_lease: Span::secs(3),
            cross_region_body_limit: usize::MAX,
        }
    }
}

impl Edge {
    /// When a denied client should ask again.
    pub(crate) fn retry_after(&self, d: Denied) -> Span {
        let policy = &self.env.policy;
        match d {
            Denied::NoLease => policy.retry_after_no_lease,
            _ => policy.back.unwrap_or(match d {
                Denied::Ceiling | Denied::TooMany => Span::secs(2),
                Denied::Leaving => Span::secs(3),
                _ => Span::secs(1),
            }),
        }
    }
}
