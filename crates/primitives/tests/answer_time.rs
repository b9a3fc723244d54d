//! How long answers are waited for.
use primitives::{ResponseTimeEstimator, Span};

const LEAST: Span = Span::ms(100);
const LONGEST: Span = Span::secs(1);

fn after(samples: &[u64]) -> Span {
    let mut time = ResponseTimeEstimator::default();
    samples.iter().for_each(|ms| time.note(Span::ms(*ms)));
    time.limit(LEAST, LONGEST)
}

#[test]
fn given_quick_answers_then_the_least_is_waited_and_given_slow_ones_more_up_to_a_bound() {
    assert_eq!(after(&[]), LEAST);
    assert_eq!(after(&[2; 20]), LEAST);
    let slow = after(&[200; 40]);
    assert!((Span::ms(200)..Span::ms(230)).contains(&slow), "{slow:?}");
    let uneven = after(&[20, 300, 20, 300, 20, 300, 20, 300]);
    assert!((Span::ms(400)..LONGEST).contains(&uneven), "{uneven:?}");
    assert_eq!(after(&[9000; 5]), LONGEST);
}
