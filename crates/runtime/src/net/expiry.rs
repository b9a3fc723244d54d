//! How long a message stays useful while it waits to be sent or to be processed.
use control_state::Msg;
use std::time::Duration;

/// For messages that a part sends periodically: a newer one replaces an older one.
const PERIODIC_LIFETIME: Duration = Duration::from_secs(2);
/// For claims: a claim without an answer is abandoned within half a second.
const CLAIM_LIFETIME: Duration = Duration::from_secs(1);
/// For all others: by then the sender has retried or given up.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(10);

/// How long after it was due, or received, a message is still worth delivering.
pub(crate) fn lifetime(message: &Msg) -> Duration {
    match message {
        Msg::Heartbeats(..)
        | Msg::Unjoined(_)
        | Msg::Membership(..)
        | Msg::Found(_)
        | Msg::Landed(_)
        | Msg::LeadershipRequest { .. }
        | Msg::LeadershipVote { .. }
        | Msg::Sub(_)
        | Msg::Got { .. }
        | Msg::Digests(_) => PERIODIC_LIFETIME,
        Msg::Claim { .. } | Msg::Claimed { .. } => CLAIM_LIFETIME,
        _ => DEFAULT_LIFETIME,
    }
}
