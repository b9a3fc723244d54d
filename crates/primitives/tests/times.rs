//! Points in time and spans at the end of their range.
use primitives::{Mono, Span};

// Guards against a span without limit, as a message carries it for an answer that does not expire,
// that wraps past the end of a clock: the answer then counted as expired long ago.
#[test]
fn given_a_span_without_limit_then_it_ends_at_the_end_of_time_and_not_in_the_past() {
    let now = Mono(5_000_000);
    assert_eq!(now + Span(u64::MAX), Mono(u64::MAX));
    assert_eq!(now + (Mono(u64::MAX) - Mono(1_000_000)), Mono(u64::MAX));
    assert_eq!(Span::secs(1) + Span(u64::MAX), Span(u64::MAX));
}
