//! Memory of update streams while a state with many routes is sent to many subscribers.
mod routes;
use controller::key_list::KeyList;
use controller::update_stream::{DeliveryMode, Piece, SubscriberCounts, UpdateStream, MAX_PIECE_BYTES};
use primitives::{Mono, Span};
use routes::{state, ROUTE_TEXT_BYTES};
use std::sync::Arc;

const ROUTES: usize = 1500;

/// Guards against one list of all keys for each subscriber when all streams restart at once.
#[test]
fn given_many_streams_that_start_with_the_same_state_then_they_share_one_list_of_its_keys() {
    let (mut state, mut list) = (state(ROUTES), KeyList::default());
    let first = list.of(&state);
    assert!(first.iter().eq(state.items.keys()));
    assert!(Arc::ptr_eq(&first, &list.of(&state)));
    state.items.pop_first();
    assert!(list.of(&state).iter().eq(state.items.keys()), "a removed key is still in the list");
}

/// Guards against sending the whole state at once to every subscriber that is slow to acknowledge.
#[test]
fn given_a_subscriber_that_acknowledges_no_announcement_then_it_gets_full_items_one_piece_at_a_time() {
    let (state, mut stream, mut now) = (state(ROUTES), UpdateStream::default(), Mono(0));
    let announced = SubscriberCounts::default().terms(DeliveryMode::Announced);
    stream.start(now, 1, KeyList::default().of(&state));
    let mut bytes_in_last_round = 0;
    for _ in 0..8 {
        let pieces = std::iter::from_fn(|| stream.next_piece(now, &state, announced, |_, _| true));
        let full_bytes = pieces.map(|p| p.items.iter().map(|(_, item)| item.size()).sum::<usize>());
        bytes_in_last_round = full_bytes.sum();
        now = now + Span::secs(20);
        stream.retry(now);
    }
    println!("{bytes_in_last_round} bytes at a time of {}", ROUTES * ROUTE_TEXT_BYTES);
    assert!(bytes_in_last_round > 0, "no full items were sent");
    assert!(bytes_in_last_round <= MAX_PIECE_BYTES, "{bytes_in_last_round} bytes at a time");
}

fn encoded_size(value: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(value).expect("plain data encodes").len()
}

/// Size of a piece's items and announcements on the wire.
fn encoded_piece_size(piece: &Piece) -> usize {
    let items: usize = piece.items.iter().map(encoded_size).sum();
    items + piece.announced.iter().map(encoded_size).sum::<usize>()
}

/// Guards against high memory use when a large change is sent to all subscribers at once.
#[test]
fn given_a_change_of_many_routes_then_the_bytes_in_flight_to_all_subscribers_together_are_bounded() {
    // What one of eight controllers has in a deployment of eighty nodes.
    const FULL_SUBSCRIBERS: usize = 10;
    const ANNOUNCED_SUBSCRIBERS: usize = 70;
    // Two megabytes for each of the two delivery modes.
    const MAX_TOTAL_BYTES: usize = 2 * (2 << 20);
    let state = state(ROUTES);
    let keys = KeyList::default().of(&state);
    let modes =
        [vec![DeliveryMode::Whole; FULL_SUBSCRIBERS], vec![DeliveryMode::Announced; ANNOUNCED_SUBSCRIBERS]]
            .concat();
    let subscriber_counts = SubscriberCounts::count(modes.iter().copied());
    let mut total_bytes = 0;
    for mode in modes {
        let mut stream = UpdateStream::default();
        stream.start(Mono(0), 1, keys.clone());
        let terms = subscriber_counts.terms(mode);
        let pieces = std::iter::from_fn(|| stream.next_piece(Mono(0), &state, terms, |_, _| true));
        total_bytes += pieces.map(|piece| encoded_piece_size(&piece)).sum::<usize>();
    }
    println!("{total_bytes} bytes in flight");
    assert!(total_bytes <= MAX_TOTAL_BYTES, "{total_bytes} bytes in flight");
}
