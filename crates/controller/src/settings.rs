//! What a controller is told about itself.
use caesar::ReplicaConfig;
use control_state::Zone;
use primitives::{Addr, Span};

/// A deployment whose controllers are not named beforehand: the first of the seeds by
/// address founds it alone, or where that one can keep nothing names one that
/// can; every other controller joins by a cut.
#[derive(Copy, Clone, Debug)]
pub struct Open {
    /// The first start of all, on empty disks.
    pub initial: bool,
    /// Can keep what it promises; one that cannot only passes on.
    pub keeps: bool,
    /// Losses borne at once.
    pub losses: usize,
}

/// What a controller is told about itself.
#[derive(Clone, Debug)]
pub struct ControllerEnv {
    /// Where other nodes reach it.
    pub addr: Addr,
    /// Where operators reach it.
    pub http: Addr,
    /// Where its machine stands.
    pub zone: Zone,
    /// Controllers that it is told of at its start.
    pub seeds: Vec<Addr>,
    /// This controller and its seeds are the first ones of a new deployment.
    pub found: bool,
    /// How it finds the others where nobody tells it of them.
    pub open: Option<Open>,
    /// How long an edge may serve without a renewal.
    pub lease: Span,
    /// An era is cut once it holds this many commands.
    pub cut_at: usize,
    /// How long a key stays with its round.
    pub window: Span,
    /// An origin silent for this long is removed.
    pub vanish: Span,
    /// Bytes of records after which all is written anew in short.
    pub compact_after_bytes: usize,
    /// Contact is proved by echoes; switched off only to show what hearing alone leads to.
    pub contact_by_echo: bool,
    /// Bytes that the state and the log behind it may take on disk: three eighths of the
    /// ring, so that both written anew find room beside them.
    pub room: usize,
    /// Timeouts of the agreement.
    pub pace: ReplicaConfig,
}
