//! Timeouts of a replica, and rules that only checkers switch off.
use primitives::Span;

/// How patient the machine is. Free parameters of the paper's design.
#[derive(Copy, Clone, Debug)]
pub struct ReplicaConfig {
    /// Taken as the quorum round trip until one was measured.
    pub initial_rtt: Span,
    /// A member unheard for this long is suspected.
    pub suspect_after: Span,
    /// A command unfinished for this long is recovered if its leader is suspected,
    /// and after five times this anyway.
    pub patience: Span,
    /// How often digests of the stable sets are compared.
    pub compare: Span,
    /// The wait rule; switched off only by the checker's own planted fault.
    pub wait_rule: bool,
    /// Recovery as the paper has it to the letter; switched on only to show what it
    /// leads to, see docs/paper.md.
    pub unmodified_recovery: bool,
}

impl Default for ReplicaConfig {
    fn default() -> ReplicaConfig {
        ReplicaConfig {
            initial_rtt: Span::ms(50),
            suspect_after: Span::ms(1000),
            patience: Span::ms(400),
            compare: Span::ms(200),
            wait_rule: true,
            unmodified_recovery: false,
        }
    }
}
