//! The front against callers that are slow, rude or malformed: real sockets on
//! loopback, no verdict by time.
use control_state::Headers;
use primitives::Span;
use runtime::connection_monitor::Patience;
use runtime::front::{serve, FrontConfig, Reply};
use runtime::memory_budget::MemoryBudget;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

type Log = Arc<Mutex<Vec<String>>>;

/// A front whose requests are noted and answered with their own path and body.
fn front(callers: usize, patience: Patience) -> (SocketAddr, Log) {
    let l = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let (at, log) = (l.local_addr().expect("bound"), Log::default());
    let seen = log.clone();
    let env = FrontConfig { callers, body: 64 << 10, room: MemoryBudget::new(64 << 20), patience };
    serve(l, env, move |c| {
        seen.lock().expect("sound").push(format!("{} {} {}", c.method, c.path, c.body.len()));
        let big = c.path.starts_with("big");
        let body = if big { vec![b'x'; 400_000] } else { c.body };
        Reply::new(200, Headers::default().with("x-latin", vec![0xe9]).with("x-plain", "1"), Arc::new(body))
    });
    (at, log)
}

fn dial(at: SocketAddr) -> TcpStream {
    let s = TcpStream::connect(at).expect("listening");
    // Only so that a failing story ends.
    s.set_read_timeout(Some(Duration::from_secs(30))).expect("a socket");
    s
}

/// Sends it and reads until the front closes; reading stops at a reset too.
fn all(at: SocketAddr, what: &[u8]) -> String {
    let mut s = dial(at);
    s.write_all(what).expect("sent");
    let (mut got, mut buf) = (vec![], [0; 4096]);
    while let Ok(n) = s.read(&mut buf) {
        if n == 0 {
            break;
        }
        got.extend(&buf[..n]);
    }
    String::from_utf8_lossy(&got).to_string()
}

fn statuses(s: &str) -> Vec<&str> {
    s.match_indices("HTTP/1.1 ").map(|(i, _)| &s[i + 9..i + 12]).collect()
}

#[test]
fn given_requests_that_hops_may_read_differently_then_each_gets_a_4xx_and_nothing_goes_on() {
    let (at, log) = front(100, Patience::default());
    let smuggled = "GET /pay/evil HTTP/1.1\r\nHost: h\r\n\r\n";
    let chunk = "0\r\n\r\n";
    for bad in [
        format!("POST /pay/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello{smuggled}"),
        format!("POST /pay/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello{smuggled}"),
        format!("POST /pay/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{smuggled}"),
        format!("POST /pay/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n{chunk}{smuggled}"),
        format!("POST /pay/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n{chunk}{smuggled}"),
        format!("POST /pay/1 HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello{smuggled}"),
        format!("POST /pay/1 HTTP/1.1\r\nHost: h\r\nX: a\u{1}b\r\nContent-Length: 5\r\n\r\nhello{smuggled}"),
        format!("GET /pay/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello{smuggled}"),
        "GET http://h/pay/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".into(),
        "GET /offers/../pay/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".into(),
        "GET /offers%2F..%2Fpay HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".into(),
        "GET /offers HTTP/1.1\r\nConnection: close\r\n\r\n".into(),
        "GET /offers HTTP/1.1\r\nHost: a\r\nHost: b\r\nConnection: close\r\n\r\n".into(),
        "POST /pay HTTP/1.1\r\nHost: h\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nConnection: close\r\n\r\n".into(),
        "TRACE /pay HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".into(),
        format!("GET /o HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX: {}\r\n\r\n", "a".repeat(20_000)),
        "POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\nConnection: close\r\n\r\n".into(),
    ] {
        let got = all(at, bad.as_bytes());
        let st = statuses(&got);
        assert!(!st.is_empty() && st.iter().all(|s| s.starts_with('4')), "{st:?} for {bad}: {got}");
    }
    assert_eq!(*log.lock().expect("sound"), Vec::<String>::new());
}

#[test]
fn given_hundreds_of_callers_that_send_never_or_do_not_read_then_health_and_others_are_answered() {
    let (at, log) = front(450, Patience::default());
    let part = b"POST /pay/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\nhello";
    let slow: Vec<TcpStream> = (0..400).map(|_| dial(at)).collect();
    slow.iter().for_each(|mut s| s.write_all(part).expect("sent"));
    let deaf: Vec<TcpStream> = (0..20).map(|_| dial(at)).collect();
    deaf.iter().for_each(|mut s| s.write_all(b"GET /big HTTP/1.1\r\nHost: h\r\n\r\n").expect("sent"));
    for i in 0..50 {
        let q = format!("GET /offers/{i} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        assert_eq!(statuses(&all(at, q.as_bytes())), ["200"]);
    }
    // Beyond all the hands there are, callers are told so; health still answers.
    let more: Vec<TcpStream> = (0..80).map(|_| dial(at)).collect();
    more.iter().for_each(|mut s| s.write_all(part).expect("sent"));
    let denied = (0..200).any(|_| {
        statuses(&all(at, b"GET /offers/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")) == ["503"]
    });
    assert!(denied, "nobody is ever denied");
    let live = all(at, b"GET /lanewing/live HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    assert_eq!(statuses(&live), ["200"]);
    assert!(log.lock().expect("sound").iter().filter(|l| l.contains("offers")).count() >= 50);
}

#[test]
fn given_callers_past_all_patience_then_their_connections_are_closed() {
    let short = Span::ms(300);
    let (at, log) = front(100, Patience { ask: short, send: short, take: short });
    assert_eq!(statuses(&all(at, b"GET /never-en")), Vec::<&str>::new());
    let half = all(at, b"POST /pay/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\nhello");
    assert!(half.is_empty() || statuses(&half) == ["400"], "{half}");
    // It reads nothing until the answer was given up, then finds it cut.
    let mut s = dial(at);
    let big =
        format!("GET /big HTTP/1.1\r\nHost: h\r\n\r\n{}", "GET /big HTTP/1.1\r\nHost: h\r\n\r\n".repeat(40));
    s.write_all(big.as_bytes()).expect("sent");
    while log.lock().expect("sound").iter().filter(|l| l.contains("big")).count() < 2 {
        std::thread::yield_now();
    }
    let (mut n, mut buf) = (0, vec![0; 1 << 16]);
    while s.write_all(b"").is_ok() && n < 41 * 400_000 {
        match s.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(k) => n += k,
        }
    }
    assert!(log.lock().expect("sound").iter().all(|l| !l.contains("pay")));
}

#[test]
fn given_headers_that_cannot_be_carried_then_they_are_named_and_the_rest_arrives() {
    let (at, _) = front(10, Patience::default());
    let got = all(at, b"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc");
    assert!(got.contains("x-plain: 1") && got.contains("Lanewing-Left-Out: x-latin"), "{got}");
    assert!(got.ends_with("abc"), "{got}");
}
