//! Timeouts of a replica, and switches for protocol rules that only tests use.
use primitives::Span;

/// Configuration of a replica. The paper leaves the timeouts open.
#[derive(Copy, Clone, Debug)]
pub struct ReplicaConfig {
    /// Round-trip time to a quorum that is assumed until one has been measured.
    pub initial_rtt: Span,
    /// A member from which no message has arrived for this long is suspected of having failed.
    pub suspect_after: Span,
    /// A command that is unfinished for this long is recovered if its leader is suspected or
    /// is this replica; otherwise after five times this span.
    pub recovery_timeout: Span,
    /// Interval at which digests of the sets of stable commands are sent.
    pub digest_interval: Span,
    /// Applies the wait rule. Only tests switch it off, to show that the checker notices.
    pub wait_rule: bool,
    /// Recovers commands exactly as the paper describes. Only tests switch it on, to show the
    /// fault that this leads to; see docs/paper.md.
    pub unmodified_recovery: bool,
}

impl Default for ReplicaConfig {
    fn default() -> ReplicaConfig {
        ReplicaConfig {
            initial_rtt: Span::ms(50),
            suspect_after: Span::ms(1000),
            recovery_timeout: Span::ms(400),
            digest_interval: Span::ms(200),
            wait_rule: true,
            unmodified_recovery: false,
        }
    }
}
