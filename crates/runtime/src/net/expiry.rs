//! How long a message that cannot leave still means something.
use control_state::Msg;
use std::time::Duration;

/// Sent again and again by the part itself; an old one says nothing a newer one does not.
const PERIODIC: Duration = Duration::from_secs(2);
/// Everything else: its sender has asked again, or given up, by then.
const OTHERS: Duration = Duration::from_secs(10);

pub(super) fn lifetime(m: &Msg) -> Duration {
    match m {
        Msg::Beats(..)
        | Msg::Unjoined(_)
        | Msg::Roster(..)
        | Msg::Found(_)
        | Msg::Landed(_)
        | Msg::AskLeadership { .. }
        | Msg::LeadershipVote { .. }
        | Msg::Sub(_)
        | Msg::Got { .. }
        | Msg::Digests(_) => PERIODIC,
        _ => OTHERS,
    }
}
