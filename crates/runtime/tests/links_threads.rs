//! How many threads the links of a process hold. Alone in its file, for it counts all
//! threads of the process.
mod peers;

use peers::{address, digests, figure, number, Peer};
use primitives::Addr;
use runtime::net::{listen, Counts, Net};
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::Duration;

/// Threads a process may hold beside requests in hand.
const MOST_THREADS: u64 = 24;
const PEERS: usize = 160;
const WAIT: Duration = Duration::from_secs(5);

fn net(counts: &Arc<Counts>) -> Net {
    let me = Addr("127.0.0.1:9".parse().unwrap());
    Net::new(me, Arc::new(|_: &Addr| Duration::ZERO), counts.clone())
}

/// Sends to, and hears from, so many peers; tells the threads held meanwhile beside
/// those there were before.
fn threads_with(peers: usize) -> u64 {
    let before = figure("Threads:");
    let counts = Arc::new(Counts::default());
    let mut net = net(&counts);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let here = address(&listener);
    let (heard, hearing) = channel();
    listen(listener, counts.clone(), move |from, _| heard.send(from).is_ok());
    let mut all: Vec<Peer> = (0..peers).map(|_| Peer::new()).collect();
    for p in &mut all {
        net.send(p.at(), &digests(1));
        p.accept();
        p.say(here, &digests(2));
    }
    all.iter_mut().for_each(|p| assert_eq!(number(&p.read()), 1));
    let heard = (0..peers).map_while(|_| hearing.recv_timeout(WAIT).ok()).count();
    assert_eq!(heard, peers, "each peer is heard");
    figure("Threads:") - before
}

#[test]
fn given_13_or_160_peers_when_links_go_both_ways_then_the_threads_are_bounded_and_the_same() {
    let (few, many) = (threads_with(13), threads_with(PEERS));
    println!("threads: {few} with 13 peers, {many} with {PEERS}");
    assert!(few <= MOST_THREADS && many <= MOST_THREADS, "{few} with 13, {many} with {PEERS}");
    assert!(many <= few, "{few} threads with 13 peers, {many} with {PEERS}");
}
