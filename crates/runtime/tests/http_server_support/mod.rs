//! What stories about the door share: a door on loopback, and callers' side of it.
#![allow(dead_code)]
use control_state::Headers;
use primitives::Span;
use runtime::front::Reply;
use runtime::http_server::{open, HttpRequest, HttpServer, Limits};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const HEADS: usize = 16 << 10;
pub const BODY: usize = 4 << 20;

pub fn limits() -> Limits {
    let wait = Span::secs(20);
    Limits { heads: HEADS, body: BODY, head_wait: wait, idle: wait, send: wait, connections: 1000 }
}

pub struct Step {
    pub at: SocketAddr,
    pub door: Arc<HttpServer>,
    /// Requests handed over, noted before they are answered.
    pub log: Arc<Mutex<Vec<HttpRequest>>>,
}

pub fn step(l: Limits, f: impl Fn(&HttpRequest) -> Reply + Send + Sync + 'static) -> Step {
    let port = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let at = port.local_addr().expect("bound");
    let log: Arc<Mutex<Vec<HttpRequest>>> = Arc::default();
    let seen = log.clone();
    let door = open(port, Arc::new(move || l), move |v| {
        let r = f(&v);
        seen.lock().expect("sound").push(v);
        r
    });
    Step { at, door, log }
}

/// Answers with the request's own body, and its target in a field.
pub fn echo(v: &HttpRequest) -> Reply {
    Reply::new(200, Headers::default().with("x-target", v.target.as_str()), Arc::new(v.body.clone()))
}

impl Step {
    pub fn targets(&self) -> Vec<String> {
        self.log.lock().expect("sound").iter().map(|v| v.target.clone()).collect()
    }
}

pub fn dial(at: SocketAddr) -> TcpStream {
    let s = TcpStream::connect(at).expect("listening");
    s.set_nodelay(true).expect("a socket");
    // Only so that a failing story ends.
    s.set_read_timeout(Some(Duration::from_secs(30))).expect("a socket");
    s
}

/// All there is until the end; whether that was a clean one.
pub fn rest(mut s: impl Read) -> (Vec<u8>, bool) {
    let mut got = vec![];
    let clean = s.read_to_end(&mut got).is_ok();
    (got, clean)
}

/// Sends it and reads until the door closes, which it has to do cleanly.
pub fn all(at: SocketAddr, what: &[u8]) -> String {
    let mut s = dial(at);
    s.write_all(what).expect("sent");
    let (got, clean) = rest(&s);
    let got = String::from_utf8_lossy(&got).to_string();
    assert!(clean, "reset after {got}");
    got
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// All of its head but the first line, in lower case.
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn field(&self, n: &str) -> Option<&str> {
        self.head.lines().find_map(|l| l.strip_prefix(n)?.strip_prefix(": "))
    }
}

/// The next answer, None at the end. `bare` if no body can follow.
pub fn answer(s: &mut impl BufRead, bare: bool) -> Option<Answer> {
    let mut line = String::new();
    s.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let status = line.strip_prefix("HTTP/1.1 ").expect("an answer")[..3].parse().expect("a status");
    let mut head = vec![];
    while !head.ends_with(b"\r\n\r\n") && head != b"\r\n" {
        assert!(s.read_until(b'\n', &mut head).expect("a head") > 0, "cut: {head:?}");
    }
    // Byte by byte, as Latin-1.
    let head: String = head.into_iter().map(char::from).collect();
    let mut a = Answer { status, head: head.to_ascii_lowercase(), body: vec![] };
    let n = a.field("content-length").and_then(|n| n.trim().parse().ok()).unwrap_or(0);
    a.body = vec![0; if bare { 0 } else { n }];
    s.read_exact(&mut a.body).expect("whole");
    Some(a)
}

/// A caller that asks one thing after the other.
pub struct Caller(pub BufReader<TcpStream>);

impl Caller {
    pub fn new(at: SocketAddr) -> Caller {
        Caller(BufReader::new(dial(at)))
    }

    pub fn say(&mut self, what: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(what.as_ref()).expect("sent");
    }

    pub fn hear(&mut self) -> Option<Answer> {
        answer(&mut self.0, false)
    }

    pub fn ask(&mut self, what: impl AsRef<[u8]>) -> Answer {
        self.say(what);
        self.hear().expect("an answer")
    }

    /// Whether the door ends it cleanly, with nothing more said.
    pub fn ends(&mut self) -> bool {
        rest(&mut self.0) == (vec![], true)
    }
}

pub fn get(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n")
}

pub fn put(target: &str, body: &str) -> String {
    format!("PUT {target} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Until it is so.
pub fn until(what: &str, f: impl Fn() -> bool) {
    for _ in 0..30_000 {
        if f() {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("never: {what}");
}
