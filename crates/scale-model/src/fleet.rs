//! The processes of the model as they start. The controllers already hold the whole state, so
//! that no time goes into joining.
use crate::part::{SimulatedPart, ThinEdge};
use crate::plan::*;
use crate::state::*;
use control_state::*;
use controller::{Controller, ControllerEnv};
use edge::{Edge, EdgeEnv};
use ledger::{Ledger, LedgerEnv};
use primitives::{Mono, NodeId, Span};

const LEASE: Span = Span::secs(10);
const KEY_WINDOW: Span = Span::secs(90);
/// Bytes of records after which a disk is written anew.
const COMPACT_AFTER_BYTES: usize = 128 << 18;
const COPIES: usize = 64 << 20;
/// Controllers that a node knows to begin with.
const SEEDS: usize = 3;

/// A part and what it puts out at its start.
pub(crate) type Started = (SimulatedPart, Vec<Out>);

pub(crate) fn controllers(plan: &Plan, now: Mono) -> Vec<Started> {
    let state = initial_state(plan);
    (0..CONTROLLERS).map(|i| controller(i, &state, now)).collect()
}

fn controller(i: usize, state: &ControlState, now: Mono) -> Started {
    let env = ControllerEnv {
        addr: controller_addr(i),
        http: controller_addr(i),
        zone: zone(i),
        seeds: (0..CONTROLLERS).filter(|other| *other != i).map(controller_addr).collect(),
        found: true,
        open: None,
        lease: LEASE,
        cut_at: 256,
        window: KEY_WINDOW,
        vanish: Span::secs(3),
        compact_after_bytes: COMPACT_AFTER_BYTES,
        room: 192 << 20,
        contact_by_echo: true,
        pace: caesar::ReplicaConfig::default(),
    };
    let mut outputs = vec![];
    let kept = vec![controller::Kept::Base(birth(i), Box::new(state.clone()))];
    let controller = Controller::start(env, kept, i as u64 + 1, now, &mut outputs);
    (SimulatedPart::Controller(Box::new(controller)), outputs)
}

/// A node as it starts. Without `whole` an edge is a thin one; ledgers are always real.
pub(crate) fn node(plan: &Plan, i: usize, whole: bool, now: Mono) -> Started {
    let role = role(plan, i);
    let follow = FollowerEnv {
        id: NodeId(i as u64),
        role,
        addr: node_addr(i),
        http: node_addr(i),
        zone: zone(i),
        seeds: (0..SEEDS).map(|seed| controller_addr((i + seed) % CONTROLLERS)).collect(),
        birth: birth(i),
        life: i as u64 + 1,
        capacity: 1,
        lease: LEASE,
        serve_without_lease: false,
    };
    match (role, whole) {
        (Role::Ledger, _) => ledger(i, follow, now),
        (_, true) => (SimulatedPart::Edge(Box::new(edge(follow))), vec![]),
        (_, false) => (SimulatedPart::Thin(Box::new(ThinEdge::new(follow))), vec![]),
    }
}

fn ledger(i: usize, follow: FollowerEnv, now: Mono) -> Started {
    let env = LedgerEnv {
        follow,
        window: KEY_WINDOW,
        compact_after_bytes: COMPACT_AFTER_BYTES,
        log_form: ledger::LogForm::Compacted,
        room: 128 << 16,
        most: 20 << 20,
        boot: 1,
        max_content_bytes: usize::MAX,
        losses: 1,
        leave: control_state::LEAVE,
        minimal_outcome_copies: false,
    };
    let mut outputs = vec![];
    let kept = vec![ledger::Kept::Birth(birth(i))];
    let ledger = Ledger::start(env, kept, i as u64 + 1, now, &mut outputs);
    (SimulatedPart::Ledger(Box::new(ledger)), outputs)
}

fn edge(follow: FollowerEnv) -> Edge {
    Edge::new(EdgeEnv {
        follow,
        fresh: Span::secs(1),
        patience: Span::secs(5),
        copies: COPIES,
        hands: (256, 1024),
        grace: Span::secs(1),
        losses: 1,
        disk_cache: true,
        leave: control_state::LEAVE,
        controller: None,
        policy: edge::EdgePolicy::default(),
    })
}
