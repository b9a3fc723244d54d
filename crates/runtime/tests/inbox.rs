//! A part that falls behind what it is sent: what waits is bounded, and what means nothing any
//! more is not worked off before what does.
mod peers;

use control_state::{Ask, Health, In, NodeReply, Out, Part};
use peers::digests;
use primitives::{Addr, Mono};
use runtime::net::{Counts, Net};
use runtime::shell::{self, Frame, Handle};
use std::net::TcpListener;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const START: Duration = Duration::from_secs(5);
/// What the part takes over a message; all messages together are many times what it can do
/// while they mean something.
const WORK: Duration = Duration::from_millis(4);
const MESSAGES: u64 = 6_000;
/// A question is answered within the time that a message means something, and some.
const ANSWER: Duration = Duration::from_secs(6);

struct Slow;

impl Part for Slow {
    fn step(&mut self, _: Mono, input: In, out: &mut Vec<Out>) {
        match input {
            In::Tick | In::CallerGone(_) | In::Read(..) => (),
            In::Ask(token, _) => out.push(Out::Tell(token, NodeReply::Health(Health::default()))),
            In::Msg(..) => thread::sleep(WORK),
        }
    }
}

fn net(at: Addr, counts: &Arc<Counts>) -> Net {
    Net::new(at, Arc::new(|_: &Addr| Duration::ZERO), counts.clone())
}

fn start(counts: Arc<Counts>) -> (Handle, Addr) {
    let (tx, rx) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let me = Addr(listener.local_addr().unwrap());
    thread::spawn(move || {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let net = net(me, &counts);
        let frame = Frame { part: Box::new(Slow), first: vec![], ring: None, net, rounds: None, log };
        shell::run(frame, listener, counts, move |h| tx.send(h).unwrap());
    });
    (rx.recv_timeout(START).unwrap(), me)
}

#[test]
fn given_more_messages_than_a_part_can_take_then_it_still_answers_and_what_waits_is_bounded() {
    let counts = Arc::new(Counts::default());
    let (handle, at) = start(counts.clone());
    let sender = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut from = net(Addr(sender.local_addr().unwrap()), &Arc::default());
    for n in 0..MESSAGES {
        from.send(at, &digests(n));
    }
    let began = Instant::now();
    while counts.received.load(Relaxed) < MESSAGES && began.elapsed() < START {
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(counts.received.load(Relaxed), MESSAGES);
    let asked = Instant::now();
    assert!(handle.ask(Ask::Ready, ANSWER).is_some(), "no answer after {:?}", asked.elapsed());
    let (full, expired) = (counts.inbox_full.load(Relaxed), counts.inbox_expired.load(Relaxed));
    assert!(full > 0 && expired > 0, "{full} found no room, {expired} had expired");
    handle.stop();
}
