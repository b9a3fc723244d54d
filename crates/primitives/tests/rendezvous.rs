//! Weighted rendezvous hashing.
use primitives::{first, rank};

const KEYS: u64 = 20_000;

/// A member's number and weight.
type Member = (u64, u32);

fn chosen(key: u64, members: &[Member]) -> u64 {
    first(&key, members.iter(), |m| m.0, |m| m.1).expect("there are members").0
}

fn part(members: &[Member], of: u64) -> f64 {
    (0..KEYS).filter(|key| chosen(*key, members) == of).count() as f64 / KEYS as f64
}

#[test]
fn given_members_of_different_weight_then_each_has_keys_in_proportion() {
    let members = [(1, 10), (2, 10), (3, 20), (4, 60)];
    for (id, weight) in members {
        let (got, due) = (part(&members, id), f64::from(weight) / 100.0);
        assert!((got - due).abs() < 0.01, "member {id} has {got} of the keys, its part is {due}");
    }
}

#[test]
fn given_equal_weights_then_the_first_is_that_of_the_plain_order() {
    let members: Vec<Member> = (1..=9).map(|id| (id, 7)).collect();
    for key in 0..1000u64 {
        assert_eq!(chosen(key, &members), rank(&key, &members, |m| m.0)[0].0);
    }
}

#[test]
fn given_a_member_that_leaves_then_only_its_keys_move() {
    let members = [(1, 10), (2, 40), (3, 20), (4, 30)];
    let others: Vec<Member> = members.into_iter().filter(|m| m.0 != 2).collect();
    for key in 0..1000 {
        let before = chosen(key, &members);
        assert!(before == 2 || chosen(key, &others) == before, "key {key} moved though its member stayed");
    }
}

#[test]
fn given_no_members_then_there_is_none() {
    let nobody: [Member; 0] = [];
    assert_eq!(first(&1, nobody.iter(), |m| m.0, |m| m.1), None);
}
