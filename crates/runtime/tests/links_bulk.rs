//! A story of large copies that a peer is slow to take.
use control_state::{CopyReply, Msg, RequestId, TransferredCopy, Whole};
use primitives::{Addr, Birth, Span};
use runtime::net::{frame, read_frame, Counts, Handshake, LinkClass, Net};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(5);
/// More than the socket buffers on the way.
const COPIES: u64 = 64;
const BODY: usize = 1 << 20;

fn ask(n: u64) -> RequestId {
    RequestId { birth: Birth(1), n }
}

fn copy(n: u64, bytes: usize) -> Msg {
    let whole = Whole::new(200, "text/plain", vec![b'x'; bytes]);
    let shown = TransferredCopy { whole, left: Span::secs(1), current_age: Span(0), public: false };
    Msg::CopyResult { ask: ask(n), said: CopyReply::Got(Box::new(shown)), purges: 0 }
}

fn accept(listener: &TcpListener) -> (LinkClass, TcpStream) {
    let (mut s, _) = listener.accept().expect("a connection");
    s.set_read_timeout(Some(WAIT)).expect("a socket's option");
    let handshake: Handshake =
        postcard::from_bytes(&read_frame(&mut s).expect("a frame")).expect("a greeting");
    (handshake.class, s)
}

/// Guards against short messages that wait behind large copies.
#[test]
fn given_a_peer_that_takes_no_large_copies_then_what_is_small_reaches_it_all_the_same() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let to = Addr(listener.local_addr().expect("bound"));
    let me = Addr("127.0.0.1:9".parse().expect("an address"));
    let mut net = Net::new(me, Arc::new(|_: &Addr| Duration::ZERO), Arc::new(Counts::default()));
    (0..COPIES).for_each(|n| net.queue(to, &copy(n, BODY)));
    net.flush();
    let (class, _unread) = accept(&listener);
    assert_eq!(class, LinkClass::Bulk);
    let small = [Msg::CopyPending(ask(1)), copy(2, 1000)];
    small.iter().for_each(|m| net.send(to, m));
    let (class, mut ordinary) = accept(&listener);
    assert_eq!(class, LinkClass::Ordinary);
    for m in &small {
        let got = read_frame(&mut ordinary).expect("it comes at once");
        assert_eq!(frame(&got), frame(&postcard::to_stdvec(m).expect("encodes")));
    }
}
