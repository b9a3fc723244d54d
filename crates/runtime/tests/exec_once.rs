//! Requests that may run once, at origins that reset, close or keep silent: one connection
//! is made, and once a byte has left nobody says that none has.
use control_state::*;
use nix::sys::socket::{setsockopt, sockopt};
use primitives::{Addr, Birth, Span};
use runtime::executor::{run, ExecutorConfig};
use runtime::memory_budget::MemoryBudget;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What an origin does with a connection.
type Deed = fn(TcpStream);

fn reset(s: TcpStream) {
    let now = nix::libc::linger { l_onoff: 1, l_linger: 0 };
    setsockopt(&s, sockopt::Linger, &now).expect("a socket");
}

fn read_some(s: &mut TcpStream) {
    let mut b = [0; 64];
    let _ = s.read(&mut b);
}

/// Gone before a byte could be read: none may have been written either.
const EARLY: [(&str, Deed); 2] = [("closes at once", drop), ("resets at once", reset)];

const LATE: [(&str, Deed); 3] = [
    ("reads a little and closes with bytes unread", |mut s| read_some(&mut s)),
    ("reads a little and resets", |mut s| {
        read_some(&mut s);
        reset(s);
    }),
    ("reads a little and keeps silent", |mut s| {
        read_some(&mut s);
        thread::sleep(Duration::from_secs(3));
    }),
];

fn origin(deed: Deed) -> (Addr, Arc<AtomicUsize>) {
    let l = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let (at, came) = (Addr(l.local_addr().expect("bound")), Arc::new(AtomicUsize::new(0)));
    let count = came.clone();
    thread::spawn(move || {
        for s in l.incoming().flatten() {
            count.fetch_add(1, SeqCst);
            thread::spawn(move || deed(s));
        }
    });
    (at, came)
}

fn round(addr: Addr, method: &str, body: usize) -> Round {
    let now = runtime::now();
    let by = now + Span::secs(1);
    let req = CallerRequest {
        method: method.into(),
        path: "/x".into(),
        body: Arc::new(vec![b'x'; body]),
        ..CallerRequest::default()
    };
    let (svc, birth, tag) = ("s".into(), Birth(7), String::new());
    Round { n: 1, addr, svc, birth, tag, until: by, answer_deadline: by, extra: false, req }
}

/// The report, and how many connections were made.
fn asked(deed: Deed, method: &str, body: usize) -> (FetchOutcome, usize) {
    let env =
        ExecutorConfig { answer: 1000, room: MemoryBudget::new(4000), origin_protocol: Default::default() };
    let (at, came) = origin(deed);
    let got = run(&env, &round(at, method, body));
    thread::sleep(Duration::from_millis(50));
    (got, came.load(SeqCst))
}

/// The largest is still being written when the origin goes: a write that fails halfway.
const REQUESTS: [(&str, usize); 4] = [("POST", 10), ("POST", 4 << 20), ("GET", 0), ("DELETE", 0)];

#[test]
fn given_an_origin_that_took_bytes_and_goes_or_keeps_silent_then_a_request_left_once_and_is_lost() {
    for (name, deed) in LATE {
        for (method, body) in REQUESTS {
            let got = asked(deed, method, body);
            assert_eq!(got, (FetchOutcome::Lost, 1), "{method} of {body} bytes to one that {name}");
        }
    }
}

#[test]
fn given_an_origin_that_goes_at_once_then_no_second_connection_is_made() {
    for (name, deed) in EARLY {
        for (method, body) in REQUESTS {
            let (got, came) = asked(deed, method, body);
            assert!(
                [FetchOutcome::Lost, FetchOutcome::NotSent].contains(&got),
                "{got:?}: {method} to one that {name}"
            );
            assert!(came <= 1, "{came} connections: {method} of {body} bytes to one that {name}");
        }
    }
}

/// The first line that an origin reads; none if the executor says that nothing was sent.
fn first_line(target: &str) -> Option<String> {
    let l = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let r = round(Addr(l.local_addr().expect("bound")), "POST", 0);
    let r = Round { req: CallerRequest { path: target.into(), ..r.req }, ..r };
    let reader = thread::spawn(move || {
        let (mut s, _) = l.accept().expect("asked, or called off");
        let (mut got, mut byte) = (vec![], [0]);
        while !got.ends_with(b"\r\n\r\n") && s.read(&mut byte).is_ok_and(|n| n == 1) {
            got.push(byte[0]);
        }
        let _ = s.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        String::from_utf8_lossy(&got).lines().next().unwrap_or_default().to_string()
    });
    let got = run(
        &ExecutorConfig { answer: 1000, room: MemoryBudget::new(4000), origin_protocol: Default::default() },
        &r,
    );
    if got == FetchOutcome::NotSent {
        drop(TcpStream::connect(r.addr.0));
    }
    let line = reader.join().expect("read");
    (got != FetchOutcome::NotSent).then_some(line)
}

/// Every printable byte in a path and in a query, and what others would tidy up. Those not
/// sent are denied where callers come in, see `door_heads`.
#[test]
fn given_any_target_a_caller_may_send_then_it_goes_on_as_it_came_or_not_at_all() {
    let odd = (b'!'..=b'~').map(char::from);
    let mut all: Vec<String> = odd.flat_map(|c| [format!("/a{c}b"), format!("/a?b{c}c")]).collect();
    all.extend(["/a/../b", "//a", "/a//b", "/./a", "/%2e%2E/a", "/a?", "/a?b?c", "/A%2fb"].map(String::from));
    let mut unsent = vec![];
    for target in all {
        match first_line(&target) {
            Some(line) => assert_eq!(line, format!("POST {target} HTTP/1.1")),
            None => unsent.push(target),
        }
    }
    assert!(unsent.iter().all(|t| t.contains(['"', '#', '<', '>', '`'])), "{unsent:?}");
    assert_eq!(unsent.len(), 8, "{unsent:?}");
}
