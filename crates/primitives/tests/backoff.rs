//! Intervals between repeats.
use primitives::{Backoff, Mono, Span};

#[test]
fn given_no_response_then_intervals_between_repeats_double_up_to_the_maximum() {
    let mut backoff = Backoff::new(Mono(0), Span::ms(50), Span::ms(400));
    let repeats: Vec<u64> = (0..2000).filter(|ms| backoff.due(Mono(0) + Span::ms(*ms))).collect();
    assert_eq!(repeats, [50, 150, 350, 750, 1150, 1550, 1950]);
}
