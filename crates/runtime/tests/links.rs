//! Stories of links between nodes over real sockets: order, and batches.
mod peers;

use control_state::Msg;
use peers::{address, digests, figure, number};
use primitives::Addr;
use runtime::net::{listen, Counts, Net};
use std::net::TcpListener;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(5);

fn net(counts: &Arc<Counts>) -> Net {
    let me = Addr("127.0.0.1:9".parse().unwrap());
    Net::new(me, Arc::new(|_: &Addr| Duration::ZERO), counts.clone())
}

#[test]
fn given_one_sender_when_it_sends_thousands_of_messages_then_they_come_whole_and_in_order() {
    const ROUNDS: u64 = 20;
    const EACH: u64 = 1000;
    let counts = Arc::new(Counts::default());
    let mut net = net(&counts);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = address(&listener);
    let (heard, hearing) = channel();
    listen(listener, counts.clone(), move |_, m: Msg| heard.send(number(&m)).is_ok());
    let switches = || figure("voluntary_ctxt_switches:");
    let (began, before) = (Instant::now(), switches());
    let mut next = 0;
    for _ in 0..ROUNDS {
        for _ in 0..EACH {
            net.queue(to, &digests(next));
            next += 1;
        }
        net.flush();
        for n in next - EACH..next {
            assert_eq!(hearing.recv_timeout(WAIT).expect("nothing is lost"), n);
        }
    }
    let per_thousand = began.elapsed() / ROUNDS as u32;
    println!("1,000 messages in {per_thousand:?}; own context switches {}", switches() - before);
    // Each write takes 64 frames, but for the first ones, which wait for the connection.
    let writes = counts.writes.load(Relaxed);
    assert!(writes <= ROUNDS * EACH / 64 + 2 * ROUNDS, "{writes} writes");
    assert_eq!(counts.dropped.load(Relaxed), 0);
    assert_eq!(counts.received.load(Relaxed), ROUNDS * EACH);
}
