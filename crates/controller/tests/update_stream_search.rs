//! A randomized search over one update stream, by seed: changes, pieces lost, duplicated and reordered,
//! late acknowledgements, keys that are not visible yet, subscribers that restart.
use control_state::*;
use controller::update_stream::{DeliveryMode, Piece, SendTerms, UpdateStream, MIN_WINDOW_BYTES};
use fastrand::Rng;
use primitives::{Mono, Span, Version};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const FULL_ITEMS: SendTerms = SendTerms { mode: DeliveryMode::Whole, window: MIN_WINDOW_BYTES };
const SEEDS: u64 = 200;
const STEPS: usize = 400;
const KEYS: usize = 1200;
/// Bytes of one item's text, large enough that a state takes several pieces.
const ITEM_TEXT_BYTES: usize = 200;

fn key(i: usize) -> Key {
    Key::Entry(Section::Services, format!("s{i:04}"))
}

fn item(version: u64) -> Item {
    let said = "x".repeat(ITEM_TEXT_BYTES);
    let service = ServiceEntry { health: "/".into(), connections: 1, dedups: false, rate: None, said };
    Item { ver: Version(version), body: Some(Body::Service(service)) }
}

/// A changed key with its sequence number and the version that the change set.
struct NumberedChange {
    number: u64,
    key: Key,
    version: Version,
}

#[derive(Default)]
struct Subscriber {
    stream: u64,
    /// The last sequence number that it holds without a gap.
    received: u64,
    held: BTreeMap<Key, Version>,
}

/// Both ends, and the messages in transit between them.
struct Search {
    rng: Rng,
    now: Mono,
    state: ControlState,
    stream: UpdateStream,
    subscriber: Subscriber,
    changes: Vec<NumberedChange>,
    hidden: BTreeSet<Key>,
    pieces: VecDeque<(u64, Piece)>,
    acknowledgements: VecDeque<(u64, u64)>,
}

impl Search {
    fn new(seed: u64) -> Search {
        let mut search = Search {
            rng: Rng::with_seed(seed),
            now: Mono(1),
            state: ControlState::default(),
            stream: UpdateStream::default(),
            subscriber: Subscriber::default(),
            changes: vec![],
            hidden: BTreeSet::new(),
            pieces: VecDeque::new(),
            acknowledgements: VecDeque::new(),
        };
        search.start();
        search
    }

    fn start(&mut self) {
        let keys: Arc<[Key]> = self.state.items.keys().cloned().collect();
        let id = self.stream.id().max(self.subscriber.stream) + 1;
        self.stream.start(self.now, id, keys);
    }

    /// Changes some keys, as one command would.
    fn change(&mut self) {
        let count = if self.rng.u8(0..20) == 0 { self.rng.usize(200..KEYS) } else { self.rng.usize(1..4) };
        let first = self.rng.usize(0..KEYS);
        let keys: Vec<Key> = (first..first + count).map(|i| key(i % KEYS)).collect();
        for key in &keys {
            let version = self.state.item(key).ver.0 + 1;
            self.state.items.insert(key.clone(), item(version));
        }
        let before = self.stream.last();
        self.stream.append(&keys.clone().into(), None);
        for (key, number) in keys.into_iter().zip(before + 1..) {
            let version = self.state.item(&key).ver;
            self.changes.push(NumberedChange { number, key, version });
        }
    }

    fn send(&mut self) {
        let hidden = &self.hidden;
        while let Some(piece) =
            self.stream.next_piece(self.now, &self.state, FULL_ITEMS, |k, _| !hidden.contains(k))
        {
            assert!(
                piece.items.iter().all(|(k, _)| !hidden.contains(k)),
                "a piece holds a key that is not visible"
            );
            self.pieces.push_back((self.stream.id(), piece));
        }
    }

    /// Delivers a piece; it may be lost, duplicated or delayed.
    fn deliver(&mut self) {
        let Some((stream, piece)) = self.pieces.pop_front() else { return };
        match self.rng.u8(0..10) {
            0 => return,
            1 => self.pieces.push_back((stream, piece.clone())),
            2 => return self.pieces.push_back((stream, piece)),
            _ => (),
        }
        let subscriber = &mut self.subscriber;
        for (key, item) in &piece.items {
            let held = subscriber.held.entry(key.clone()).or_default();
            *held = item.ver.max(*held);
        }
        let known = if subscriber.stream == stream { subscriber.received } else { 0 };
        if piece.starts {
            (subscriber.stream, subscriber.received) = (stream, piece.to.max(known));
        } else if subscriber.stream == stream && piece.from <= known {
            subscriber.received = piece.to.max(known);
        }
        self.acknowledgements.push_back((subscriber.stream, subscriber.received));
    }

    fn acknowledge(&mut self) {
        let Some((stream, received)) = self.acknowledgements.pop_front() else { return };
        if self.rng.u8(0..10) > 0 && stream == self.stream.id() {
            self.stream.acknowledge(self.now, received);
        }
    }

    /// The subscriber's periodic message, which names the stream that it follows.
    fn subscribe(&mut self) {
        if self.stream.is_started() && self.subscriber.stream == self.stream.id() {
            self.stream.acknowledge(self.now, self.subscriber.received);
            self.stream.retry(self.now);
        } else if self.stream.may_start(self.now, Span::secs(1)) {
            self.start();
        }
    }

    /// Restarts the subscriber: it holds nothing, and pieces sent to the old process may still arrive.
    fn restart(&mut self) {
        self.subscriber = Subscriber::default();
        self.acknowledgements.clear();
        self.start();
    }

    fn step(&mut self) {
        self.now = self.now + Span::ms(self.rng.u64(1..60));
        match self.rng.u8(0..100) {
            0..=14 => self.change(),
            15..=39 => self.send(),
            40..=64 => self.deliver(),
            65..=84 => self.acknowledge(),
            85..=94 => self.subscribe(),
            95 => self.restart(),
            96..=97 => self.hidden = BTreeSet::new(),
            _ => {
                let key = key(self.rng.usize(0..KEYS));
                self.hidden.insert(key);
            }
        }
    }

    /// If the stream counts a number as held, the subscriber holds that change.
    fn check(&self) {
        for change in self.changes.iter().filter(|c| self.stream.holds(c.number)) {
            let held = self.subscriber.held.get(&change.key).copied().unwrap_or_default();
            assert!(
                held >= change.version,
                "{:?} is held as {:?}, but number {} stands for {:?}",
                change.key,
                held,
                change.number,
                change.version
            );
        }
    }

    /// Runs until the subscriber holds everything.
    fn settle(&mut self) {
        self.hidden = BTreeSet::new();
        for _ in 0..5000 {
            if !self.stream.is_behind() {
                break;
            }
            self.now = self.now + Span::ms(50);
            self.send();
            self.deliver();
            self.acknowledge();
            self.subscribe();
        }
        assert!(!self.stream.is_behind(), "the subscriber does not catch up");
        let held = self.state.items.iter().all(|(k, i)| self.subscriber.held.get(k) == Some(&i.ver));
        assert!(held, "the stream counts everything as held, but the subscriber lacks some");
    }
}

#[test]
fn given_any_losses_and_restarts_then_a_subscriber_that_counts_as_holding_a_number_holds_it() {
    let mut change_count = 0;
    for seed in 0..SEEDS {
        let mut search = Search::new(seed);
        for _ in 0..STEPS {
            search.step();
            search.check();
        }
        search.settle();
        change_count += search.changes.len();
    }
    println!("{SEEDS} seeds of {STEPS} steps, {change_count} numbered changes");
}
