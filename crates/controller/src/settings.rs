//! Settings of a controller.
use caesar::ReplicaConfig;
use control_state::Zone;
use primitives::{Addr, Span};

/// Settings of a deployment that has no fixed list of controllers. The seed with the lowest
/// address founds it alone or, if it has no storage, nominates a founder that has; every other
/// controller joins through a membership change.
#[derive(Copy, Clone, Debug)]
pub struct Open {
    /// This is the first start of the whole deployment, on empty disks.
    pub initial: bool,
    /// Has storage for the state; a controller without storage only relays and never becomes a member.
    pub keeps: bool,
    /// Number of simultaneous machine losses that the membership has to survive.
    pub losses: usize,
}

/// Settings of one controller.
#[derive(Clone, Debug)]
pub struct ControllerEnv {
    /// Address at which other nodes reach this controller.
    pub addr: Addr,
    /// Address at which operators reach it over HTTP.
    pub http: Addr,
    /// Zone of its machine.
    pub zone: Zone,
    /// Controllers known at the start.
    pub seeds: Vec<Addr>,
    /// This controller and its seeds are the first members of a new deployment.
    pub found: bool,
    /// Set if the deployment has no fixed list of controllers.
    pub open: Option<Open>,
    /// How long an edge may serve without renewing its lease.
    pub lease: Span,
    /// Number of commands after which an era is ended.
    pub cut_at: usize,
    /// How long an idempotency key stays bound to its attempt.
    pub window: Span,
    /// An origin that sends no heartbeats for this long is removed.
    pub vanish: Span,
    /// Bytes of log records after which the log is compacted.
    pub compact_after_bytes: usize,
    /// Contact with a member is proved by echoes of this controller's clock. Without it a received
    /// message counts as contact, which proves one direction only; tests switch it off to show the
    /// faults that follow.
    pub contact_by_echo: bool,
    /// Bytes that the state and its log may take on disk: three eighths of the disk log, so that
    /// a compacted copy of both fits beside them.
    pub room: usize,
    /// Timeouts of the agreement.
    pub pace: ReplicaConfig,
}
