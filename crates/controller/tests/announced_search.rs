//! A randomized search, by seed, over one subscriber of two controllers, of which one sends full items
//! and the other announces them: pieces lost, delayed and duplicated, and the two changing roles.
use control_state::*;
use controller::update_stream::{DeliveryMode, Piece, SendTerms, UpdateStream, MIN_WINDOW_BYTES};
use fastrand::Rng;
use primitives::{Addr, Birth, Mono, NodeId, Span, Version};
use std::collections::VecDeque;
use std::sync::Arc;

const SEEDS: u64 = 200;
const STEPS: usize = 400;
const KEYS: usize = 300;
/// Bytes of one item's text: larger than items that are always sent in full.
const ITEM_TEXT_BYTES: usize = 200;

fn addr(port: u16) -> Addr {
    format!("10.0.0.1:{port}").parse().expect("an address")
}

fn key(i: usize) -> Key {
    Key::Entry(Section::Services, format!("s{i:04}"))
}

fn item(version: u64) -> Item {
    let said = "x".repeat(ITEM_TEXT_BYTES);
    let service = ServiceEntry { health: "/".into(), connections: 1, dedups: false, rate: None, said };
    Item { ver: Version(version), body: Some(Body::Service(service)) }
}

fn follower() -> Follower {
    Follower::new(FollowerEnv {
        id: NodeId(9),
        role: Role::Edge,
        addr: addr(9),
        http: addr(9),
        zone: "a/b".into(),
        seeds: vec![],
        birth: Birth(1),
        life: 1,
        lease: Span::secs(1),
        capacity: 1,
        serve_without_lease: false,
    })
}

/// One controller's end.
struct Sender {
    addr: Addr,
    stream: UpdateStream,
    mode: DeliveryMode,
    /// The key and version of each sequence number.
    changes: Vec<(u64, Key, Version)>,
    pieces: VecDeque<(u64, Piece)>,
    acknowledgements: VecDeque<(u64, u64)>,
}

struct Search {
    rng: Rng,
    now: Mono,
    state: ControlState,
    senders: Vec<Sender>,
    follower: Follower,
}

impl Search {
    fn new(seed: u64) -> Search {
        let sender = |port: u16, mode| {
            let mut stream = UpdateStream::default();
            stream.start(Mono(1), u64::from(port), Arc::new([]));
            let (changes, pieces, acknowledgements) = (vec![], VecDeque::new(), VecDeque::new());
            Sender { addr: addr(port), stream, mode, changes, pieces, acknowledgements }
        };
        let senders = vec![sender(1, DeliveryMode::Whole), sender(2, DeliveryMode::Announced)];
        let (rng, state) = (Rng::with_seed(seed), ControlState::default());
        Search { rng, now: Mono(1), state, senders, follower: follower() }
    }

    fn change(&mut self) {
        let count = if self.rng.u8(0..20) == 0 { self.rng.usize(50..KEYS) } else { self.rng.usize(1..4) };
        let first = self.rng.usize(0..KEYS);
        let keys: Vec<Key> = (first..first + count).map(|i| key(i % KEYS)).collect();
        for key in &keys {
            let version = self.state.item(key).ver.0 + 1;
            self.state.items.insert(key.clone(), item(version));
        }
        for sender in &mut self.senders {
            let before = sender.stream.last();
            sender.stream.append(&keys.clone().into(), None);
            for (key, number) in keys.iter().zip(before + 1..) {
                sender.changes.push((number, key.clone(), self.state.item(key).ver));
            }
        }
    }

    fn send(&mut self, i: usize) {
        let (now, state) = (self.now, &self.state);
        let sender = &mut self.senders[i];
        while let Some(piece) = sender.stream.next_piece(
            now,
            state,
            SendTerms { mode: sender.mode, window: MIN_WINDOW_BYTES },
            |_, _| true,
        ) {
            sender.pieces.push_back((sender.stream.id(), piece));
        }
    }

    /// Delivers a piece; it may be lost, duplicated or delayed.
    fn deliver(&mut self, i: usize) {
        let sender = &mut self.senders[i];
        let Some((feed, piece)) = sender.pieces.pop_front() else { return };
        match self.rng.u8(0..10) {
            0 => return,
            1 => sender.pieces.push_back((feed, piece.clone())),
            2 => return sender.pieces.push_back((feed, piece)),
            _ => (),
        }
        let Piece { from, to, starts, items, announced } = piece;
        let (era, members, reply) = (Era(1), vec![], None);
        let update = Update { feed, from, to, full: starts, items, announced, era, members, reply };
        let (from, mut out) = (sender.addr, vec![]);
        self.follower.on_update(self.now, from, &update, &mut out);
        out.into_iter().for_each(|o| self.check_acknowledgement(o));
    }

    /// The subscriber holds every change that it acknowledges.
    fn check_acknowledgement(&mut self, out: Out) {
        let Out::Send(to, Msg::Got { feed, got, .. }) = out else { return };
        let sender = self.senders.iter_mut().find(|s| s.addr == to).expect("one of the two controllers");
        for (number, key, version) in sender.changes.iter().filter(|(n, ..)| *n <= got) {
            let held = self.follower.items.get(key).map_or(Version(0), |item| item.ver);
            assert!(
                held >= *version,
                "{to}: {got} is acknowledged, but {key:?} of {number} is held as {held:?}"
            );
        }
        sender.acknowledgements.push_back((feed, got));
    }

    fn acknowledge(&mut self, i: usize) {
        let sender = &mut self.senders[i];
        let Some((feed, got)) = sender.acknowledgements.pop_front() else { return };
        if self.rng.u8(0..10) > 0 && feed == sender.stream.id() {
            sender.stream.acknowledge(self.now, got);
        }
    }

    /// The controllers swap roles.
    fn swap_delivery_modes(&mut self) {
        for sender in &mut self.senders {
            sender.mode = match sender.mode {
                DeliveryMode::Whole => DeliveryMode::Announced,
                DeliveryMode::Announced => DeliveryMode::Whole,
            };
            if sender.mode == DeliveryMode::Whole {
                sender.stream.rewind();
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + Span::ms(self.rng.u64(1..60));
        let i = self.rng.usize(0..2);
        match self.rng.u8(0..100) {
            0..=14 => self.change(),
            15..=34 => self.send(i),
            35..=69 => self.deliver(i),
            70..=89 => self.acknowledge(i),
            90..=97 => drop(self.senders[i].stream.retry(self.now)),
            _ => self.swap_delivery_modes(),
        }
    }

    /// Runs long enough for everything to be delivered and acknowledged.
    fn finish(&mut self) {
        for _ in 0..2000 {
            self.now = self.now + Span::ms(200);
            for i in 0..2 {
                self.senders[i].stream.retry(self.now);
                self.send(i);
                (0..20).for_each(|_| self.deliver(i));
                (0..20).for_each(|_| self.acknowledge(i));
            }
        }
    }
}

/// Guards against acknowledging an announced item that the subscriber does not hold.
#[test]
fn given_one_controller_that_sends_and_one_that_announces_then_acknowledged_items_are_held() {
    for seed in 0..SEEDS {
        let mut search = Search::new(seed);
        (0..STEPS).for_each(|_| search.step());
        search.finish();
        for sender in &search.senders {
            assert!(!sender.stream.is_behind(), "{} lacks acknowledgements, seed {seed}", sender.addr);
        }
        for (key, item) in &search.state.items {
            assert_eq!(search.follower.items.get(key), Some(item), "seed {seed}");
        }
    }
}

/// Guards against items that stay announced although no other controller sends them in full.
#[test]
fn given_a_source_that_sends_nothing_then_the_other_controller_sends_full_items_after_retries() {
    let mut search = Search::new(1);
    // Enough changes for a piece that is announced.
    (0..40).for_each(|_| search.change());
    search.senders[0].mode = DeliveryMode::Announced;
    for _ in 0..50 {
        search.now = search.now + Span::ms(200);
        search.senders[1].stream.retry(search.now);
        search.send(1);
        search.deliver(1);
        search.acknowledge(1);
    }
    assert!(!search.senders[1].stream.is_behind());
}
