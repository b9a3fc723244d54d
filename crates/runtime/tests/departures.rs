//! What the HTTP server for callers takes for a caller that has left, and what not.
mod http_server_support;

use http_server_support::*;
use nix::libc::linger;
use nix::sys::socket::{setsockopt, sockopt::Linger};
use runtime::http_server::{open_with, Departure, HttpServer, ServerOptions};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How soon the departure of a caller must be noticed.
const NOTICED_WITHIN: Duration = Duration::from_millis(500);
/// How long a request takes here if its caller stays.
const WORK: Duration = Duration::from_millis(1500);

/// A server whose requests take `WORK`; the receiver gets the departure of each.
fn server() -> (SocketAddr, Receiver<Arc<Departure>>, Arc<HttpServer>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let at = listener.local_addr().expect("bound");
    let (begun, departures) = channel();
    let begun = Mutex::new(begun);
    let options = ServerOptions { departures: true, ..ServerOptions::default() };
    let serve = move |request: runtime::http_server::HttpRequest| {
        begun.lock().expect("sound").send(request.departure.clone()).expect("the test waits");
        let end = Instant::now() + WORK;
        while Instant::now() < end && !request.departure.is_gone() {
            thread::sleep(Duration::from_millis(5));
        }
        echo(&request)
    };
    (at, departures, open_with(listener, Arc::new(limits), serve, options))
}

fn noticed(departure: &Departure) -> bool {
    let end = Instant::now() + NOTICED_WITHIN;
    while Instant::now() < end && !departure.is_gone() {
        thread::sleep(Duration::from_millis(5));
    }
    departure.is_gone()
}

#[test]
fn given_callers_that_close_or_reset_then_it_is_noticed_whether_they_sent_more_or_not() {
    let (at, departures, _server) = server();
    let pipelined = get("/1") + &get("/2");
    for (sent, resets) in
        [(get("/1"), false), (get("/1"), true), (pipelined.clone(), false), (pipelined, true)]
    {
        let mut caller = Caller::new(at);
        caller.say(&sent);
        let departure = departures.recv().expect("a request");
        if resets {
            setsockopt(caller.0.get_ref(), Linger, &linger { l_onoff: 1, l_linger: 0 }).expect("a socket");
        }
        drop(caller);
        assert!(noticed(&departure), "{sent:?}, resets: {resets}");
    }
}

#[test]
fn given_callers_that_stay_then_none_is_taken_for_gone_and_each_gets_its_answer() {
    let (at, departures, _server) = server();
    let (mut silent, mut half, mut sending) = (Caller::new(at), Caller::new(at), Caller::new(at));
    silent.say(get("/silent"));
    let mut all = vec![departures.recv().expect("a request")];
    half.say(get("/half"));
    all.push(departures.recv().expect("a request"));
    half.0.get_ref().shutdown(Shutdown::Write).expect("a socket");
    sending.say(get("/sending") + &get("/next"));
    all.push(departures.recv().expect("a request"));
    let gone: Vec<bool> = all.iter().map(|departure| noticed(departure)).collect();
    assert_eq!(gone, [false; 3]);
    assert_eq!(silent.hear().expect("an answer").status, 200);
    assert_eq!([sending.hear(), sending.hear()].map(|answer| answer.expect("an answer").status), [200; 2]);
    // It is asked whether it is still there, with interim responses that carry nothing.
    let answers: Vec<u16> = std::iter::from_fn(|| half.hear()).map(|answer| answer.status).collect();
    assert_eq!(answers.last(), Some(&200));
    assert!(answers[..answers.len() - 1].iter().all(|status| *status == 100), "{answers:?}");
}

#[test]
fn given_a_departure_that_came_first_then_what_is_to_be_done_is_done_at_once() {
    let (at, departures, _server) = server();
    let mut caller = Caller::new(at);
    caller.say(get("/1"));
    let departure = departures.recv().expect("a request");
    drop(caller);
    assert!(noticed(&departure));
    let (done, is_done) = channel();
    departure.when_gone(move || done.send(()).expect("the test waits"));
    assert!(is_done.try_recv().is_ok());
}
