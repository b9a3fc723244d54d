//! How long a message still means something that cannot leave, or that its receiver does not
//! come round to.
use control_state::Msg;
use std::time::Duration;

/// Sent again and again by the part itself; an old one says nothing a newer one does not.
const PERIODIC: Duration = Duration::from_secs(2);
/// A claim that got no answer is given up within half a second.
const CLAIMS: Duration = Duration::from_secs(1);
/// Everything else: its sender has asked again, or given up, by then.
const OTHERS: Duration = Duration::from_secs(10);

pub(crate) fn lifetime(m: &Msg) -> Duration {
    match m {
        Msg::Heartbeats(..)
        | Msg::Unjoined(_)
        | Msg::Membership(..)
        | Msg::Found(_)
        | Msg::Landed(_)
        | Msg::LeadershipRequest { .. }
        | Msg::LeadershipVote { .. }
        | Msg::Sub(_)
        | Msg::Got { .. }
        | Msg::Digests(_) => PERIODIC,
        Msg::Claim { .. } | Msg::Claimed { .. } => CLAIMS,
        _ => OTHERS,
    }
}
