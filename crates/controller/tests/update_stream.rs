//! One subscriber's update stream: bounded pieces, acknowledgements, retries, restarts.
mod routes;
use control_state::*;
use controller::update_stream::{
    DeliveryMode, Piece, SendTerms, UpdateStream, MAX_PIECE_BYTES, MIN_WINDOW_BYTES,
};
use primitives::{Mono, Span, Version};
use routes::{key, state, ROUTE_TEXT_BYTES};
use std::collections::BTreeMap;
use std::sync::Arc;

const FULL_ITEMS: SendTerms = SendTerms { mode: DeliveryMode::Whole, window: MIN_WINDOW_BYTES };
const ROUTES: usize = 1440;

fn keys(range: std::ops::Range<usize>) -> Arc<[Key]> {
    range.map(key).collect()
}

/// The receiving end: the items that it holds, and the number up to which it has no gap.
#[derive(Default)]
struct Receiver {
    stream: u64,
    acknowledged: u64,
    held: BTreeMap<Key, Version>,
}

impl Receiver {
    fn receive(&mut self, stream: u64, piece: &Piece) {
        for (key, item) in &piece.items {
            let held = self.held.entry(key.clone()).or_default();
            *held = item.ver.max(*held);
        }
        if piece.starts {
            (self.stream, self.acknowledged) = (stream, piece.to);
        } else if stream == self.stream && piece.from <= self.acknowledged {
            self.acknowledged = self.acknowledged.max(piece.to);
        }
    }
}

/// Takes pieces from the stream until it has none or the window is full.
fn pieces(stream: &mut UpdateStream, now: Mono, state: &ControlState) -> Vec<Piece> {
    std::iter::from_fn(|| stream.next_piece(now, state, FULL_ITEMS, |_, _| true)).collect()
}

/// Size of the items of a piece on the wire.
fn encoded_size(piece: &Piece) -> usize {
    postcard::to_stdvec(&piece.items).expect("plain data").len()
}

/// Delivers and acknowledges pieces until none is left. Returns their number.
fn deliver_all(stream: &mut UpdateStream, receiver: &mut Receiver, state: &ControlState) -> usize {
    let mut count = 0;
    loop {
        let sent = pieces(stream, Mono(0), state);
        if sent.is_empty() {
            return count;
        }
        let bytes: usize = sent.iter().map(encoded_size).sum();
        assert!(bytes <= MAX_PIECE_BYTES + MIN_WINDOW_BYTES, "{bytes} bytes in flight");
        sent.iter().for_each(|piece| receiver.receive(stream.id(), piece));
        stream.acknowledge(Mono(0), receiver.acknowledged);
        count += sent.len();
    }
}

#[test]
fn given_many_routes_at_once_then_bytes_in_flight_stay_within_the_window_and_all_arrive() {
    let mut stream = UpdateStream::default();
    let mut receiver = Receiver::default();
    stream.start(Mono(0), 1, keys(0..10));
    deliver_all(&mut stream, &mut receiver, &state(10));
    assert!(!stream.is_behind());
    stream.append(&keys(10..ROUTES), None);
    assert!(stream.is_behind());
    let count = deliver_all(&mut stream, &mut receiver, &state(ROUTES));
    assert!(count >= ROUTES * ROUTE_TEXT_BYTES / MAX_PIECE_BYTES, "{count} pieces");
    assert!(!stream.is_behind() && receiver.held.len() == ROUTES);
}

#[test]
fn given_a_whole_state_in_pieces_then_earlier_numbers_count_as_held_only_after_the_last_piece() {
    let mut stream = UpdateStream::default();
    let mut receiver = Receiver::default();
    stream.append(&keys(0..3), None);
    let number_before_start = stream.last();
    stream.start(Mono(0), 1, keys(0..ROUTES));
    let first = pieces(&mut stream, Mono(0), &state(ROUTES));
    assert!(first[0].starts && first.len() == 1, "{} pieces", first.len());
    receiver.receive(stream.id(), &first[0]);
    stream.acknowledge(Mono(0), receiver.acknowledged);
    assert!(
        !stream.holds(number_before_start),
        "an earlier number counts as held before the whole state arrived"
    );
    deliver_all(&mut stream, &mut receiver, &state(ROUTES));
    assert!(stream.holds(number_before_start) && !stream.is_behind());
}

#[test]
fn given_lost_pieces_then_they_are_resent_after_a_delay_within_the_window() {
    let mut stream = UpdateStream::default();
    let mut receiver = Receiver::default();
    stream.start(Mono(0), 1, keys(0..ROUTES));
    let lost = pieces(&mut stream, Mono(0), &state(ROUTES));
    assert!(!stream.retry(Mono(0) + Span::ms(200)), "a piece on a slow link was taken for lost");
    assert!(pieces(&mut stream, Mono(0), &state(ROUTES)).is_empty());
    assert!(stream.retry(Mono(0) + Span::secs(1)));
    assert_eq!(pieces(&mut stream, Mono(0), &state(ROUTES)), lost);
    // The resent pieces arrive, followed by the delayed first ones.
    lost.iter().chain(&lost).for_each(|piece| receiver.receive(1, piece));
    stream.acknowledge(Mono(0), receiver.acknowledged);
    deliver_all(&mut stream, &mut receiver, &state(ROUTES));
    assert!(!stream.is_behind() && receiver.held.len() == ROUTES);
}

#[test]
fn given_an_update_that_is_not_visible_then_no_later_update_is_sent() {
    let mut stream = UpdateStream::default();
    stream.start(Mono(0), 1, keys(0..0));
    stream.append(&keys(0..5), None);
    let hidden = key(3);
    let piece =
        stream.next_piece(Mono(0), &state(5), FULL_ITEMS, |k, _| *k != hidden).expect("the first three");
    assert_eq!(piece.items.len(), 3);
    assert!(stream.next_piece(Mono(0), &state(5), FULL_ITEMS, |k, _| *k != hidden).is_none());
    let rest = stream.next_piece(Mono(0), &state(5), FULL_ITEMS, |_, _| true).expect("the rest");
    assert_eq!((rest.from, rest.items.len()), (piece.to, 2));
}

#[test]
fn given_too_many_unacknowledged_updates_then_the_stream_restarts_and_old_numbers_wait_for_the_whole_state() {
    let mut stream = UpdateStream::default();
    let mut receiver = Receiver::default();
    stream.start(Mono(0), 1, keys(0..5));
    deliver_all(&mut stream, &mut receiver, &state(5));
    stream.append(&keys(5..6), None);
    let number_before_start = stream.last();
    (0..3).for_each(|_| stream.append(&keys(0..1000), None));
    assert!(!stream.is_started() && stream.is_behind() && !stream.holds(number_before_start));
    stream.start(Mono(0), 2, keys(0..1000));
    assert!(stream.is_behind() && !stream.holds(number_before_start));
    deliver_all(&mut stream, &mut receiver, &state(1000));
    assert!(stream.holds(number_before_start) && !stream.is_behind());
}
