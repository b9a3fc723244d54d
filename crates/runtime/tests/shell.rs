//! Stories of the shell round a part: what its health shows, how often it ticks, and that
//! messages of one step go out together.
mod peers;

use control_state::{Ask, Health, In, NodeReply, Out, Part};
use peers::{digests, number, Peer};
use primitives::{Addr, Mono};
use runtime::metrics;
use runtime::net::{Counts, LinkMetrics, Net};
use runtime::shell::{self, Frame, Handle};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(5);
const MESSAGES: u64 = 50;

/// Tells its health; sends messages when it is asked to drain.
struct Echo {
    peer: Option<Addr>,
    ticks: Arc<AtomicU64>,
}

impl Part for Echo {
    fn step(&mut self, _: Mono, input: In, out: &mut Vec<Out>) {
        match input {
            In::Tick => {
                self.ticks.fetch_add(1, Relaxed);
            }
            In::Ask(token, ask) => {
                let sent = if ask == Ask::Drain { MESSAGES } else { 0 };
                let peers = self.peer.into_iter();
                out.extend(peers.flat_map(|a| (0..sent).map(move |n| Out::Send(a, digests(n)))));
                out.push(Out::Tell(token, NodeReply::Health(Health::default())));
            }
            In::Msg(..) | In::CallerGone(_) | In::Read(..) => (),
        }
    }
}

fn start(peer: Option<Addr>) -> (Handle, Arc<AtomicU64>, Arc<Counts>) {
    start_counted(peer, Counts::default())
}

fn start_counted(peer: Option<Addr>, counts: Counts) -> (Handle, Arc<AtomicU64>, Arc<Counts>) {
    let (ticks, counts) = (Arc::new(AtomicU64::new(0)), Arc::new(counts));
    let (tx, rx) = channel();
    let (t, c) = (ticks.clone(), counts.clone());
    thread::spawn(move || {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let me = Addr(listener.local_addr().unwrap());
        let net = Net::new(me, Arc::new(|_: &Addr| Duration::ZERO), c.clone());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let part = Box::new(Echo { peer, ticks: t });
        let frame = Frame { part, first: vec![], ring: None, net, rounds: None, log };
        shell::run(frame, listener, c, move |h| tx.send(h).unwrap());
    });
    (rx.recv_timeout(WAIT).unwrap(), ticks, counts)
}

#[test]
fn given_a_part_when_asked_for_its_health_then_threads_and_links_are_shown_with_its_own_counts() {
    let (h, ..) = start(None);
    let Some(NodeReply::Health(x)) = h.ask(Ask::Ready, WAIT) else { panic!("no health") };
    let get = |name: &str| x.counts.iter().find(|(n, _)| *n == name).map(|(_, n)| *n);
    assert!(get("threads").is_some_and(|n| n > 1));
    for name in ["links sent", "links dropped", "links expired", "links overflowed", "links stalled"] {
        assert_eq!(get(name), Some(0), "{name}");
    }
    h.stop();
}

#[test]
fn given_a_part_that_hears_nothing_then_it_ticks_half_as_often() {
    let (h, ticks, _) = start(None);
    thread::sleep(Duration::from_secs(1));
    let n = ticks.load(Relaxed);
    assert!((5..=52).contains(&n), "{n} ticks");
    h.stop();
}

#[test]
fn given_a_step_with_many_messages_to_one_peer_then_they_are_one_write() {
    let mut peer = Peer::new();
    let (h, _, counts) = start(Some(peer.at()));
    // The first ones bring the connection up, and leave with the greeting.
    for writes in 1..=5 {
        assert!(h.ask(Ask::Drain, WAIT).is_some());
        if writes == 1 {
            peer.accept();
        }
        (0..MESSAGES).for_each(|n| assert_eq!(number(&peer.read()), n));
        // Counted right after the peer could read.
        let end = Instant::now() + WAIT;
        while counts.writes.load(Relaxed) < writes && Instant::now() < end {
            thread::yield_now();
        }
        assert_eq!(counts.writes.load(Relaxed), writes);
    }
    h.stop();
}

#[test]
fn given_messages_sent_then_the_page_of_figures_counts_them_by_kind_with_the_parts_own_counters() {
    let links = LinkMetrics::default();
    let mut registry = metrics::registry();
    links.register(&mut registry);
    let mut peer = Peer::new();
    let counts = Counts::with_metrics(links.of_part("echo"));
    let (h, ..) = start_counted(Some(peer.at()), counts);
    metrics::register_parts(&mut registry, vec![("echo", h.clone())]);
    assert!(h.ask(Ask::Drain, WAIT).is_some());
    peer.accept();
    (0..MESSAGES).for_each(|n| assert_eq!(number(&peer.read()), n));
    let page = metrics::page(&registry);
    let text = String::from_utf8(page.body.to_vec()).unwrap();
    for line in [
        "lanewing_link_messages_total{part=\"echo\",message=\"digests\"} 50",
        "lanewing_part_figure{part=\"echo\",figure=\"links sent\"} 50",
        "# UNIT lanewing_link_wait_seconds seconds",
        "# EOF",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
    h.stop();
}

#[test]
fn given_one_entry_packed_in_its_own_memory_then_it_unpacks_as_any_other() {
    for length in [0, 1, 127, 128, 70_000] {
        let entry = vec![7u8; length];
        let packed = shell::encode_single_entry(entry.clone());
        assert_eq!(packed, postcard::to_stdvec(&vec![entry.clone()]).expect("bytes encode"));
        assert_eq!(shell::unpack(vec![packed]), Some(vec![entry]));
    }
}
