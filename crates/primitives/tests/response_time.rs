//! Timeouts derived from measured response times.
use primitives::{ResponseTimeEstimator, Span};

const MIN: Span = Span::ms(100);
const MAX: Span = Span::secs(1);

/// The timeout after these response times, in milliseconds.
fn timeout_after(samples: &[u64]) -> Span {
    let mut estimator = ResponseTimeEstimator::default();
    samples.iter().for_each(|ms| estimator.note(Span::ms(*ms)));
    estimator.limit(MIN, MAX)
}

#[test]
fn given_quick_responses_then_the_minimum_timeout_and_given_slow_ones_a_longer_one_up_to_a_maximum() {
    assert_eq!(timeout_after(&[]), MIN);
    assert_eq!(timeout_after(&[2; 20]), MIN);
    let slow = timeout_after(&[200; 40]);
    assert!((Span::ms(200)..Span::ms(230)).contains(&slow), "{slow:?}");
    let uneven = timeout_after(&[20, 300, 20, 300, 20, 300, 20, 300]);
    assert!((Span::ms(400)..MAX).contains(&uneven), "{uneven:?}");
    assert_eq!(timeout_after(&[9000; 5]), MAX);
}
