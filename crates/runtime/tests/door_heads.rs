//! Requests that the door cannot read in one way only, or that are too much.
mod http_server_support;

use http_server_support::*;
use std::io::Write;

/// One of these behind a request that was refused must never be served.
const EVIL: &str = "GET /evil HTTP/1.1\r\nHost: h\r\n\r\n";
const POST: &str = "POST /p HTTP/1.1\r\nHost: h\r\n";

#[test]
fn given_heads_and_bodies_in_doubt_then_each_is_told_so_and_the_connection_ends() {
    let s = step(limits(), echo);
    let chunks = |c: &str| format!("{POST}Transfer-Encoding: chunked\r\n\r\n{c}{EVIL}");
    let field = |f: &str| format!("GET /p HTTP/1.1\r\nHost: h\r\n{f}\r\n\r\n{EVIL}");
    let line = |l: &str| format!("{l}\r\nHost: h\r\n\r\n{EVIL}");
    for (status, bad) in [
        (400, format!("{POST}Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello{EVIL}")),
        (400, format!("{POST}Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello{EVIL}")),
        (400, format!("{POST}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{EVIL}")),
        (400, field("Content-Length: +5")),
        (400, field("Content-Length: 5, 5")),
        (400, field("Content-Length:")),
        (400, field("Content-Length: 0x5")),
        (400, field("Transfer-Encoding: gzip, chunked")),
        (400, field("Transfer-Encoding: xchunked")),
        (400, field("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked")),
        (400, field("Transfer-Encoding: chunked\r\n\tx")),
        (400, field("X: a\r\n folded")),
        (400, line("GET /a#b HTTP/1.1")),
        (400, line("GET /a<b HTTP/1.1")),
        (400, line("GET /a>b HTTP/1.1")),
        (400, line("GET /a`b HTTP/1.1")),
        (400, line("GET /a?\"b HTTP/1.1")),
        (400, field("X : a")),
        (400, field(" X: a")),
        (400, field("X\t: a")),
        (400, field(": a")),
        (400, field("no colon")),
        (400, field("X: a\u{0}b")),
        (400, field("X: a\u{1}b")),
        (400, field("X: a\u{7f}b")),
        (400, field("X: a\rb")),
        (400, field("X: a\nY: b")),
        (400, field("X(: a")),
        (400, field("\u{e9}: a")),
        (400, field("Host: i")),
        (400, "GET / HTTP/1.1\r\n\r\n".into()),
        (400, "GET / HTTP/1.1\r\nHost: a, b\r\n\r\n".into()),
        (400, "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n".into()),
        (400, "GET / HTTP/1.1\nHost: h\n\n".into()),
        (400, "GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".into()),
        (400, "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n".into()),
        (400, "\nGET / HTTP/1.1\r\nHost: h\r\n\r\n".into()),
        (400, line("GET p HTTP/1.1")),
        (400, line("GET * HTTP/1.1")),
        (400, line("GET http://h/p HTTP/1.1")),
        (400, line("GET /p\u{e9} HTTP/1.1")),
        (400, line("GET /p q HTTP/1.1")),
        (400, line("GET /p\u{7f} HTTP/1.1")),
        (400, line("GET\t/p\tHTTP/1.1")),
        (400, line("GET  /p HTTP/1.1")),
        (400, line("GET /p  HTTP/1.1")),
        (400, line("GET /p HTTP/1.1 ")),
        (400, line("GET /p HTTP/2.0")),
        (400, line("GET /p http/1.1")),
        (400, line("GET /p")),
        (400, line("G(T /p HTTP/1.1")),
        (400, line(" GET /p HTTP/1.1")),
        (400, line("")),
        (405, line("TRACE /p HTTP/1.1")),
        (405, line("CONNECT h:443 HTTP/1.1")),
        (400, chunks("5 \r\nhello\r\n0\r\n\r\n")),
        (400, chunks(" 5\r\nhello\r\n0\r\n\r\n")),
        (400, chunks("0x5\r\nhello\r\n0\r\n\r\n")),
        (400, chunks("+5\r\nhello\r\n0\r\n\r\n")),
        (400, chunks("-5\r\nhello\r\n0\r\n\r\n")),
        (400, chunks("000000005\r\nhello\r\n0\r\n\r\n")),
        (400, chunks("fffffffffffffffff\r\nhello\r\n0\r\n\r\n")),
        (400, chunks("\r\nhello\r\n0\r\n\r\n")),
        (400, chunks(";x\r\nhello\r\n0\r\n\r\n")),
        (400, chunks("5;x\ny\r\nhello\r\n0\r\n\r\n")),
        (400, chunks("5;x\ry\r\nhello\r\n0\r\n\r\n")),
        (400, chunks("5\nhello\n0\n\n")),
        (400, chunks("5\r\nhello!\r\n0\r\n\r\n")),
        (400, chunks("5\r\nhello0\r\n\r\n")),
        (400, chunks("5\r\nhello\n0\r\n\r\n")),
        (400, chunks("0\r\nno trailer\r\n\r\n")),
        (400, chunks("0\r\nX : y\r\n\r\n")),
        (400, chunks("0\r\nX: y\r\n folded\r\n\r\n")),
        (400, chunks("0\r\nX: y\u{0}\r\n\r\n")),
    ] {
        let got = all(s.at, bad.as_bytes());
        assert_eq!(got.matches("HTTP/1.1 ").count(), 1, "{bad:?}: {got}");
        assert!(got.starts_with(&format!("HTTP/1.1 {status} ")), "{bad:?}: {got}");
        assert!(got.contains("connection: close\r\n") && got.contains("\"problem\""), "{bad:?}: {got}");
    }
    assert_eq!(s.targets(), Vec::<String>::new());
}

#[test]
fn given_chunks_with_extensions_and_trailers_then_only_the_data_is_handed_over() {
    let s = step(limits(), echo);
    let mut c = Caller::new(s.at);
    let head = format!("{POST}Transfer-Encoding: Chunked\r\n\r\n");
    for (chunks, body) in [
        ("0\r\n\r\n", ""),
        ("00000003\r\nabc\r\n0000\r\n\r\n", "abc"),
        ("3;a=\"b;c\";d\r\nabc\r\nA\r\n0123456789\r\n0;end\r\nX-Sum: 1\r\nY:\r\n\r\n", "abc0123456789"),
        ("2\r\n\r\n\r\n5\r\n0\r\n\r\n\r\n0\r\n\r\n", "\r\n0\r\n\r\n"),
    ] {
        assert_eq!(String::from_utf8_lossy(&c.ask(format!("{head}{chunks}")).body), body);
    }
    let many = "1;x\r\ny\r\n".repeat(2000) + "2710\r\n" + &"z".repeat(10_000) + "\r\n0\r\n\r\n";
    assert_eq!(c.ask(format!("{head}{many}")).body.len(), 12_000);
    assert!(s.log.lock().expect("sound").iter().all(|v| !v.heads.has("x-sum")));
}

#[test]
fn given_more_than_may_be_then_it_is_said_what_was_too_much() {
    let s = step(limits(), echo);
    let long = |n: usize| "a".repeat(n);
    let fields = |n: usize| (0..n).map(|i| format!("X{i}: 1\r\n")).collect::<String>();
    let chunked = format!("{POST}Transfer-Encoding: chunked\r\n\r\n");
    let chunk = "100000\r\n".to_string() + &long(1 << 20) + "\r\n";
    for (status, much) in [
        (431, format!("GET / HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", long(HEADS))),
        (431, format!("GET / HTTP/1.1\r\nHost: h\r\nX: {}", long(3 * HEADS))),
        (431, format!("GET / HTTP/1.1\r\nHost: h\r\n{}\r\n", fields(100))),
        (414, format!("GET /{} HTTP/1.1\r\nHost: h\r\n\r\n", long(8000))),
        (414, format!("GET /{}", long(HEADS))),
        (413, format!("{POST}Content-Length: {}\r\n\r\n{}", BODY + 1, long(BODY / 8))),
        (413, format!("{POST}Content-Length: 999999999999999\r\n\r\n")),
        (413, format!("{chunked}{}1\r\n", chunk.repeat(4))),
        (413, format!("{chunked}ffffffff\r\n")),
        (431, format!("{chunked}1;{}\r\na\r\n0\r\n\r\n", long(HEADS))),
        (431, format!("{chunked}{}0\r\n\r\n", format!("1;{}\r\na\r\n", long(2000)).repeat(9))),
        (431, format!("{chunked}0\r\n{}\r\n", format!("X: {}\r\n", long(1000)).repeat(17))),
    ] {
        let got = all(s.at, much.as_bytes());
        assert!(got.starts_with(&format!("HTTP/1.1 {status} ")), "{}: {got}", &much[..60.min(much.len())]);
    }
    assert_eq!(s.targets(), Vec::<String>::new());
    let mut c = Caller::new(s.at);
    assert_eq!(c.ask(get(&format!("/{}", long(7999)))).status, 200);
    assert_eq!(c.ask(format!("GET / HTTP/1.1\r\nHost: h\r\n{}\r\n", fields(99))).status, 200);
    let room = HEADS - "GET / HTTP/1.1\r\nHost: h\r\nX: \r\n\r\n".len();
    assert_eq!(c.ask(format!("GET / HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", long(room))).status, 200);
}

#[test]
fn given_methods_and_bodies_of_any_kind_then_they_are_handed_over() {
    let s = step(limits(), echo);
    let mut c = Caller::new(s.at);
    for m in ["GET", "PROPFIND", "get", "X-!#$%&'*+.^_`|~0"] {
        assert_eq!(c.ask(put("/m", "body").replacen("PUT", m, 1)).body, b"body");
    }
    assert_eq!(c.ask("GET / HTTP/1.1\r\nhost:\t[::1]:80 \r\nX: \u{e9}\r\n\r\n").status, 200);
    let log = s.log.lock().expect("sound");
    assert_eq!(
        (log[1].method.as_str(), log[2].method.as_str(), log[4].host.as_str()),
        ("PROPFIND", "get", "[::1]:80")
    );
    assert_eq!(log[4].heads.all("x").next(), Some("\u{e9}".as_bytes()));
    assert!(log[4].read >= log[3].read && log[4].peer == c.0.get_ref().local_addr().expect("bound"));
}

#[test]
fn given_a_denial_while_the_body_still_comes_then_the_caller_can_read_it() {
    let s = step(limits(), echo);
    for _ in 0..20 {
        let mut c = dial(s.at);
        let head = format!("{POST}Content-Length: {}\r\n\r\n", BODY + 1);
        c.write_all(head.as_bytes()).expect("sent");
        let sent = (0..8).all(|_| c.write_all(&[b'x'; 64 << 10]).is_ok());
        let (got, clean) = rest(&c);
        assert!(sent && clean && got.starts_with(b"HTTP/1.1 413 "), "{sent} {clean} {}", got.len());
    }
}
