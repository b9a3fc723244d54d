//! An attempt at an origin in a process that can start no further thread.
use control_state::*;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use primitives::{Addr, Birth, Span};
use runtime::executor::{run, ExecutorConfig};
use runtime::memory_budget::MemoryBudget;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;

/// Less than the stack of a thread, and enough for the buffers of an attempt.
const ADDRESS_SPACE_LEFT: u64 = 1 << 20;

/// An origin that answers one request. Its thread has reserved all its memory when this returns: the allocator
/// reserves twice what it keeps for a thread and releases half of it.
fn origin() -> Addr {
    let l = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let at = Addr(l.local_addr().expect("bound"));
    let (settled, is_settled) = channel();
    thread::spawn(move || {
        settled.send(vec![0u8; 100]).expect("the test waits");
        let (mut s, _) = l.accept().expect("a connection");
        let (mut head, mut byte) = (vec![], [0u8; 1]);
        while !head.ends_with(b"\r\n\r\n") {
            s.read_exact(&mut byte).expect("the head of a request");
            head.push(byte[0]);
        }
        s.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").expect("written");
    });
    is_settled.recv().expect("the thread runs");
    at
}

fn round(addr: Addr) -> Round {
    let req = CallerRequest {
        method: "GET".into(),
        path: "x".into(),
        body: Arc::default(),
        ..CallerRequest::default()
    };
    let end = runtime::now() + Span::secs(20);
    let (svc, birth, tag) = ("s".into(), Birth(7), String::new());
    Round { n: 1, addr, svc, birth, tag, until: end, answer_deadline: end, extra: false, req }
}

/// Bytes of address space that this process uses.
fn address_space() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux tells it");
    let line = status.lines().find_map(|line| line.strip_prefix("VmSize:")).expect("the size is told");
    let kib: u64 = line.trim().trim_end_matches("kB").trim().parse().expect("a number");
    kib << 10
}

// Guards against a process that ends, with all that it has accepted, when an attempt needs a thread and the system
// has none left: the HTTP client resolved the origin's address on a thread of its own.
#[test]
fn given_a_process_that_can_start_no_thread_then_an_attempt_still_reaches_its_origin() {
    let round = round(origin());
    let config =
        ExecutorConfig { answer: 1000, room: MemoryBudget::new(4000), origin_protocol: Default::default() };
    let (soft, hard) = getrlimit(Resource::RLIMIT_AS).expect("the limit is told");
    setrlimit(Resource::RLIMIT_AS, address_space() + ADDRESS_SPACE_LEFT, hard).expect("the limit is set");
    let can_start_threads = thread::Builder::new().spawn(|| ()).is_ok();
    let outcome = catch_unwind(AssertUnwindSafe(|| run(&config, &round)));
    setrlimit(Resource::RLIMIT_AS, soft, hard).expect("the limit is set");
    assert!(!can_start_threads, "the limit has no effect");
    let outcome = outcome.expect("the attempt does not panic");
    assert!(matches!(&outcome, FetchOutcome::Whole(whole) if whole.status == 200), "{outcome:?}");
}
