//! Parts of the model: ledgers at their start, updates from controllers, messages in flight.
use super::common::{addr, follow, CONTROLLER};
use control_state::*;
use ledger::{Kept, Ledger, LedgerEnv};
use primitives::{Birth, Epoch, Mono, NodeId, Span, Version};
use std::rc::Rc;

pub const LOSSES: usize = 1;

/// The safeguard that a search leaves out, to show that it finds the failure which the
/// safeguard prevents.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Without {
    Nothing,
    /// The older set is removed although the newer one is not filled.
    Filling,
    /// Ledgers grant to rounds of any version of the ledger sets.
    Fence,
    /// A ledger with a new disk recalls at once, not after the time in which rounds may leave.
    LeaveTime,
}

/// A ledger at this port, on a disk of this incarnation.
pub fn start(port: u16, birth: u64, now: Mono, without: Without) -> Ledger {
    let leave = if without == Without::LeaveTime { Span(0) } else { LEAVE };
    let env = LedgerEnv {
        follow: follow(port),
        window: Span::secs(90),
        compact_after_bytes: 1 << 24,
        log_form: ledger::LogForm::Compacted,
        room: 0,
        most: 1 << 20,
        boot: 1,
        max_content_bytes: usize::MAX,
        losses: LOSSES,
        leave,
        minimal_outcome_copies: false,
    };
    Ledger::start(env, vec![Kept::Birth(Birth(birth))], birth, now, &mut vec![])
}

/// A controller's update with these ledger sets, and a lease.
pub fn update(sets: &[Vec<u16>], version: Version, now: Mono) -> Msg {
    let seat = |port: &u16| Seat {
        id: NodeId(*port as u64),
        addr: addr(*port),
        zone: "a/b".into(),
        birth: Birth(1),
    };
    let sets = sets.iter().map(|set| set.iter().map(seat).collect()).collect();
    let items = vec![(Key::Roll, Item { ver: version, body: Some(Body::Roll(Roll { sets })) })];
    let controller = addr(CONTROLLER);
    let member = Member {
        member_id: Default::default(),
        addr: controller,
        http: controller,
        zone: "a/b".into(),
        birth: Birth(1),
    };
    let (ask, life, member_id, lent) = (now, 1, Default::default(), true);
    let (beats, slices, epoch) = (vec![], vec![], Epoch(0));
    let reply = Some(Reply { ask, life, member_id, lent, at: Some(ask), beats, slices, epoch });
    let (feed, from, to, full, era) = (1, 0, 1, true, Era(1));
    Msg::Update(Box::new(Update {
        feed,
        from,
        to,
        full,
        items,
        announced: vec![],
        era,
        members: vec![member],
        reply,
    }))
}

/// A message in flight.
#[derive(Clone)]
pub struct InFlight {
    pub from: u16,
    pub to: u16,
    pub message: Rc<Msg>,
    /// Hash of the fields above.
    pub hash: u64,
}

impl InFlight {
    pub fn new(from: u16, to: u16, message: Msg) -> InFlight {
        let hash = primitives::hash(&(from, to, format!("{message:?}")));
        InFlight { from, to, message: Rc::new(message), hash }
    }
}
