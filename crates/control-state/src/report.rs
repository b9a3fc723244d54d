//! What a part tells its operators about a call that took long or got no clear answer.
use primitives::{Addr, Span};
use std::fmt;

/// Calls that are answered faster are not reported.
pub const SLOW_CALL: Span = Span::ms(400);

/// How one controller answered a forwarded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// Asked, not answered so far.
    Silent,
    /// "Not now", with the controller's reason.
    Declined(String),
    /// The answer that was passed on.
    Answered,
}

/// One controller that a call was forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardAttempt {
    pub to: Addr,
    /// From the call's begin to its sending, and from there to the answer.
    pub after: Span,
    pub took: Option<Span>,
    pub result: Attempt,
}

/// Something worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// An edge forwarded a call, and it was slow or found no answer in time.
    ForwardedCall { what: &'static str, clear: bool, took: Span, attempts: Vec<ForwardAttempt> },
    /// A controller took long over a reading, or could not answer it.
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
                attempts.iter().try_for_each(|a| write!(f, "; {a}"))
            }
            Report::Reading { outcome, took } => write!(f, "reading {outcome} after {} ms", took.as_ms()),
        }
    }
}
