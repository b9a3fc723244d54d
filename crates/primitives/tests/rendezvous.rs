//! Weighted rendezvous hashing: shares of keys, and what moves when members leave.
use primitives::{first, rank};

const KEYS: u64 = 20_000;

/// A member's number and weight.
type Member = (u64, u32);

fn first_member(key: u64, members: &[Member]) -> u64 {
    first(&key, members.iter(), |m| m.0, |m| m.1).expect("there are members").0
}

/// The share of all keys of which the member `id` is the first one.
fn share_of(members: &[Member], id: u64) -> f64 {
    (0..KEYS).filter(|key| first_member(*key, members) == id).count() as f64 / KEYS as f64
}

#[test]
fn given_members_of_different_weight_then_shares_of_keys_are_proportional_to_weight() {
    let members = [(1, 10), (2, 10), (3, 20), (4, 60)];
    for (id, weight) in members {
        let (share, expected) = (share_of(&members, id), f64::from(weight) / 100.0);
        assert!((share - expected).abs() < 0.01, "member {id} has {share} of the keys instead of {expected}");
    }
}

#[test]
fn given_equal_weights_then_the_first_member_is_that_of_the_unweighted_order() {
    let members: Vec<Member> = (1..=9).map(|id| (id, 7)).collect();
    for key in 0..1000u64 {
        assert_eq!(first_member(key, &members), rank(&key, &members, |m| m.0)[0].0);
    }
}

#[test]
fn given_a_member_that_leaves_then_only_its_keys_move() {
    let members = [(1, 10), (2, 40), (3, 20), (4, 30)];
    let others: Vec<Member> = members.into_iter().filter(|m| m.0 != 2).collect();
    for key in 0..1000 {
        let before = first_member(key, &members);
        assert!(
            before == 2 || first_member(key, &others) == before,
            "key {key} moved although its member stayed"
        );
    }
}

#[test]
fn given_no_members_then_there_is_none() {
    let no_members: [Member; 0] = [];
    assert_eq!(first(&1, no_members.iter(), |m| m.0, |m| m.1), None);
}
