//! Behaviour of an edge that a deployment may choose.
use crate::edge::Edge;
use control_state::Denied;
use primitives::Span;

/// Behaviour that a deployment may choose. The default is the product's own.
#[derive(Clone, Debug)]
pub struct EdgePolicy {
    /// Retry credit earned by each first attempt; a retry costs 1.
    pub retry_credit_per_request: f64,
    /// Retries that all edges of the deployment together may save up. Each edge may save at least
    /// one.
    pub saved: f64,
    /// Whether an object has a home in each zone, which asks the home of its region, which asks the
    /// home of the deployment. Otherwise it has a single home. In both cases every edge keeps
    /// copies of what it requested, but evicts those it is not a home of first.
    pub near: bool,
    /// Whether origins are chosen by load and distance instead of by rendezvous hashing.
    pub load_balanced: bool,
    /// How long an object's home may take to report that it is working on a request.
    pub home: Span,
    /// The same for homes of wider reaches; when it expires, the origin is asked instead.
    pub wide_home_timeout: Span,
    /// When a denied caller should try again, at any edge. If `None`, it depends on the reason.
    pub back: Option<Span>,
    /// The same for a caller of an edge without a lease. Where callers follow readiness, no better
    /// edge was available to it.
    pub retry_after_no_lease: Span,
    /// If the average body of a route is larger than this many bytes, it is requested from an
    /// origin of the own region instead of being transferred from another region.
    pub cross_region_body_limit: usize,
}

impl Default for EdgePolicy {
    /// A tenth of a retry per request keeps extra attempts well under a fifth.
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
    /// When a denied caller should try again.
    pub(crate) fn retry_after(&self, reason: Denied) -> Span {
        let policy = &self.env.policy;
        match reason {
            Denied::NoLease => policy.retry_after_no_lease,
            _ => policy.back.unwrap_or(match reason {
                Denied::Ceiling | Denied::TooMany => Span::secs(2),
                Denied::Leaving => Span::secs(3),
                _ => Span::secs(1),
            }),
        }
    }
}
