//! The door's connections, over real sockets on loopback: requests one after the
//! other, and what answers look like.
mod http_server_support;

use control_state::Headers;
use http_server_support::*;
use primitives::{Mono, Span};
use runtime::front::Reply;
use std::io::Write;
use std::sync::Arc;

#[test]
fn given_several_requests_then_one_connection_serves_them_all() {
    let s = step(limits(), echo);
    let mut c = Caller::new(s.at);
    for i in 0..50 {
        let a = c.ask(put(&format!("/o/{i}?q=%2F..&x=%00"), &"x".repeat(i)));
        assert_eq!((a.status, a.body.len()), (200, i));
        assert_eq!(a.field("x-target"), Some(format!("/o/{i}?q=%2f..&x=%00").as_str()));
        assert_eq!(a.field("connection"), None);
    }
    assert_eq!((s.door.requests(), s.log.lock().expect("sound")[7].body.len()), (50, 7));
    until("nothing in hand", || s.door.in_hand() == 0);
}

#[test]
fn given_a_target_that_others_would_rewrite_then_it_is_handed_over_as_sent() {
    let s = step(limits(), echo);
    let mut c = Caller::new(s.at);
    let odd = ["/a%2Fb", "/../x", "//h/x", "/%zz", "/a\\b", "/.", "/?", "/x?http://h/y"];
    odd.iter().for_each(|t| assert_eq!(c.ask(get(t)).status, 200, "{t}"));
    assert_eq!(s.targets(), odd);
}

#[test]
fn given_callers_that_want_the_connection_closed_then_it_is() {
    let s = step(limits(), echo);
    let mut c = Caller::new(s.at);
    let a = c.ask("GET /a HTTP/1.1\r\nHost: h\r\nConnection: te, Close\r\n\r\n");
    assert_eq!((a.field("connection"), c.ends()), (Some("close"), true));
    let mut old = Caller::new(s.at);
    let a = old.ask("GET /a HTTP/1.0\r\n\r\n");
    assert_eq!((a.status, a.field("connection"), old.ends()), (200, Some("close"), true));
    let mut kept = Caller::new(s.at);
    let q = "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
    assert_eq!(kept.ask(q).field("connection"), Some("keep-alive"));
    assert_eq!(kept.ask(q).status, 200);
}

#[test]
fn given_requests_sent_ahead_then_they_are_answered_in_order_however_they_are_cut_up() {
    let chunked = "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let sent = [get("/1"), put("/2", "two\r\n\r\n"), "\r\n".into(), chunked.into(), get("/4")].concat();
    for piece in [1, 2, 3, 7, 64, 4096] {
        let s = step(limits(), echo);
        let mut c = Caller::new(s.at);
        sent.as_bytes().chunks(piece).for_each(|p| c.say(p));
        let got: Vec<Vec<u8>> = (0..4).map(|_| c.hear().expect("an answer").body).collect();
        assert_eq!(got, [&b""[..], b"two\r\n\r\n", b"abc", b""]);
        assert_eq!(s.targets(), ["/1", "/2", "/c", "/4"]);
    }
}

#[test]
fn given_a_caller_that_waits_for_a_100_then_it_comes_before_the_body_is_read() {
    let s = step(limits(), echo);
    let mut c = Caller::new(s.at);
    let head = "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";
    assert_eq!(c.ask(head).status, 100);
    assert_eq!(c.ask("abc").body, b"abc");
    let large = head.replace(": 3", &format!(": {}", BODY + 1));
    assert_eq!((c.ask(large).status, c.ends()), (413, true));
    let odd = head.replace("100-c", "200-c");
    assert!(all(s.at, odd.as_bytes()).starts_with("HTTP/1.1 417 "));
}

#[test]
fn given_large_bodies_then_they_come_through_whole_both_ways() {
    let s = step(limits(), echo);
    let mut c = Caller::new(s.at);
    for n in [16 << 10, (16 << 10) + 1, 300_000, BODY] {
        let body: String = (0..n).map(|i| char::from(b'a' + (i % 23) as u8)).collect();
        assert!(c.ask(put("/big", &body)).body == body.as_bytes(), "{n}");
        assert_eq!(c.ask(get("/small")).status, 200);
    }
}

#[test]
fn given_answers_without_a_body_then_nothing_follows_their_heads() {
    let s = step(limits(), |v| {
        let mut r = echo(v);
        match v.target.as_str() {
            "/204" => r.status = 204,
            "/304" => (r.status, r.length) = (304, Some(9)),
            "/told" => r.length = Some(1234),
            _ => r.body = Arc::new(b"hello".to_vec()),
        }
        r
    });
    let mut c = Caller::new(s.at);
    for (method, target, length) in [
        ("GET", "/204", None),
        ("GET", "/304", Some("9")),
        ("HEAD", "/told", Some("1234")),
        ("HEAD", "/x", Some("5")),
    ] {
        c.say(get(target).replacen("GET", method, 1));
        let a = answer(&mut c.0, true).expect("an answer");
        assert_eq!(a.field("content-length"), length, "{target}");
    }
    // A length that a body does not have is never said of it.
    let a = c.ask(put("/told", "abc"));
    assert_eq!((a.field("content-length"), a.body.as_slice()), (Some("3"), &b"abc"[..]));
}

#[test]
fn given_fields_that_cannot_be_carried_then_they_are_named_and_framing_is_the_doors_own() {
    let s = step(limits(), |_| {
        let h = Headers::default().with("x-latin", vec![0xe9]).with("x-split", "a\r\nx: y").with("b\nc", "1");
        let h = h.with("content-length", "99").with("transfer-encoding", "chunked");
        Reply::new(200, h.with("connection", "upgrade").with("set-cookie", "a=1"), Arc::new(b"ok".to_vec()))
    });
    let got = Caller::new(s.at).ask(get("/"));
    assert_eq!((got.field("lanewing-left-out"), got.field("set-cookie")), (Some("x-split, ?"), Some("a=1")));
    assert_eq!((got.field("content-length"), got.field("transfer-encoding")), (Some("2"), None));
    assert_eq!((got.field("connection"), got.field("x")), (None, None));
    assert_eq!(got.field("x-latin"), Some("\u{e9}"));
}

#[test]
fn given_a_decision_too_old_or_a_status_that_ends_nothing_then_neither_goes_out() {
    let s = step(limits(), |v| {
        let mut r = echo(v);
        match v.target.as_str() {
            "/old" => r.until = Mono(1),
            _ => r.status = 101,
        }
        r
    });
    let mut c = Caller::new(s.at);
    let a = c.ask(get("/old"));
    assert_eq!((a.status, a.field("retry-after"), a.field("x-target")), (503, Some("1"), None));
    assert_eq!(c.ask(get("/101")).status, 502);
}

#[test]
fn given_a_caller_that_takes_nothing_then_its_answer_is_given_up_and_does_not_look_whole() {
    let short = runtime::http_server::Limits { send: Span::ms(200), ..limits() };
    let s = step(short, |_| Reply::new(200, Headers::default(), Arc::new(vec![b'x'; 32 << 20])));
    let mut c = dial(s.at);
    c.write_all(get("/big").as_bytes()).expect("sent");
    until("taken up", || s.door.requests() == 1);
    until("given up", || s.door.in_hand() == 0);
    let (got, _) = rest(&c);
    let head = String::from_utf8_lossy(&got[..got.len().min(300)]).to_string();
    assert!(head.contains("content-length: 33554432\r\n") && got.len() < 32 << 20, "{head} {}", got.len());
}

#[test]
fn given_a_request_that_the_answerer_panics_on_then_only_its_connection_ends() {
    let s = step(limits(), |v| {
        assert!(v.target != "/bad", "meant to happen");
        echo(v)
    });
    let (mut a, mut b) = (Caller::new(s.at), Caller::new(s.at));
    assert_eq!(b.ask(get("/good")).status, 200);
    a.say(get("/bad"));
    assert!(a.hear().is_none());
    assert_eq!(b.ask(get("/good")).status, 200);
    until("nothing in hand", || s.door.in_hand() == 0);
}
