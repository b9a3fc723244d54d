//! Which edges are home edges, and which part of ceilings each has.
use control_state::*;
use primitives::{Addr, Birth, NodeId, Version};
use serde::Serialize;
use std::collections::BTreeMap;

fn edges(all: &[(u64, &str, u32)]) -> BTreeMap<Key, Item> {
    let node = |(id, zone, capacity): &(u64, &str, u32)| {
        let addr = format!("10.0.0.{id}:1").parse().expect("an address");
        let (role, birth, standing) = (Role::Edge, Birth(1), Standing::Serving);
        let zone = (*zone).into();
        let node = Node { role, addr, http: addr, zone, birth, standing, capacity: *capacity };
        (Key::Node(NodeId(*id)), Item { ver: Version(1), body: Some(Body::Node(node)) })
    };
    all.iter().map(node).collect()
}

fn part(items: &BTreeMap<Key, Item>, id: u64) -> f64 {
    parts(items).get(&NodeId(id)).copied().unwrap_or(0.0)
}

#[test]
fn given_edges_of_two_capacities_then_only_those_near_the_largest_of_their_region_have_a_part() {
    let items = edges(&[(1, "west/a", 50), (2, "west/a", 520), (3, "west/b", 520), (4, "east/c", 50)]);
    assert_eq!(part(&items, 1), 0.0);
    assert!((part(&items, 2) - 520.0 / 1090.0).abs() < 1e-9);
    // It is the largest of its own region, although small.
    assert!((part(&items, 4) - 50.0 / 1090.0).abs() < 1e-9);
    let sum: f64 = parts(&items).values().sum();
    assert!((sum - 1.0).abs() < 1e-9, "all parts add up to {sum}");
}

#[test]
fn given_equal_edges_then_all_have_equal_parts() {
    let items = edges(&[(1, "west/a", 1), (2, "west/b", 1), (3, "east/c", 1), (4, "east/d", 1)]);
    (1..=4).for_each(|id| assert!((part(&items, id) - 0.25).abs() < 1e-9));
}

#[test]
fn given_a_ceiling_then_own_and_borrowed_requests_with_all_bursts_stay_below_it() {
    for sharers in 1..200u64 {
        let zone = "west/a";
        let all: Vec<(u64, &str, u32)> = (1..=sharers).map(|id| (id, zone, 10)).collect();
        let share = rate_share(&edges(&all), Some(390_000));
        let bursts = if share.own > 0.0 { sharers as f64 } else { 0.0 };
        let five_seconds = 5.0 * (share.own + share.lent) + bursts;
        assert!(five_seconds <= 5.0 * 390.0, "{five_seconds} requests in five seconds with {sharers} edges");
    }
}

/// Guards against misreading nodes that an earlier version wrote to disk: those encodings have no
/// capacity.
#[test]
fn given_a_node_stored_before_nodes_had_a_capacity_then_it_is_read_with_the_least() {
    #[derive(Serialize)]
    struct EarlierNode {
        role: Role,
        addr: Addr,
        http: Addr,
        zone: Zone,
        birth: Birth,
        standing: Standing,
    }
    let addr: Addr = "10.0.0.7:1".parse().expect("an address");
    let (role, zone, birth) = (Role::Ledger, Zone::from("west/a"), Birth(9));
    for standing in [Standing::Serving, Standing::Leaving] {
        let earlier = EarlierNode { role, addr, http: addr, zone: zone.clone(), birth, standing };
        let encoded = postcard::to_stdvec(&(earlier, 77u8)).expect("plain data encodes");
        let (node, next_field): (Node, u8) =
            postcard::from_bytes(&encoded).expect("the earlier encoding can be read");
        let current = Node { role, addr, http: addr, zone: zone.clone(), birth, standing, capacity: 1 };
        assert_eq!((node, next_field), (current.clone(), 77));
        let changed = Node { capacity: 1250, ..current };
        let encoded = postcard::to_stdvec(&changed).expect("plain data encodes");
        assert_eq!(postcard::from_bytes::<Node>(&encoded), Ok(changed));
    }
}
