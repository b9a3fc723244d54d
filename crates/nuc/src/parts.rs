//! The parts of one machine, with figures that follow from what it was told.
use crate::{NucEnv, Seat};
use brood::*;
use comb::CombEnv;
use gate::{GateEnv, GatePolicy};
use keeper::{KeeperEnv, Open};
use wax::{Birth, Mono, Span};

/// How long keepers wait for a gate that does not answer before they count it as
/// out of touch. Short: an operator's order is to be answered within seconds
/// though a machine is frozen, and gates serve on without.
pub(crate) const LEASE: Span = Span::ms(600);
/// How long a granted try may take to leave. Short: a comb that lost its disk asks
/// the others only after it.
const LEAVE: Span = Span::secs(2);
/// What a granted try may take over its key's window: to leave, and to run.
const LATE: Span = Span::secs(12);
/// Parts of the disk, in sixty-fourths: a file of each ring; each has four.
const KEEPER_FILE: u64 = 2;
const COMB_FILE: u64 = 6;

impl NucEnv {
    fn follow(&self, s: Seat, role: Role, birth: u64, life: u64) -> FollowEnv {
        let addr = self.addr(s);
        FollowEnv {
            id: self.id(s),
            role,
            addr,
            http: addr,
            zone: self.zone.clone(),
            seeds: self.seats(),
            birth: Birth(birth),
            life,
            lease: LEASE,
            serve_on: true,
        }
    }

    pub(crate) fn gate(&self, life: u64) -> gate::Gate {
        let (ratio, allowance) = self.retry;
        gate::Gate::new(GateEnv {
            follow: self.follow(Seat::Gate, Role::Gate, life, life),
            fresh: self.beat.times(3),
            patience: Span::secs(30),
            copies: self.memory / 3,
            hands: (1024, 2048),
            grace: Span(self.grace.0 * 2 / 5),
            policy: GatePolicy {
                // Well below what is allowed, for gates cannot see one another's tries.
                earn: ratio * 0.6,
                saved: allowance * 0.5,
                near: true,
                by_load: true,
                // In one zone; one that takes longer is frozen, gone or overrun.
                home: Span::ms(100),
                back: Some(Span::ms(120)),
            },
            losses: self.losses,
            stock: false,
            leave: LEAVE,
        })
    }

    pub(crate) fn keeper(&self, kept: Vec<keeper::Kept>, now: Mono, out: &mut Vec<Out>) -> keeper::Keeper {
        let env = KeeperEnv {
            addr: self.addr(Seat::Keeper),
            http: self.addr(Seat::Keeper),
            zone: self.zone.clone(),
            seeds: self.seats(),
            found: false,
            open: Some(Open { initial: self.initial, keeps: self.keeps().is_some(), losses: self.losses }),
            lease: LEASE,
            cut_at: 256,
            window: self.window + LATE,
            vanish: self.beat.times(4),
            base_after: (self.file(KEEPER_FILE) * 3 / 4) as usize,
            pace: waggle::Pace::default(),
        };
        keeper::Keeper::start(env, kept, skep::life(), now, out)
    }

    pub(crate) fn comb(&self, kept: Vec<comb::Kept>, now: Mono, out: &mut Vec<Out>) -> comb::Comb {
        let file = self.file(COMB_FILE) as usize;
        let env = CombEnv {
            follow: self.follow(Seat::Comb, Role::Comb, 0, skep::life()),
            window: self.window + LATE,
            base_after: file * 3 / 4,
            room: 0,
            most: file * 3 / 4,
            boot: skep::boot(),
            losses: self.losses,
            leave: LEAVE,
            sparing: true,
        };
        comb::Comb::start(env, kept, skep::life(), now, out)
    }

    fn file(&self, of: u64) -> u64 {
        self.disk.as_ref().map_or(0, |(_, mb)| (mb << 20) / 64 * of)
    }

    pub(crate) fn keeper_file(&self) -> u64 {
        self.file(KEEPER_FILE)
    }
    pub(crate) fn comb_file(&self) -> u64 {
        self.file(COMB_FILE)
    }
}
