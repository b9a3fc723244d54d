//! Exhaustive search over the orders of claims, votes, recalls, disk losses and changes of the
//! ledger sets, up to a number of steps: no key runs twice. `LANEWING_DEEPER` is added to the
//! numbers of steps; with it the first round also reaches the third ledger, which takes longer.
mod common;
#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/model.rs"]
mod model;
use fleet::Fleet;
use model::Without;
use std::collections::HashMap;

/// This number of steps plus `LANEWING_DEEPER`.
fn deeper(steps: usize) -> usize {
    let parse = |text: String| {
        text.parse::<usize>()
            .unwrap_or_else(|_| panic!("LANEWING_DEEPER should be a whole number, not {text}"))
    };
    steps + std::env::var("LANEWING_DEEPER").map_or(0, parse)
}

/// The ledgers that the first round's claims reach: a quorum.
const REACHED: [u16; 2] = [1, 2];

/// What one path of the search may contain.
#[derive(Copy, Clone)]
struct Limits {
    steps: usize,
    rounds: usize,
    /// Whether more rounds may start under the first version of the ledger sets.
    early: bool,
    /// Ledgers of which one may lose its disk.
    lost: &'static [u16],
    releases: bool,
}

/// All states that can follow in one step.
fn successors(fleet: &Fleet, limits: Limits) -> Vec<Fleet> {
    let mut all = vec![];
    let mut add = |act: &dyn Fn(&mut Fleet)| {
        let mut next = fleet.clone();
        act(&mut next);
        all.push(next);
    };
    (0..fleet.in_flight.len()).for_each(|i| add(&|next| next.deliver(i)));
    if fleet.may_advance() {
        add(&|next| next.advance());
    }
    if fleet.rounds.len() < limits.rounds && (fleet.phase > 0 || limits.early) {
        add(&|next| next.begin_round(next.phase));
    }
    if fleet.lost.is_none() {
        let candidates = fleet.members().into_iter().filter(|port| limits.lost.contains(port));
        candidates.for_each(|port| add(&|next| next.lose_disk(port)));
    }
    if fleet.lost.is_some() && !fleet.reopened {
        add(&|next| next.reopen());
    }
    if limits.releases {
        (0..fleet.rounds.len()).filter(|i| fleet.may_release(*i)).for_each(|i| add(&|next| next.release(i)));
    }
    all
}

/// The number of states visited, and in how many a key had run twice. Depth first, which needs
/// less memory.
fn explore(plan: &[&[&[u16]]], without: Without, limits: Limits) -> (usize, usize) {
    let plan = plan.iter().map(|sets| sets.iter().map(|set| set.to_vec()).collect()).collect();
    let mut start = Fleet::new(plan, without);
    // The round of an edge that knows the first version and receives no later one.
    start.begin_round(0);
    if deeper(0) == 0 {
        start.drop_messages_except_to(&REACHED);
    }
    let steps = deeper(limits.steps);
    // By hash of the state, the fewest steps that lead to it.
    let mut visited = HashMap::from([(start.state_hash(), 0)]);
    let (mut open, mut ran_twice) = (vec![(start, 0)], 0);
    while let Some((fleet, depth)) = open.pop() {
        for next in successors(&fleet, limits) {
            let fewest = visited.entry(next.state_hash()).or_insert(usize::MAX);
            if *fewest <= depth + 1 {
                continue;
            }
            *fewest = depth + 1;
            let is_violation = next.rounds_run() > 1;
            ran_twice += is_violation as usize;
            if !is_violation && depth + 1 < steps {
                open.push((next, depth + 1));
            }
        }
    }
    (visited.len(), ran_twice)
}

/// Ledger sets by version: one ledger is replaced.
const REPLACED: &[&[&[u16]]] = &[&[&[1, 2, 3]], &[&[1, 2, 3], &[2, 3, 4]], &[&[2, 3, 4]]];
/// The newer set is superseded before the change is complete.
const SUPERSEDED: &[&[&[u16]]] =
    &[&[&[1, 2, 3]], &[&[1, 2, 3], &[2, 3, 4]], &[&[1, 2, 3], &[2, 3, 5]], &[&[2, 3, 5]]];
const UNCHANGED: &[&[&[u16]]] = &[&[&[1, 2, 3]]];

const TWO_ROUNDS: Limits = Limits { steps: 40, rounds: 2, early: false, lost: &[], releases: false };

/// Asserts that no order runs a key twice, and that at least `min_states` were visited.
fn assert_none_runs_twice(name: &str, plan: &[&[&[u16]]], limits: Limits, min_states: usize) {
    let (states, ran_twice) = explore(plan, Without::Nothing, limits);
    println!("{name}: {states} states within {} steps, {ran_twice} ran twice", deeper(limits.steps));
    assert_eq!(ran_twice, 0, "{name}");
    assert!(states >= min_states, "{name}: only {states} states were visited");
}

/// Asserts that the same search finds a key run twice once a safeguard is left out.
fn assert_some_run_twice(without: Without, plan: &[&[&[u16]]], limits: Limits) {
    let (states, ran_twice) = explore(plan, without, limits);
    println!("without {without:?}: {states} states, {ran_twice} ran twice");
    assert!(ran_twice > 0, "without {without:?}: no key ran twice");
}

#[test]
fn given_one_ledger_replaced_when_an_edge_goes_by_the_older_set_then_no_order_runs_a_key_twice() {
    assert_none_runs_twice("replaced", REPLACED, TWO_ROUNDS, 10_000);
}

#[test]
fn given_rounds_released_while_a_ledger_is_replaced_then_no_order_runs_a_key_twice() {
    assert_none_runs_twice(
        "replaced, rounds released",
        REPLACED,
        Limits { releases: true, steps: 7, ..TWO_ROUNDS },
        10_000,
    );
}

#[test]
fn given_a_disk_lost_while_a_ledger_is_replaced_then_no_order_runs_a_key_twice() {
    assert_none_runs_twice(
        "replaced, a disk lost",
        REPLACED,
        Limits { lost: &[2], steps: 8, ..TWO_ROUNDS },
        10_000,
    );
}

#[test]
fn given_a_newer_set_superseded_during_the_change_then_no_order_runs_a_key_twice() {
    assert_none_runs_twice("newer set superseded", SUPERSEDED, Limits { steps: 8, ..TWO_ROUNDS }, 10_000);
}

#[test]
fn given_a_disk_lost_in_an_unchanged_set_then_no_order_runs_a_key_twice() {
    assert_none_runs_twice(
        "a disk lost",
        UNCHANGED,
        Limits { lost: &[1, 2, 3, 4], early: true, ..TWO_ROUNDS },
        1000,
    );
}

#[test]
fn given_an_older_set_removed_before_the_newer_is_filled_then_the_search_finds_a_key_run_twice() {
    assert_some_run_twice(Without::Filling, REPLACED, TWO_ROUNDS);
}

#[test]
fn given_ledgers_without_a_fence_then_the_search_finds_a_key_run_twice() {
    assert_some_run_twice(Without::Fence, REPLACED, TWO_ROUNDS);
}

#[test]
fn given_a_recall_that_does_not_wait_for_rounds_to_leave_then_the_search_finds_a_key_run_twice() {
    assert_some_run_twice(
        Without::LeaveTime,
        UNCHANGED,
        Limits { lost: &[1, 2, 3, 4], early: true, ..TWO_ROUNDS },
    );
}
