//! Timeouts of a replica, and rules that only checkers switch off.
use primitives::Span;

/// How patient the machine is. Free parameters of the paper's design.
#[derive(Copy, Clone, Debug)]
pub struct Pace {
    /// Taken as the quorum round trip until one was measured.
    pub first_rtt: Span,
    /// A member unheard for this long is suspected.
    pub suspect: Span,
    /// A command unfinished for this long is recovered if its leader is suspected,
    /// and after five times this anyway.
    pub patience: Span,
    /// How often digests of the stable sets are compared.
    pub compare: Span,
    /// The wait rule; switched off only by the checker's own planted fault.
    pub wait_rule: bool,
    /// Recovery as the paper has it to the letter; switched on only to show what it
    /// leads to, see docs/paper.md.
    pub to_the_letter: bool,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            first_rtt: Span::ms(50),
            suspect: Span::ms(1000),
            patience: Span::ms(400),
            compare: Span::ms(200),
            wait_rule: true,
            to_the_letter: false,
        }
    }
}
