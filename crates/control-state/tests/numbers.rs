//! Properties of version numbers and contents of entries, over random calls.
use control_state::*;
use primitives::{Span, Version};
use proptest::prelude::*;
use std::collections::BTreeMap;

type Confirmed = BTreeMap<(Key, Version), ContentDigest>;

fn service(rate: u64) -> Body {
    Body::Service(ServiceEntry {
        health: String::new(),
        connections: 0,
        dedups: false,
        rate: Some(rate),
        said: String::new(),
    })
}

fn route(weights: Vec<(Svc, u64)>) -> Body {
    Body::Lane(LaneEntry {
        host: "h".into(),
        prefix: "/".into(),
        kind: Kind::Plain,
        timeout: Span::secs(1),
        aim: Span::secs(1),
        rank: 0,
        weights,
        attempts: 1,
        ttl: Span(0),
        said: String::new(),
    })
}

/// Few names, numbers and contents, so that calls collide; content 0 deletes the entry.
fn any_edit() -> impl Strategy<Value = Edit> {
    (0..3usize, 1..7u64, 0..3u64).prop_map(|(name, ver, content)| {
        let body = (content > 0).then(|| service(content));
        Edit::new(Section::Services, ["x", "y", "z"][name], Version(ver), body)
    })
}

fn any_calls() -> impl Strategy<Value = Vec<Vec<Edit>>> {
    prop::collection::vec(prop::collection::vec(any_edit(), 1..4), 1..40)
}

fn apply(state: &mut ControlState, call: &[Edit]) -> Verdict {
    state.apply(&Change { id: None, op: Op::Edit(call.to_vec()) }).0
}

/// Whether a number of the call stands for other content, already or within the call.
fn conflicts_with(confirmed: &Confirmed, call: &[Edit]) -> bool {
    let conflicts_with_confirmed =
        |edit: &Edit| confirmed.get(&(edit.key(), edit.ver)).is_some_and(|content| *content != edit.content);
    let conflicts_within_call = |edit: &Edit| {
        call.iter()
            .any(|other| (other.key(), other.ver) == (edit.key(), edit.ver) && other.content != edit.content)
    };
    call.iter().any(|edit| conflicts_with_confirmed(edit) || conflicts_within_call(edit))
}

proptest! {
    #[test]
    fn given_any_calls_then_a_number_has_one_content_and_a_refused_call_no_effect(calls in any_calls()) {
        let mut state = ControlState::default();
        let mut confirmed = Confirmed::new();
        for call in &calls {
            let before = state.clone();
            match apply(&mut state, call) {
                Verdict::Done(_) => {
                    prop_assert!(!conflicts_with(&confirmed, call), "{call:?}");
                    confirmed.extend(call.iter().map(|edit| ((edit.key(), edit.ver), edit.content)));
                }
                Verdict::Conflict(number) => {
                    prop_assert!(conflicts_with(&confirmed, call), "{call:?}");
                    prop_assert!(call
                        .iter()
                        .any(|e| (e.section, &e.name, e.ver) == (number.section, &number.name, number.ver)));
                    prop_assert_eq!(&state, &before);
                }
                verdict => prop_assert!(false, "{verdict:?} of {call:?}"),
            }
        }
        // Each entry has its highest number, with the content of that number.
        for ((key, ver), content) in &confirmed {
            let item = state.item(key);
            prop_assert!(item.ver >= *ver);
            if let (true, Key::Entry(section, name)) = (item.ver == *ver, key) {
                prop_assert_eq!(Edit::new(*section, name, item.ver, item.body).content, *content);
            }
        }
    }

    #[test]
    fn given_confirmed_calls_then_each_is_confirmed_again_without_effect_after_all_others_and_in_the_next_era(
        calls in any_calls(),
    ) {
        let mut state = ControlState::default();
        let confirmed: Vec<_> =
            calls.iter().filter(|call| matches!(apply(&mut state, call), Verdict::Done(_))).collect();
        let mut state = state.cut(&[], Era(0), 0);
        let before = state.clone();
        for call in confirmed {
            prop_assert!(state.all_confirmed(call));
            prop_assert_eq!(apply(&mut state, call), Verdict::Done(vec![]));
        }
        prop_assert_eq!(state, before);
    }

    #[test]
    fn given_weights_in_any_order_then_the_digest_is_the_same_and_with_another_weight_it_differs(
        weights in prop::collection::vec(("[a-c]", 1..9u64), 1..5),
        rotation in 0..5usize,
        changed in 0..5usize,
    ) {
        let all: Vec<(Svc, u64)> = weights.iter().map(|(svc, weight)| (Svc(svc.clone()), *weight)).collect();
        let edit =
            |weights: Vec<(Svc, u64)>| Edit::new(Section::Lanes, "r", Version(1), Some(route(weights)));
        let mut rotated = all.clone();
        rotated.rotate_left(rotation % all.len());
        prop_assert_eq!(edit(rotated).content, edit(all.clone()).content);
        let mut other = all.clone();
        other[changed % all.len()].1 += 10;
        prop_assert_ne!(edit(other).content, edit(all).content);
    }
}

#[test]
fn given_more_numbers_than_are_kept_then_the_lowest_are_reported_as_forgotten_and_kept_ones_confirmed() {
    let edit_numbered = |name: &str, number: u64| {
        vec![Edit::new(Section::Services, name, Version(number), Some(service(number)))]
    };
    let mut state = ControlState::default();
    assert!(matches!(apply(&mut state, &edit_numbered("rare", 1)), Verdict::Done(_)));
    let last = MAX_CONFIRMED_NUMBERS as u64 + 9;
    for number in 1..=last {
        assert!(matches!(apply(&mut state, &edit_numbered("often", number)), Verdict::Done(_)));
    }
    assert_eq!(state.confirmed.count(), MAX_CONFIRMED_NUMBERS);
    // Ten numbers were dropped, all from the entry that has the most.
    let before = state.clone();
    for number in [1, 10] {
        let forgotten =
            EntryNumber { section: Section::Services, name: "often".into(), ver: Version(number) };
        assert_eq!(apply(&mut state, &edit_numbered("often", number)), Verdict::Forgotten(forgotten));
    }
    for again in [edit_numbered("often", 11), edit_numbered("often", last), edit_numbered("rare", 1)] {
        assert_eq!(apply(&mut state, &again), Verdict::Done(vec![]));
    }
    assert_eq!(state, before);
}
