//! Stories of peers that are slow, silent or gone: what waits for them is bounded and
//! grows old, frames stay whole, and connections are made anew.
mod peers;

use control_state::{Msg, Object, RequestId, Site, Svc};
use peers::{digests, number, Peer};
use primitives::{Addr, Birth};
use runtime::net::{Counts, Net};
use std::io::Read;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// More than any socket buffer on the way.
const FAR_TOO_MUCH: usize = 64 << 20;
const BOUND: usize = 16 << 20;
const BIG: usize = 1 << 20;

fn net(counts: &Arc<Counts>) -> Net {
    let me = Addr("127.0.0.1:9".parse().unwrap());
    Net::new(me, Arc::new(|_: &Addr| Duration::ZERO), counts.clone())
}

fn wait(what: &str, ok: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !ok() {
        assert!(Instant::now() < end, "{what} did not come about");
        sleep(Duration::from_millis(5));
    }
}

fn get(c: &AtomicU64) -> u64 {
    c.load(Relaxed)
}

/// Not periodic; tells its number and is as large as asked.
fn copy_ask(n: u64, size: usize) -> Msg {
    let object = Object { service: Svc("s".into()), site: Site("l".into()), path: "x".repeat(size) };
    let ask = RequestId { birth: Birth(1), n };
    Msg::CopyQuery {
        ask,
        object,
        heads: Default::default(),
        reach: control_state::Reach::Zone,
        held: None,
        patience: Default::default(),
    }
}

fn asked(m: &Msg) -> u64 {
    match m {
        Msg::CopyQuery { ask, .. } => ask.n,
        _ => panic!("only copies are asked for: {m:?}"),
    }
}

#[test]
fn given_a_peer_that_does_not_read_when_more_is_sent_than_may_wait_then_the_oldest_go_and_frames_stay_whole()
{
    let counts = Arc::new(Counts::default());
    let (mut net, mut peer) = (net(&counts), Peer::new());
    let all = (FAR_TOO_MUCH / BIG) as u64;
    let began = Instant::now();
    for n in 0..all {
        net.send(peer.at(), &copy_ask(n, BIG));
    }
    assert!(began.elapsed() < Duration::from_secs(1), "no sender waits: {:?}", began.elapsed());
    assert!(get(&counts.overflowed) > 0, "the queue is bounded");
    peer.accept();
    let got: Vec<u64> = peer.read_all(Duration::from_millis(500)).iter().map(asked).collect();
    assert!(got.windows(2).all(|w| w[0] < w[1]), "in order: {got:?}");
    assert_eq!(got.last(), Some(&(all - 1)), "the newest stays");
    assert!(got.len() >= BOUND / BIG - 1, "what may wait does: {}", got.len());
    assert_eq!(got.len() as u64 + get(&counts.dropped), all, "every one came or is counted");
}

#[test]
fn given_a_peer_that_does_not_answer_when_it_returns_then_old_periodic_messages_are_gone_and_others_come() {
    let counts = Arc::new(Counts::default());
    let (mut net, mut peer) = (net(&counts), Peer::new());
    let at = peer.at();
    peer.stop_listening();
    for n in 0..10 {
        net.send(at, &digests(n));
    }
    net.send(at, &copy_ask(7, 10));
    sleep(Duration::from_millis(2500));
    net.send(at, &digests(99));
    assert_eq!(get(&counts.expired), 10);
    assert!(get(&counts.connect_failures) > 1);
    peer.listen_again(at);
    peer.accept();
    assert_eq!(asked(&peer.read()), 7);
    assert_eq!(number(&peer.read()), 99);
}

#[test]
fn given_a_peer_that_stops_reading_within_a_frame_when_nothing_gets_on_then_the_link_is_made_anew_and_frames_are_whole(
) {
    let counts = Arc::new(Counts::default());
    let (mut net, mut peer) = (net(&counts), Peer::new());
    net.send(peer.at(), &copy_ask(1, 15 * BIG));
    peer.accept();
    // A part of the frame only.
    peer.stream().read_exact(&mut [0; 1000]).unwrap();
    let began = Instant::now();
    wait("giving the connection up", || get(&counts.stalled) == 1);
    assert!(began.elapsed() > Duration::from_millis(1000), "too soon: {:?}", began.elapsed());
    net.send(peer.at(), &digests(2));
    peer.accept();
    assert_eq!(asked(&peer.read()), 1, "begun anew from its first byte");
    assert_eq!(number(&peer.read()), 2);
    assert_eq!(get(&counts.dropped), 0);
}

#[test]
fn given_a_slow_peer_when_it_takes_a_little_at_a_time_then_the_link_stays_and_the_frame_comes_whole() {
    let counts = Arc::new(Counts::default());
    let (mut net, mut peer) = (net(&counts), Peer::new());
    net.send(peer.at(), &copy_ask(1, 15 * BIG));
    peer.accept();
    let mut frame = vec![0; 15 * BIG];
    for piece in frame.chunks_mut(3 * BIG) {
        sleep(Duration::from_millis(700));
        peer.stream().read_exact(piece).unwrap();
    }
    net.send(peer.at(), &digests(2));
    assert_eq!((get(&counts.stalled), get(&counts.connected)), (0, 1));
}

#[test]
fn given_a_peer_that_hung_up_when_more_is_sent_then_it_comes_on_a_new_connection() {
    let counts = Arc::new(Counts::default());
    let (mut net, mut peer) = (net(&counts), Peer::new());
    for n in 0..3 {
        net.send(peer.at(), &digests(n));
        peer.accept();
        assert_eq!(number(&peer.read()), n);
        peer.hang_up();
        // Until the node has heard of it.
        sleep(Duration::from_millis(100));
    }
    assert_eq!(get(&counts.connected), 3);
    assert_eq!(get(&counts.dropped), 0);
}

#[test]
fn given_a_peer_that_refuses_when_it_is_tried_for_seconds_then_the_pauses_grow() {
    let counts = Arc::new(Counts::default());
    let (mut net, mut peer) = (net(&counts), Peer::new());
    let at = peer.at();
    peer.stop_listening();
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        net.send(at, &digests(1));
        sleep(Duration::from_millis(10));
    }
    // 100, 200, 400, 800 ms, then a second each: 6 by then; thirty without growth.
    let tries = get(&counts.connect_failures);
    assert!((4..=8).contains(&tries), "{tries} attempts");
}
