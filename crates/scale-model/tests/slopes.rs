//! Stories of lines through points, and of one level of relays.
use caesar::MemberId;
use primitives::{Mono, NodeId, Span, Version};
use scale_model::*;

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-6 * b.abs().max(1.0)
}

#[test]
fn given_points_on_a_line_when_fitted_then_slope_and_intercept_are_its_own() {
    let on = |x: f64| (x, 3.5 * x + 40.0);
    let l = Line::through(&[on(50.0), on(200.0), on(800.0), on(200.0)]).expect("three sizes");
    assert!(near(l.slope, 3.5) && near(l.intercept, 40.0) && near(l.fit, 1.0), "{l:?}");
    assert!(near(l.reaches(390.0).expect("rises"), 100.0));
    assert_eq!(Line { slope: -1.0, ..l }.reaches(390.0), None);
}

#[test]
fn given_two_sizes_when_fitted_then_there_is_no_slope() {
    assert_eq!(Line::through(&[(50.0, 1.0), (200.0, 2.0), (200.0, 2.1)]), None);
    assert_eq!(Growth::of(&[(50.0, 1.0), (200.0, 2.0)]), None);
}

#[test]
fn given_points_on_a_square_when_fitted_then_the_size_that_passes_an_allowance_is_by_it() {
    let on = |x: f64| (x, 0.25 * x * x + 10.0);
    let g = Growth::of(&[on(10.0), on(20.0), on(40.0), on(80.0)]).expect("four sizes");
    assert!(matches!(g, Growth::Square(l) if near(l.slope, 0.25)), "{g:?}");
    assert!(near(g.passes(2510.0).expect("rises"), 100.0));
    assert!(near(g.at(100.0), 2510.0));
}

#[test]
fn given_noise_when_fitted_then_the_fit_says_how_much_the_line_explains() {
    let l = Line::through(&[(1.0, 2.0), (2.0, 1.0), (3.0, 2.0), (4.0, 1.0)]).expect("four sizes");
    assert!(l.fit < 0.5, "{l:?}");
    assert_eq!(spread(&[3.0, 1.0, 2.0]), Some((1.0, 2.0, 3.0)));
    assert_eq!(spread(&[]), None);
}

fn purge(n: u64) -> Vec<(control_state::Key, control_state::Item)> {
    let k = control_state::Key::Purge("pages".into(), format!("p{n}"));
    vec![(k, control_state::Item { ver: Version(1), body: Some(control_state::Body::Purge) })]
}

fn word(id: u16, got: u64, renew: bool) -> Word {
    Word { id: NodeId(id as u64), life: 1, got, ask: Mono(5), renew }
}

#[test]
fn given_a_child_that_may_serve_when_it_lacks_a_purge_then_the_relay_acknowledges_it_to_nobody() {
    let now = Mono(1_000_000);
    let mut r = Relay::default();
    r.renewed(MemberId(0), now + Span::secs(10));
    let lent = |b: Option<Bundle>| matches!(b, Some(Bundle::Renew { lent, .. }) if !lent.is_empty());
    assert!(lent(r.word(now, &word(1, 0, true), &[])));
    assert!(lent(r.word(now, &word(2, 0, true), &[])));
    r.news(MemberId(0), 9, purge(1));
    assert!(matches!(r.flush(), Some(Bundle::Batch { from: 0, to: 1, .. })));
    assert_eq!(r.word(now, &word(1, 1, false), &[]), None);
    assert_eq!(r.acks(now), vec![], "the other one may serve without");
    r.word(now, &word(2, 1, false), &[]);
    assert_eq!(r.acks(now), vec![(MemberId(0), 9)]);
}

#[test]
fn given_a_lost_child_when_its_renewals_ran_out_then_it_holds_nothing_up_and_is_not_renewed_without() {
    let now = Mono(1_000_000);
    let mut r = Relay::default();
    r.renewed(MemberId(0), now + Span::secs(10));
    r.word(now, &word(1, 0, true), &[]);
    r.news(MemberId(0), 9, purge(1));
    assert_eq!(r.acks(now + Span::secs(9)), vec![]);
    assert_eq!(r.acks(now + Span::secs(11)), vec![(MemberId(0), 9)]);
    // It comes back and holds nothing: what was acknowledged for it, it must have first.
    r.renewed(MemberId(0), now + Span::secs(30));
    let later = now + Span::secs(12);
    let none = Some(Bundle::Renew { ask: Mono(5), life: 1, lent: vec![], fresh: vec![] });
    assert_eq!(r.word(later, &word(1, 0, true), &[]), none);
    assert_ne!(r.word(later, &word(1, 1, true), &[]), none);
}

#[test]
fn given_a_purge_that_six_controllers_tell_when_it_goes_on_then_it_goes_on_once() {
    let mut r = Relay::default();
    (0..6).for_each(|k| r.news(MemberId(k), 3, purge(1)));
    assert!(matches!(r.flush(), Some(Bundle::Batch { to: 1, items, .. }) if items.len() == 1));
    assert_eq!(r.acks(Mono(1)).len(), 6);
}
