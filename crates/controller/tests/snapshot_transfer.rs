//! Snapshot transfer between one receiver and its senders, message by message.
use control_state::*;
use controller::snapshot_transfer::{
    AddressedMessage, Piece, Progress, SnapshotReceiver, SnapshotSender, RETRY_AFTER,
};
use primitives::{Addr, Mono, Span, Version};

const ROUTES: usize = 3000;

fn addr(last: u8) -> Addr {
    Addr(([10, 0, 0, last], 1).into())
}

/// A state of some hundred kilobytes.
fn state(era: u64, routes: usize) -> ControlState {
    let body = |i: usize| Body::Limits(limits(format!("{i:0100}")));
    let item = |i| {
        (Key::Entry(Section::Limits, format!("route-{i}")), Item { ver: Version(1), body: Some(body(i)) })
    };
    ControlState {
        era: Era(era),
        items: (0..routes).map(item).collect(),
        clock: 7,
        ..ControlState::default()
    }
}

fn limits(text: String) -> CallerLimits {
    CallerLimits { heads: 1, body: 1, head_wait: Span::ms(1), idle: Span::ms(1), said: text }
}

/// One receiver and several senders, on one clock.
struct TransferTest {
    now: Mono,
    senders: Vec<(Addr, SnapshotSender, ControlState)>,
    receiver: SnapshotReceiver,
    pieces: usize,
}

impl TransferTest {
    fn new(states: Vec<ControlState>) -> TransferTest {
        let sender = |(i, state)| (addr(i as u8 + 1), SnapshotSender::default(), state);
        let senders = states.into_iter().enumerate().map(sender).collect();
        TransferTest { now: Mono(1_000_000), senders, receiver: SnapshotReceiver::default(), pieces: 0 }
    }

    fn offer(&mut self, sender: usize) -> Progress {
        let (from, snapshot_sender, state) = &mut self.senders[sender];
        let (from, message) = (*from, snapshot_sender.offer(self.now, state));
        self.deliver(from, message)
    }

    fn deliver(&mut self, from: Addr, message: SnapshotMessage) -> Progress {
        match message {
            SnapshotMessage::Offer { id, clock } => self.receiver.on_offer(self.now, from, id, clock, Era(0)),
            SnapshotMessage::Piece { id, clock, offset, bytes } => {
                self.pieces += 1;
                self.receiver.on_piece(self.now, from, Piece { id, clock, offset, bytes }, Era(0))
            }
            SnapshotMessage::Request { .. } => panic!("a receiver gets no request"),
        }
    }

    fn request(&mut self, (to, message): AddressedMessage) {
        let SnapshotMessage::Request { id, offset } = message else { panic!("not a request: {message:?}") };
        let found = self.senders.iter_mut().find(|(a, ..)| *a == to);
        found.into_iter().for_each(|(_, sender, _)| sender.on_request(addr(99), id, offset));
    }

    /// The messages sent by any sender within one tick.
    fn replies(&mut self) -> Vec<(Addr, SnapshotMessage)> {
        self.now = self.now + Span::ms(10);
        let now = self.now;
        let replies = self
            .senders
            .iter_mut()
            .filter_map(|(from, sender, state)| sender.tick(now, state).map(|(_, message)| (*from, message)));
        replies.collect()
    }

    /// Runs the transfer to its end; `copies` returns how many copies of the n-th reply arrive.
    fn run(&mut self, first: Progress, copies: impl Fn(usize) -> usize) -> Option<ControlState> {
        let mut next = vec![first];
        let mut replies = 0;
        for _ in 0..20_000 {
            for progress in std::mem::take(&mut next) {
                match progress {
                    Progress::Request(request) => self.request(request),
                    Progress::Complete(state) => return Some(*state),
                    Progress::DigestMismatch => return None,
                    Progress::Nothing => (),
                }
            }
            for (from, message) in self.replies() {
                replies += 1;
                for _ in 0..copies(replies) {
                    let progress = self.deliver(from, message.clone());
                    next.push(progress);
                }
            }
            let progress = self.receiver.tick(self.now);
            next.push(progress);
        }
        None
    }
}

#[test]
fn given_a_large_state_then_it_is_sent_in_bounded_pieces_at_a_bounded_rate() {
    let snapshot_state = state(3, ROUTES);
    let size = postcard::to_stdvec(&snapshot_state).unwrap().len();
    let mut test = TransferTest::new(vec![snapshot_state.clone()]);
    let started = test.now;
    let first = test.offer(0);
    assert!(matches!(first, Progress::Request(_)), "{first:?}");
    assert_eq!(test.run(first, |_| 1), Some(snapshot_state));
    assert_eq!(test.pieces, size.div_ceil(SNAPSHOT_CHUNK_BYTES));
    // Leaves five of nine Mbit/s to live changes.
    let rate = size as f64 / ((test.now - started).0 as f64 / 1e6);
    assert!(rate < 800_000.0, "{rate} bytes a second");
}

#[test]
fn given_a_small_state_then_the_offer_contains_it() {
    let snapshot_state = state(3, 10);
    let mut test = TransferTest::new(vec![snapshot_state.clone()]);
    assert_eq!(test.offer(0), Progress::Complete(Box::new(snapshot_state)));
}

#[test]
fn given_lost_and_repeated_pieces_then_the_state_arrives_complete() {
    let snapshot_state = state(3, ROUTES);
    let mut test = TransferTest::new(vec![snapshot_state.clone()]);
    let first = test.offer(0);
    assert_eq!(test.run(first, |n| [1, 0, 2, 3][n % 4]), Some(snapshot_state));
}

#[test]
fn given_a_piece_out_of_order_or_repeated_then_it_is_ignored() {
    let snapshot_state = state(3, ROUTES);
    let mut test = TransferTest::new(vec![snapshot_state.clone()]);
    let Progress::Request(request) = test.offer(0) else { panic!("no request") };
    let (to, SnapshotMessage::Request { id, .. }) = request.clone() else { panic!("no request") };
    let mut other_sender = SnapshotSender::default();
    other_sender.offer(test.now, &snapshot_state);
    other_sender.on_request(addr(99), id, SNAPSHOT_CHUNK_BYTES as u64);
    let (_, later_piece) = other_sender.tick(test.now, &snapshot_state).expect("a piece");
    assert_eq!(test.deliver(to, later_piece.clone()), Progress::Nothing);
    test.request(request);
    let (from, piece) = test.replies().remove(0);
    let next = test.deliver(from, piece.clone());
    assert!(matches!(next, Progress::Request(_)));
    assert_eq!(test.deliver(from, piece), Progress::Nothing);
    assert_eq!(test.run(next, |_| 1), Some(snapshot_state));
}

#[test]
fn given_a_sender_that_stops_answering_then_another_continues_at_the_same_offset() {
    let snapshot_state = state(3, ROUTES);
    // Each member has its own clock; the state is the same.
    let mut test = TransferTest::new(vec![
        snapshot_state.clone(),
        ControlState { clock: 900, ..snapshot_state.clone() },
    ]);
    let first = test.offer(0);
    assert_eq!(test.offer(1), Progress::Nothing);
    let mut next = first;
    for _ in 0..3 {
        let Progress::Request(request) = next else { panic!("{next:?}") };
        test.request(request);
        test.now = test.now + Span::ms(100);
        let (from, piece) = test.replies().remove(0);
        next = test.deliver(from, piece);
    }
    let pieces = test.pieces;
    test.senders[0].0 = addr(77);
    let received = test.run(next, |_| 1).expect("the other sender has it");
    assert_eq!(received, ControlState { clock: 900, ..snapshot_state.clone() });
    let size = postcard::to_stdvec(&snapshot_state).unwrap().len();
    assert_eq!(test.pieces, size.div_ceil(SNAPSHOT_CHUNK_BYTES), "{pieces} before the change");
}

#[test]
fn given_a_new_era_at_the_sender_then_the_current_transfer_ends_first() {
    let snapshot_state = state(3, ROUTES);
    let mut test = TransferTest::new(vec![snapshot_state.clone()]);
    let first = test.offer(0);
    test.senders[0].2 = state(4, ROUTES);
    assert_eq!(test.run(first, |_| 1), Some(snapshot_state));
    test.now = test.now + Span::secs(5);
    let next = test.offer(0);
    assert_eq!(test.run(next, |_| 1), Some(state(4, ROUTES)));
}

#[test]
fn given_a_sender_that_dropped_the_snapshot_then_its_newer_one_is_transferred() {
    let mut test = TransferTest::new(vec![state(3, ROUTES)]);
    let first = test.offer(0);
    test.senders[0].1 = SnapshotSender::default();
    test.senders[0].2 = state(4, ROUTES);
    assert_eq!(test.run(first, |_| 1), Some(state(4, ROUTES)));
}

#[test]
fn given_pieces_that_do_not_match_the_digest_then_they_are_discarded() {
    let snapshot_state = state(3, ROUTES);
    let mut test = TransferTest::new(vec![snapshot_state.clone()]);
    let Progress::Request((to, SnapshotMessage::Request { id, .. })) = test.offer(0) else {
        panic!("no request")
    };
    let id = SnapshotId { digest: id.digest ^ 1, ..id };
    test.receiver.cancel();
    let mut next = test.receiver.on_offer(test.now, to, id, 7, Era(0));
    let bytes = postcard::to_stdvec(&ControlState { clock: 0, ..snapshot_state }).unwrap();
    for (n, part) in bytes.chunks(SNAPSHOT_CHUNK_BYTES).enumerate() {
        let offset = (n * SNAPSHOT_CHUNK_BYTES) as u64;
        next = test.deliver(to, SnapshotMessage::Piece { id, clock: 7, offset, bytes: part.to_vec() });
    }
    assert_eq!(next, Progress::DigestMismatch);
    assert!(!test.receiver.active());
}

#[test]
fn given_no_answers_then_the_transfer_is_abandoned() {
    let mut test = TransferTest::new(vec![state(3, ROUTES)]);
    test.offer(0);
    for _ in 0..11 {
        test.now = test.now + RETRY_AFTER;
        test.receiver.tick(test.now);
    }
    assert!(!test.receiver.active());
}

#[test]
fn given_an_old_era_or_an_excessive_size_then_the_offer_is_ignored() {
    let mut receiver = SnapshotReceiver::default();
    let id = SnapshotId { era: Era(3), size: 1 << 20, digest: 1 };
    assert_eq!(receiver.on_offer(Mono(1), addr(1), id, 0, Era(3)), Progress::Nothing);
    let id = SnapshotId { size: 1 << 40, ..id };
    assert_eq!(receiver.on_offer(Mono(1), addr(1), id, 0, Era(2)), Progress::Nothing);
    assert!(!receiver.active());
}
