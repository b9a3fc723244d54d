//! The parts of one machine, with figures that follow from what it was told.
use crate::{MachineConfig, Seat};
use control_state::*;
use controller::{ControllerEnv, Open};
use edge::{EdgeEnv, EdgePolicy};
use ledger::LedgerEnv;
use primitives::{Birth, Mono, Span};

/// Bytes; what takes longer on a small link than the way between regions.
const FAR_BODY: usize = 32 << 10;
/// How long controllers wait for an edge that does not answer before they count it as
/// out of touch. Short: an operator's order is to be answered within seconds
/// though a machine is frozen, and edges serve on without.
pub(crate) const LEASE: Span = Span::ms(600);
/// How long a granted try may take to leave. Short: a ledger that lost its disk asks
/// the others only after it.
const LEAVE: Span = Span::secs(2);
/// What a granted try may take over its key's window: to leave, and to run.
const LATE: Span = Span::secs(12);
/// Parts of the disk, in sixty-fourths: a file of each ring; each has four. A start reads all of
/// both rings before it serves: larger files make a return from a loss of power last longer.
const CONTROLLER_FILE: u64 = 3;
/// As it was in rings of earlier versions, which are used on as they are.
const EARLIER_CONTROLLER_FILE: u64 = 2;
const LEDGER_FILE: u64 = 6;

impl MachineConfig {
    fn follow(&self, s: Seat, role: Role, birth: u64, life: u64) -> FollowerEnv {
        let addr = self.addr(s);
        FollowerEnv {
            id: self.id(s),
            role,
            addr,
            http: addr,
            zone: self.zone.clone(),
            seeds: self.seats(),
            birth: Birth(birth),
            life,
            lease: LEASE,
            capacity: self.capacity(),
            serve_without_lease: true,
        }
    }

    pub(crate) fn edge(&self, life: u64) -> edge::Edge {
        let (ratio, allowance) = self.retry;
        edge::Edge::new(EdgeEnv {
            follow: self.follow(Seat::Edge, Role::Edge, life, life),
            fresh: self.beat.times(3),
            patience: Span::secs(30),
            copies: self.cache_memory(),
            hands: (1024, 2048),
            grace: Span(self.grace.0 * 2 / 5),
            policy: EdgePolicy {
                // Well below what is allowed, for edges cannot see one another's tries.
                retry_credit_per_request: ratio * 0.6,
                saved: allowance * 0.5,
                near: true,
                load_balanced: true,
                // In one zone; the region's home is asked in place of one that takes longer.
                home: Span::ms(100),
                // Longer than a turn of a small processor that is busy: an origin pays for it.
                wide_home_timeout: Span::ms(400),
                back: Some(Span::ms(120)),
                retry_after_no_lease: Span::secs(1),
                cross_region_body_limit: FAR_BODY,
            },
            losses: self.losses,
            disk_cache: false,
            leave: LEAVE,
            controller: Some(self.addr(Seat::Controller)),
        })
    }

    pub(crate) fn controller(
        &self,
        kept: Vec<controller::Kept>,
        now: Mono,
        out: &mut Vec<Out>,
    ) -> controller::Controller {
        let file = self.controller_file();
        let env = ControllerEnv {
            addr: self.addr(Seat::Controller),
            http: self.addr(Seat::Controller),
            zone: self.zone.clone(),
            seeds: self.seats(),
            found: false,
            open: Some(Open { initial: self.initial, keeps: self.keeps().is_some(), losses: self.losses }),
            lease: LEASE,
            cut_at: 256,
            window: self.window + LATE,
            vanish: self.beat.times(4),
            compact_after_bytes: (file * 3 / 4) as usize,
            room: self.controller_room(),
            contact_by_echo: true,
            pace: caesar::ReplicaConfig::default(),
        };
        controller::Controller::start(env, kept, runtime::life(), now, out)
    }

    pub(crate) fn ledger(&self, kept: Vec<ledger::Kept>, now: Mono, out: &mut Vec<Out>) -> ledger::Ledger {
        let env = LedgerEnv {
            follow: self.follow(Seat::Ledger, Role::Ledger, 0, runtime::life()),
            window: self.window + LATE,
            compact_after_bytes: self.ledger_state_limit(),
            room: 0,
            most: self.ledger_state_limit(),
            boot: runtime::boot(),
            losses: self.losses,
            leave: LEAVE,
            minimal_outcome_copies: true,
        };
        ledger::Ledger::start(env, kept, runtime::life(), now, out)
    }

    fn file(&self, of: u64) -> u64 {
        self.disk.as_ref().map_or(0, |(_, mb)| (mb << 20) / 64 * of)
    }

    /// The size of a file of the controller's ring: one made by an earlier version keeps its own.
    pub(crate) fn controller_file(&self) -> u64 {
        let earlier = self.file(EARLIER_CONTROLLER_FILE);
        let folder = self.disk.as_ref().map(|(at, _)| at.join("controller"));
        let is = folder.and_then(|f| runtime::disk_log::existing_size(&f));
        if is == Some(earlier) {
            earlier
        } else {
            self.file(CONTROLLER_FILE)
        }
    }
    /// Three eighths of four files.
    pub(crate) fn controller_room(&self) -> usize {
        (self.controller_file() * 3 / 2) as usize
    }

    /// Bytes of grants and outcomes that the ledger may hold.
    pub(crate) fn ledger_state_limit(&self) -> usize {
        self.ledger_file() as usize * 3 / 4
    }

    pub(crate) fn ledger_file(&self) -> u64 {
        self.file(LEDGER_FILE)
    }
}
