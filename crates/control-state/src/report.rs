//! Reports for operators on calls that were slow or got no definite answer.
use primitives::{Addr, Span};
use std::fmt;

/// Calls that are answered within this time are not reported.
pub const SLOW_CALL: Span = Span::ms(400);

/// How one controller answered a forwarded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// No answer so far.
    Silent,
    /// It could not answer, with its reason.
    Declined(String),
    /// Its answer was returned to the caller.
    Answered,
}

/// The forwarding of a call to one controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardAttempt {
    pub to: Addr,
    /// From the start of the call until it was sent to this controller.
    pub after: Span,
    /// From then until the answer.
    pub took: Option<Span>,
    pub result: Attempt,
}

/// A report to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// A call that an edge forwarded was slow or got no definite answer in time.
    ForwardedCall { what: &'static str, clear: bool, took: Span, attempts: Vec<ForwardAttempt> },
    /// A controller was slow to answer a read of the state, or could not answer it.
    Reading { outcome: &'static str, took: Span },
}

impl fmt::Display for ForwardAttempt {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} at {} ms", self.to, self.after.as_ms())?;
        match &self.result {
            Attempt::Silent => write!(f, " silent"),
            Attempt::Declined(why) => write!(f, " declined ({why})"),
            Attempt::Answered => write!(f, " answered"),
        }?;
        self.took.map_or(Ok(()), |took| write!(f, " after {} ms", took.as_ms()))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Report::ForwardedCall { what, clear, took, attempts } => {
                let end = if *clear { "answered" } else { "no clear answer" };
                write!(f, "{what}: {end} after {} ms", took.as_ms())?;
                attempts.iter().try_for_each(|attempt| write!(f, "; {attempt}"))
            }
            Report::Reading { outcome, took } => write!(f, "reading {outcome} after {} ms", took.as_ms()),
        }
    }
}
