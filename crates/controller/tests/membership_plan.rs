//! Explores every sequence of losses, returns, replacements and leavings with at most `f` losses
//! between two full recoveries, interleaved with planned changes in every order.
mod model;
use caesar::{classic_quorum, MemberId};
use control_state::Member;
use controller::membership_plan::*;
use model::*;
use std::collections::{BTreeMap, BTreeSet};

/// A violated property, and the state in which it was found.
#[derive(Clone, Debug)]
enum Violation {
    NoMajority(DeploymentState),
    /// A planned change from this state breaks an invariant of the planner's module.
    BrokenInvariant(DeploymentState),
}

impl Violation {
    fn at(&self) -> &DeploymentState {
        match self {
            Violation::NoMajority(state) | Violation::BrokenInvariant(state) => state,
        }
    }
}

/// The planner under test, or one with a broken rule that the search must detect.
type Planner = fn(&MembershipView) -> Option<MembershipChange>;

struct Search {
    losses: usize,
    machines: usize,
    planner: Planner,
    seen: BTreeMap<DeploymentState, Option<DeploymentState>>,
    changes: BTreeMap<Reason, usize>,
}

impl Search {
    fn new(losses: usize, machines: usize, planner: Planner) -> Search {
        Search { losses, machines, planner, seen: BTreeMap::new(), changes: BTreeMap::new() }
    }

    /// Explores all reachable states; returns the first violation, if there is one.
    fn run(&mut self) -> Result<(), Violation> {
        let first = DeploymentState {
            members: vec![MemberState::Up; self.machines],
            ready: 0,
            removed: 0,
            losses_since_recovery: 0,
        };
        let mut unexplored = vec![first.clone()];
        self.seen.insert(first, None);
        while let Some(state) = unexplored.pop() {
            for next in self.external_events(&state).into_iter().chain(self.planned_changes(&state)?) {
                let next = next.normalized();
                if next.reachable() < classic_quorum(next.members.len()) {
                    self.seen.entry(next.clone()).or_insert(Some(state.clone()));
                    return Err(Violation::NoMajority(next));
                }
                if !self.seen.contains_key(&next) {
                    self.seen.insert(next.clone(), Some(state.clone()));
                    unexplored.push(next);
                }
            }
        }
        Ok(())
    }

    /// What can happen to the deployment without the planner.
    fn external_events(&self, state: &DeploymentState) -> Vec<DeploymentState> {
        let mut next_states = vec![];
        for (i, member) in state.members.iter().enumerate() {
            match member {
                MemberState::Up => {
                    next_states.push(state.with_member(i, MemberState::Leaving));
                    next_states.extend(self.losses_of(state, i));
                }
                MemberState::Leaving => next_states.extend(self.losses_of(state, i)),
                MemberState::Offline => next_states.push(state.with_member(i, MemberState::Up)),
                MemberState::Wiped | MemberState::Gone => (),
            }
        }
        if state.removed > 0 {
            next_states.push(DeploymentState {
                removed: state.removed - 1,
                ready: state.ready + 1,
                ..state.clone()
            });
        }
        // A new machine, in place of a lost one or of one that is about to leave.
        if state.machines() <= self.machines {
            next_states.push(DeploymentState { ready: state.ready + 1, ..state.clone() });
        }
        next_states
    }

    /// At most `losses` losses without a recovery, and never so many that an acknowledged change
    /// might be on no disk.
    fn losses_of(&self, state: &DeploymentState, index: usize) -> Vec<DeploymentState> {
        if state.losses_since_recovery == self.losses || state.reachable() <= self.losses + 1 {
            return vec![];
        }
        let lost = |member| DeploymentState {
            losses_since_recovery: state.losses_since_recovery + 1,
            ..state.with_member(index, member)
        };
        [MemberState::Offline, MemberState::Wiped, MemberState::Gone].map(lost).to_vec()
    }

    /// The states after each change the planner may propose; a recovery once it proposes nothing
    /// more.
    fn planned_changes(&mut self, state: &DeploymentState) -> Result<Vec<DeploymentState>, Violation> {
        let mut next_states = vec![];
        for (long_silence, settled) in [(false, false), (false, true), (true, true)] {
            let view = state.view(self.losses, long_silence, settled);
            if let Some(change) = (self.planner)(&view) {
                *self.changes.entry(change.reason).or_default() += 1;
                self.check(state, &view, &change)?;
                next_states.push(state.after(&change));
            } else if long_silence {
                next_states.push(DeploymentState { losses_since_recovery: 0, ..state.clone() });
            }
        }
        Ok(next_states)
    }

    /// Checks the module's invariants for a single change.
    fn check(
        &self,
        state: &DeploymentState,
        view: &MembershipView,
        change: &MembershipChange,
    ) -> Result<(), Violation> {
        let retained = |m: &Member| change.members.iter().any(|x| x.member_id == m.member_id);
        let must_stay = |i: usize| state.members[i] == MemberState::Up;
        let all_retained = view.members.iter().enumerate().all(|(i, m)| !must_stay(i) || retained(m));
        let enough = change.members.len() >= min_members(self.losses).min(view.members.len());
        let member_ids: BTreeSet<MemberId> = change.members.iter().map(|m| m.member_id).collect();
        let distinct = member_ids.len() == change.members.len();
        let lost = view.members.iter().filter(|m| !retained(m)).count();
        let one_change = lost <= 1 || change.reason == Reason::DiskReplaced;
        if all_retained && enough && distinct && one_change {
            Ok(())
        } else {
            Err(Violation::BrokenInvariant(state.clone()))
        }
    }

    /// The states leading to `end`.
    fn path(&self, end: &DeploymentState) -> Vec<DeploymentState> {
        let mut path = vec![end.clone()];
        while let Some(Some(before)) = self.seen.get(path.last().expect("never empty")) {
            path.push(before.clone());
        }
        path.reverse();
        path
    }
}

#[test]
fn given_losses_with_recovery_between_then_a_majority_remains_after_every_change() {
    for (losses, machines) in [(1, 3), (1, 4), (1, 5), (1, 6), (2, 5), (2, 6), (2, 7), (3, 7)] {
        let mut search = Search::new(losses, machines, MembershipView::plan);
        let end = search.run();
        println!(
            "f = {losses}, {machines} machines: {} states, changes planned {:?}",
            search.seen.len(),
            search.changes
        );
        if let Err(violation) = end {
            panic!(
                "f = {losses}, {machines} machines: {violation:?} after {:#?}",
                search.path(violation.at())
            );
        }
    }
}

/// Newcomers are only ever added; no member is replaced or removed.
fn only_adds_members(view: &MembershipView) -> Option<MembershipChange> {
    let nobody_silent = MembershipView {
        silent: BTreeSet::new(),
        suspected: BTreeSet::new(),
        leaving: BTreeSet::new(),
        ..view.clone()
    };
    nobody_silent.plan()
}

/// Silent members are removed however few members remain.
fn removes_below_the_minimum(view: &MembershipView) -> Option<MembershipChange> {
    MembershipView { losses: 0, ..view.clone() }.plan()
}

/// A member is removed although it is reachable and not leaving.
fn removes_a_reachable_member(view: &MembershipView) -> Option<MembershipChange> {
    let first = view.members.first().map(|m| m.member_id);
    MembershipView { silent: first.into_iter().collect(), ..view.clone() }.plan()
}

#[test]
fn given_a_planner_with_a_broken_rule_then_the_search_finds_a_violation() {
    let broken: [(&str, Planner, &str); 3] = [
        ("only adds members", only_adds_members, "no majority"),
        ("removes below the minimum", removes_below_the_minimum, "broken invariant"),
        ("removes a reachable member", removes_a_reachable_member, "broken invariant"),
    ];
    for (name, planner, expected) in broken {
        let mut search = Search::new(1, 4, planner);
        let end = search.run();
        println!("{name}: {} states, {end:?}", search.seen.len());
        let found = match end.expect_err(name) {
            Violation::NoMajority(_) => "no majority",
            Violation::BrokenInvariant(_) => "broken invariant",
        };
        assert_eq!(found, expected, "{name}");
    }
}
