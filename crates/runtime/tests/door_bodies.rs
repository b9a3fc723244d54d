//! Bodies of requests in hand are counted: what does not fit is refused at once.
mod http_server_support;

use http_server_support::*;
use runtime::http_server::{open_with, HttpRequest, ServerOptions};
use runtime::memory_budget::MemoryBudget;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ROOM: usize = 100_000;

/// A door with so much room, whose answers wait until the guard is dropped.
fn held() -> (SocketAddr, Arc<Mutex<()>>) {
    let guard: Arc<Mutex<()>> = Arc::default();
    let wait = guard.clone();
    let port = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let at = port.local_addr().expect("bound");
    let extras = ServerOptions { bodies: Some(MemoryBudget::new(ROOM)), ..ServerOptions::default() };
    let serve = move |v: HttpRequest| {
        let _go = (v.target == "/held").then(|| wait.lock().expect("sound"));
        echo(&v)
    };
    open_with(port, Arc::new(limits), serve, extras);
    (at, guard)
}

fn sized(target: &str, bytes: usize) -> String {
    format!("PUT {target} HTTP/1.1\r\nHost: h\r\nContent-Length: {bytes}\r\n\r\n{}", "x".repeat(bytes))
}

fn chunked(target: &str, bytes: usize) -> String {
    let chunk = format!("{:x}\r\n{}\r\n", bytes / 4, "x".repeat(bytes / 4));
    let head = format!("PUT {target} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    format!("{head}{}0\r\n\r\n", chunk.repeat(4))
}

// Guards against a process that goes over its memory by bodies within the limits of each.
#[test]
fn given_bodies_in_hand_then_one_that_does_not_fit_is_told_at_once_when_to_come_back() {
    for form in [sized, chunked] {
        let (at, guard) = held();
        let go = guard.lock().expect("sound");
        let first = thread::spawn(move || Caller::new(at).ask(form("/held", 60_000)).status);
        thread::sleep(Duration::from_millis(300));
        let began = Instant::now();
        let refused = Caller::new(at).ask(form("/now", 60_000));
        assert_eq!((refused.status, refused.field("retry-after")), (503, Some("1")));
        assert!(began.elapsed() < Duration::from_millis(500), "refused after {:?}", began.elapsed());
        assert_eq!(Caller::new(at).ask(form("/now", 20_000)).status, 200, "that one fits");
        drop(go);
        assert_eq!(first.join().expect("a caller"), 200);
        thread::sleep(Duration::from_millis(100));
        assert_eq!(Caller::new(at).ask(form("/now", 60_000)).status, 200, "the room was not given back");
    }
}
