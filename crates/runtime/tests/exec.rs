//! The executor against origins that cut, lie and stall: real sockets on loopback.
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};
use runtime::executor::{run, ExecutorConfig};
use runtime::memory_budget::MemoryBudget;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;

/// An origin that reads one request's head, says this, and closes.
fn origin(say: Vec<u8>) -> (Addr, Receiver<String>) {
    let l = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let at = Addr(l.local_addr().expect("bound"));
    let (tx, rx) = channel();
    thread::spawn(move || {
        for s in l.incoming() {
            let Ok(mut s) = s else { return };
            let (mut head, mut b) = (vec![], [0u8; 1]);
            while !head.ends_with(b"\r\n\r\n") && s.read(&mut b).is_ok_and(|n| n == 1) {
                head.push(b[0]);
            }
            let _ = tx.send(String::from_utf8_lossy(&head).to_string());
            let _ = s.write_all(&say);
        }
    });
    (at, rx)
}

fn round(at: Addr, method: &str, heads: Headers, body: &[u8]) -> Round {
    let lane = "pay".into();
    let (body, key) = (Arc::new(body.to_vec()), Some("k1".to_string()));
    let req = CallerRequest {
        method: method.into(),
        lane,
        path: "a/b?q=%2F".into(),
        key,
        heads,
        body,
        ..CallerRequest::default()
    };
    let now = runtime::now();
    let (until, answer_deadline) = (now + Span::secs(20), now + Span::secs(20));
    Round {
        n: 1,
        addr: at,
        svc: "s".into(),
        birth: Birth(7),
        tag: String::new(),
        until,
        answer_deadline,
        extra: false,
        req,
    }
}

fn env() -> ExecutorConfig {
    ExecutorConfig { answer: 1000, room: MemoryBudget::new(4000), origin_protocol: Default::default() }
}

fn fetch(method: &str, say: &[u8]) -> FetchOutcome {
    let (at, _seen) = origin(say.to_vec());
    run(&env(), &round(at, method, Headers::default(), b""))
}

#[test]
fn given_an_answer_that_does_not_agree_with_itself_then_it_is_lost_and_never_whole() {
    let long = [b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n".to_vec(), vec![b'x'; 100]].concat();
    for bad in [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!".as_slice(),
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Digest: sha-256=:AAAA:\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRepr-Digest: md5=:x:, sha-512=:AAAA:\r\n\r\nhello",
        &long,
        b"HTTP/1.1 2",
        b"",
    ] {
        assert_eq!(fetch("GET", bad), FetchOutcome::Lost, "{}", String::from_utf8_lossy(bad));
    }
}

#[test]
fn given_whole_answers_then_fields_come_with_them_but_for_those_of_one_hop() {
    let say = b"HTTP/1.1 201 Created\r\nContent-Length: 5\r\nLocation: /x\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n\
        Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nLanewing-From: me\r\nX-Latin: \xe9\r\n\
        Content-Digest: sha-256=:LPJNul+wow4m6DsqxbninhsWHlwfp0JecwQzYpOLmCQ=:\r\n\r\nhello";
    let FetchOutcome::Whole(w) = fetch("POST", say) else { panic!("not whole") };
    assert_eq!((w.status, w.body.as_slice()), (201, b"hello".as_slice()));
    assert_eq!(w.heads.all("set-cookie").count(), 2);
    assert_eq!(
        (w.heads.get("location"), w.heads.all("x-latin").next()),
        (Some("/x"), Some(b"\xe9".as_slice()))
    );
    assert!(!["x-hop", "keep-alive", "connection", "lanewing-from"].iter().any(|n| w.heads.has(n)));
    let head = fetch("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\nETag: \"e\"\r\n\r\n");
    let FetchOutcome::Whole(w) = head else { panic!("not whole") };
    assert_eq!((w.body.len(), w.heads.get("etag")), (0, Some("\"e\"")));
    let other = fetch("POST", b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(other, FetchOutcome::NotSent);
    let FetchOutcome::Whole(w) = fetch("GET", b"HTTP/1.1 304 Not Modified\r\n\r\n") else {
        panic!("not whole")
    };
    assert_eq!(w.status, 304);
}

#[test]
fn given_a_request_then_the_origin_gets_it_whole() {
    let (at, seen) = origin(b"HTTP/1.1 204 No Content\r\n\r\n".to_vec());
    let heads = Headers::default().with("authorization", "Signature x").with("host", "pay.example");
    let heads = heads.with("x-many", "1").with("x-many", "2").with("accept-language", "it");
    assert!(matches!(run(&env(), &round(at, "POST", heads.clone(), b"{}")), FetchOutcome::Whole(_)));
    let got = seen.recv().expect("it was asked").to_ascii_lowercase();
    for want in ["post /a/b?q=%2f http/1.1", "authorization: signature x", "host: pay.example", "x-many: 1"] {
        assert!(got.contains(want), "{want} is missing in {got}");
    }
    for want in ["x-many: 2", "idempotency-key: k1", "lanewing-birth: 7", "content-length: 2"] {
        assert!(got.contains(want), "{want} is missing in {got}");
    }
    assert!(!got.contains("user-agent") && !got.contains("accept-encoding"), "{got}");
    assert!(matches!(run(&env(), &round(at, "DELETE", heads, b"why")), FetchOutcome::Whole(_)));
    assert!(seen.recv().expect("it was asked").to_ascii_lowercase().contains("content-length: 3"));
}

#[test]
fn given_an_answer_over_the_limit_then_it_is_refused_by_its_length_and_memory_is_bounded() {
    let announced = b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n";
    assert_eq!(fetch("GET", announced), FetchOutcome::TooLarge);
    let chunk = |n: usize| {
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{n:x}\r\n{}\r\n0\r\n\r\n",
            "x".repeat(n)
        )
    };
    assert_eq!(fetch("GET", chunk(1001).as_bytes()), FetchOutcome::TooLarge);
    assert!(matches!(fetch("GET", chunk(1000).as_bytes()), FetchOutcome::Whole(_)));
    // Four answers of 1000 fill the room; a fifth waits until one is let go.
    let env = env();
    let (at, _seen) = origin(chunk(1000).into_bytes());
    let r = round(at, "GET", Headers::default(), b"");
    let mut held: Vec<FetchOutcome> = (0..4).map(|_| run(&env, &r)).collect();
    let late = Round { answer_deadline: runtime::now() + Span::ms(200), ..r.clone() };
    assert_eq!(run(&env, &late), FetchOutcome::Lost);
    held.pop();
    let r = Round { answer_deadline: runtime::now() + Span::secs(20), ..r };
    assert!(matches!(run(&env, &r), FetchOutcome::Whole(_)));
}

#[test]
fn given_a_round_past_its_time_or_nobody_there_then_not_a_byte_leaves() {
    let (at, seen) = origin(b"HTTP/1.1 204 No Content\r\n\r\n".to_vec());
    let late = Round { until: Mono(1), ..round(at, "POST", Headers::default(), b"x") };
    assert_eq!(run(&env(), &late), FetchOutcome::NotSent);
    assert_eq!(seen.recv().expect("a connection"), "");
    let gone = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("loopback");
    assert_eq!(run(&env(), &round(Addr(gone), "POST", Headers::default(), b"x")), FetchOutcome::NotSent);
}

/// What an origin reads of a request, head and body.
fn received(method: &str, body: &[u8]) -> String {
    let l = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let at = Addr(l.local_addr().expect("bound"));
    let length = body.len();
    let reader = thread::spawn(move || {
        let (mut s, _) = l.accept().expect("asked");
        s.set_read_timeout(Some(std::time::Duration::from_millis(300))).expect("a socket");
        let (mut got, mut byte) = (vec![], [0u8; 1]);
        while !got.ends_with(b"\r\n\r\n") && s.read(&mut byte).is_ok_and(|n| n == 1) {
            got.push(byte[0]);
        }
        let mut body = vec![0; length];
        let read = s.read_exact(&mut body);
        let _ = s.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        got.extend(read.map(|()| body).unwrap_or_default());
        String::from_utf8_lossy(&got).to_ascii_lowercase()
    });
    run(&env(), &round(at, method, Headers::default(), body));
    reader.join().expect("read")
}

#[test]
fn given_a_body_with_any_method_then_the_origin_gets_it_unchanged() {
    for method in ["GET", "OPTIONS", "DELETE", "POST", "PUT", "PATCH"] {
        let got = received(method, b"five!");
        assert!(got.contains("content-length: 5\r\n") && got.ends_with("five!"), "{method}: {got}");
    }
}

#[test]
fn given_a_length_that_is_no_plain_number_or_a_round_past_its_horizon_then_it_is_not_taken() {
    for length in ["+5", "5,5", "0x5", "5 5", "-5", ""] {
        let say = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\nhello");
        assert_eq!(fetch("GET", say.as_bytes()), FetchOutcome::Lost, "{length}");
    }
    let (at, seen) = origin(b"HTTP/1.1 204 No Content\r\n\r\n".to_vec());
    let late = Round { answer_deadline: Mono(1), ..round(at, "POST", Headers::default(), b"x") };
    assert_eq!(run(&env(), &late), FetchOutcome::NotSent);
    assert_eq!(seen.recv_timeout(std::time::Duration::from_secs(1)).unwrap_or_default(), "");
}

#[test]
fn given_a_chunked_answer_cut_anywhere_before_its_very_end_then_it_is_never_whole() {
    let all = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n";
    for cut in 0..all.len() {
        assert_eq!(fetch("GET", &all[..cut]), FetchOutcome::Lost, "cut after {cut} bytes");
    }
    assert!(matches!(fetch("GET", all), FetchOutcome::Whole(_)));
}

/// An origin that answers without a length and then ends its connection: in order, or with a reset.
fn fetch_without_length(resets: bool) -> FetchOutcome {
    let l = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let at = Addr(l.local_addr().expect("bound"));
    thread::spawn(move || {
        let (mut s, _) = l.accept().expect("a connection");
        let mut byte = [0u8; 1];
        // The rest of the head stays unread where the connection is reset.
        let head_bytes = if resets { 1 } else { usize::MAX };
        let mut head = vec![];
        while head.len() < head_bytes && !head.ends_with(b"\r\n\r\n") {
            s.read_exact(&mut byte).expect("the head of a request");
            head.push(byte[0]);
        }
        s.write_all(b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\nno end is named").expect("written");
    });
    run(&env(), &round(at, "GET", Headers::default(), b""))
}

// Guards against whole answers that are taken for lost: an answer may have no length and end with its connection.
#[test]
fn given_an_answer_without_a_length_then_it_is_whole_if_its_connection_ends_in_order_and_lost_if_it_is_reset()
{
    let FetchOutcome::Whole(whole) = fetch_without_length(false) else { panic!("taken for lost") };
    assert_eq!((whole.status, whole.body.as_slice()), (200, b"no end is named".as_slice()));
    assert_eq!(fetch_without_length(true), FetchOutcome::Lost);
}
