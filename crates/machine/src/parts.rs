//! Builds the parts of one machine, with parameters derived from its configuration.
use crate::{MachineConfig, MachinePart};
use control_state::*;
use controller::{ControllerEnv, Open};
use edge::{EdgeEnv, EdgePolicy};
use ledger::LedgerEnv;
use primitives::{Birth, Mono, Span};

/// Largest body, in bytes, fetched from another region: a larger one takes longer to transfer on a small link
/// than the round trip between regions.
const CROSS_REGION_BODY_LIMIT: usize = 32 << 10;
/// How long controllers wait for an edge that does not answer before they treat it as unreachable. Short,
/// because an operator's call must be answered within seconds even while a machine is frozen, and edges keep
/// serving without a lease.
pub(crate) const LEASE: Span = Span::ms(600);
/// How long after its grant an attempt may be sent to an origin. Short, because a ledger that lost its disk must
/// wait this long before it asks the other ledgers.
const SEND_TIMEOUT: Span = Span::secs(2);
/// Time beyond its key's window that a granted attempt may need to be sent and to run.
const KEY_WINDOW_MARGIN: Span = Span::secs(12);
/// The contents of outcomes that stay in memory take this fraction (1/n) of what a ledger may hold.
const CONTENT_DIVISOR: usize = 4;
/// Size of one file of the controller's log, in sixty-fourths of the disk; each log has four files. A process
/// reads both logs completely before it serves, so larger files prolong the restart after a power failure.
const CONTROLLER_FILE_SHARE: u64 = 3;
/// The share in logs of earlier versions, which are kept at their size.
const EARLIER_CONTROLLER_FILE_SHARE: u64 = 2;

impl MachineConfig {
    /// The settings that edge and ledger share as followers of the controllers.
    fn follower_env(&self, part: MachinePart, role: Role, birth: u64, life: u64) -> FollowerEnv {
        let addr = self.addr(part);
        FollowerEnv {
            id: self.id(part),
            role,
            addr,
            http: addr,
            zone: self.zone.clone(),
            seeds: self.seed_controllers(),
            birth: Birth(birth),
            life,
            lease: LEASE,
            capacity: self.capacity(),
            serve_without_lease: true,
        }
    }

    /// The edge; `life` is its incarnation number.
    pub(crate) fn edge(&self, life: u64) -> edge::Edge {
        let (ratio, allowance) = self.retry;
        edge::Edge::new(EdgeEnv {
            follow: self.follower_env(MachinePart::Edge, Role::Edge, life, life),
            fresh: self.heartbeat_interval.times(3),
            patience: Span::secs(30),
            copies: self.cache_memory(),
            hands: (1024, 2048),
            grace: Span(self.grace.0 * 2 / 5),
            policy: EdgePolicy {
                // Well below the allowed ratio, because edges do not see each other's retries.
                retry_credit_per_request: ratio * 0.6,
                saved: allowance * 0.5,
                near: true,
                load_balanced: true,
                // For a home edge in the same zone; if it takes longer, the region's home edge is asked instead.
                home: Span::ms(100),
                // Longer than a scheduling delay on a small busy processor: every false time-out costs a request
                // to an origin.
                wide_home_timeout: Span::ms(400),
                back: Some(Span::ms(120)),
                retry_after_no_lease: Span::secs(1),
                cross_region_body_limit: CROSS_REGION_BODY_LIMIT,
            },
            losses: self.tolerated_losses,
            disk_cache: false,
            leave: SEND_TIMEOUT,
            controller: Some(self.addr(MachinePart::Controller)),
        })
    }

    /// The controller, restored from the stored records; its first outputs are appended to `out`.
    pub(crate) fn controller(
        &self,
        records: Vec<controller::Kept>,
        now: Mono,
        out: &mut Vec<Out>,
    ) -> controller::Controller {
        let file = self.controller_file_size();
        let env = ControllerEnv {
            addr: self.addr(MachinePart::Controller),
            http: self.addr(MachinePart::Controller),
            zone: self.zone.clone(),
            seeds: self.seed_controllers(),
            found: false,
            open: Some(Open {
                initial: self.initial,
                keeps: self.durable_storage().is_some(),
                losses: self.tolerated_losses,
            }),
            lease: LEASE,
            cut_at: 256,
            window: self.key_window + KEY_WINDOW_MARGIN,
            vanish: self.heartbeat_interval.times(4),
            compact_after_bytes: (file * 3 / 4) as usize,
            room: self.controller_state_limit(),
            contact_by_echo: true,
            pace: caesar::ReplicaConfig::default(),
        };
        controller::Controller::start(env, records, runtime::life(), now, out)
    }

    /// The ledger, restored from the stored records; its first outputs are appended to `out`.
    pub fn ledger(
        &self,
        records: Vec<impl Into<ledger::RecoveredRecord>>,
        now: Mono,
        out: &mut Vec<Out>,
    ) -> ledger::Ledger {
        let env = LedgerEnv {
            follow: self.follower_env(MachinePart::Ledger, Role::Ledger, 0, runtime::life()),
            window: self.key_window + KEY_WINDOW_MARGIN,
            compact_after_bytes: self.ledger_state_limit(),
            log_form: self.ledger_log().form(),
            room: 0,
            most: self.ledger_state_limit(),
            max_content_bytes: self.ledger_state_limit() / CONTENT_DIVISOR,
            boot: runtime::boot(),
            losses: self.tolerated_losses,
            leave: SEND_TIMEOUT,
            minimal_outcome_copies: true,
        };
        ledger::Ledger::start(env, records, runtime::life(), now, out)
    }

    /// Bytes of a log file that takes the given number of sixty-fourths of the disk.
    pub(crate) fn file_size(&self, share: u64) -> u64 {
        self.disk.as_ref().map_or(0, |(_, mb)| (mb << 20) / 64 * share)
    }

    /// Size in bytes of a file of the controller's log. A log made by an earlier version keeps its size.
    pub(crate) fn controller_file_size(&self) -> u64 {
        let earlier = self.file_size(EARLIER_CONTROLLER_FILE_SHARE);
        let dir = self.disk.as_ref().map(|(dir, _)| dir.join("controller"));
        let existing = dir.and_then(|d| runtime::disk_log::existing_size(&d));
        if existing == Some(earlier) {
            earlier
        } else {
            self.file_size(CONTROLLER_FILE_SHARE)
        }
    }

    /// Bytes of state that the controller may hold: three eighths of the four files.
    pub(crate) fn controller_state_limit(&self) -> usize {
        (self.controller_file_size() * 3 / 2) as usize
    }
}
