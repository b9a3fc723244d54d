//! How repeats are paced.
use primitives::{Backoff, Mono, Span};

#[test]
fn given_no_answer_then_repeats_come_ever_more_seldom() {
    let mut backoff = Backoff::new(Mono(0), Span::ms(50), Span::ms(400));
    let repeats: Vec<u64> = (0..2000).filter(|at| backoff.due(Mono(0) + Span::ms(*at))).collect();
    assert_eq!(repeats, [50, 150, 350, 750, 1150, 1550, 1950]);
}
