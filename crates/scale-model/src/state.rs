//! The control state with which the model starts: all nodes, origins and rows of a plan.
use crate::plan::*;
use caesar::MemberId;
use control_state::*;
use primitives::{Addr, Birth, NodeId, Span, Version};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const PORT: u16 = 7101;
/// Second byte of the addresses of each kind of process.
const CONTROLLER_NET: u8 = 0;
const NODE_NET: u8 = 1;
const ORIGIN_NET: u8 = 2;
const HOSTS_PER_SUBNET: usize = 250;
/// No service reaches it.
const HIGH_CEILING: u32 = 1_000_000;
const ORIGIN_CAPACITY: u32 = 256;

fn addr(net: u8, i: usize) -> Addr {
    let (subnet, host) = ((i / HOSTS_PER_SUBNET) as u8, (i % HOSTS_PER_SUBNET + 1) as u8);
    Addr(SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, net, subnet, host)), PORT))
}

pub(crate) fn controller_addr(i: usize) -> Addr {
    addr(CONTROLLER_NET, i)
}

pub(crate) fn node_addr(i: usize) -> Addr {
    addr(NODE_NET, i)
}

/// Region and zone of a process: two or three zones a region, as even as can be.
pub(crate) fn place(i: usize) -> (usize, usize) {
    let zone = i % ZONES;
    (zone % REGIONS, zone)
}

pub(crate) fn zone(i: usize) -> Zone {
    let (region, zone) = place(i);
    Zone(format!("region-{region:02}/zone-{zone:02}"))
}

/// The first nodes are ledgers, the rest edges.
pub(crate) fn role(plan: &Plan, i: usize) -> Role {
    if i < plan.ledgers() {
        Role::Ledger
    } else {
        Role::Edge
    }
}

pub(crate) fn birth(i: usize) -> Birth {
    Birth(1_000_000_007 * (i as u64 + 1))
}

pub(crate) fn service(i: usize) -> Svc {
    Svc(format!("service-{i:04}"))
}

pub(crate) fn lane(i: usize) -> Lane {
    Lane(format!("lane-{i:04}"))
}

pub(crate) fn row(ceiling: u32) -> Row {
    Row { weight: 1, ceiling, rank: 3, kind: Kind::Read, ttl: Span::secs(60) }
}

/// The beat of an origin.
pub(crate) fn beat(plan: &Plan, i: usize) -> OriginHeartbeat {
    OriginHeartbeat {
        svc: service(i % plan.services()),
        addr: addr(ORIGIN_NET, i),
        birth: birth(i),
        zone: zone(i),
        cap: ORIGIN_CAPACITY,
        occupancy: 7,
        mood: Mood::Serving,
        seq: 0,
        tag: String::new(),
    }
}

fn member(i: usize) -> Member {
    let (addr, zone, birth) = (controller_addr(i), zone(i), birth(i));
    Member { member_id: MemberId(i as u16), addr, http: addr, zone, birth }
}

fn entry(key: Key, body: Body) -> (Key, Item) {
    (key, Item { ver: Version(1), body: Some(body) })
}

fn node(plan: &Plan, i: usize) -> (Key, Item) {
    let (addr, zone, birth, role) = (node_addr(i), zone(i), birth(i), role(plan, i));
    let node = Node { role, addr, http: addr, zone, birth, standing: Standing::Serving, capacity: 1 };
    entry(Key::Node(NodeId(i as u64)), Body::Node(node))
}

fn origin(plan: &Plan, i: usize) -> (Key, Item) {
    let OriginHeartbeat { svc, addr, birth, zone, cap, tag, .. } = beat(plan, i);
    let origin = Origin { svc, birth, zone, cap, tag, standing: Standing::Serving };
    entry(Key::Origin(addr), Body::Origin(origin))
}

/// The set of ledgers.
fn ledger_set(plan: &Plan) -> (Key, Item) {
    let seat = |i| Seat { id: NodeId(i as u64), addr: node_addr(i), zone: zone(i), birth: birth(i) };
    let mut seats: Vec<Seat> = (0..plan.ledgers()).map(seat).collect();
    seats.sort();
    entry(Key::Roll, Body::Roll(Roll { sets: vec![seats] }))
}

/// The state that the controllers' disks hold.
pub(crate) fn initial_state(plan: &Plan) -> ControlState {
    let nodes = (0..plan.nodes).map(|i| node(plan, i));
    let origins = (0..plan.origins()).map(|i| origin(plan, i));
    let rows =
        (0..plan.services()).map(|i| entry(Key::Row(lane(i), service(i)), Body::Row(row(HIGH_CEILING))));
    ControlState {
        era: Era(1),
        members: (0..CONTROLLERS).map(member).collect(),
        next_member_id: CONTROLLERS as u16,
        items: nodes.chain(origins).chain(rows).chain([ledger_set(plan)]).collect(),
        ..ControlState::default()
    }
}
