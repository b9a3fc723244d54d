//! How the door's connections end: when it leaves, when callers are slow or go
//! away, and when there are too many of them.
mod http_server_support;

use http_server_support::*;
use primitives::Span;
use runtime::front::Reply;
use runtime::http_server::{HttpRequest, Limits};
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// A door whose answers to `/held` wait until the guard is dropped.
fn held() -> (Step, Arc<Mutex<()>>) {
    let m: Arc<Mutex<()>> = Arc::default();
    let n = m.clone();
    let f = move |v: &HttpRequest| -> Reply {
        let _go = (v.target == "/held").then(|| n.lock().expect("sound"));
        echo(v)
    };
    (step(limits(), f), m)
}

#[test]
fn given_a_door_that_leaves_then_each_connection_has_one_answer_more_and_new_ones_too() {
    let s = step(limits(), echo);
    let (mut a, mut b) = (Caller::new(s.at), Caller::new(s.at));
    assert_eq!(a.ask(get("/1")).field("connection"), None);
    assert_eq!(b.ask(get("/1")).field("connection"), None);
    s.door.leave();
    for mut c in [a, b, Caller::new(s.at)] {
        // The second comes too late, which does not take the first's answer away.
        let got = c.ask(get("/2") + &get("/late"));
        assert_eq!((got.status, got.field("connection")), (200, Some("close")));
        assert!(c.ends());
    }
    assert!(!s.targets().contains(&"/late".to_string()));
}

#[test]
fn given_a_door_that_is_shut_then_idle_callers_end_and_busy_ones_are_answered_first() {
    let (s, m) = held();
    let go = m.lock().expect("sound");
    let (mut idle, mut fresh) = (Caller::new(s.at), Caller::new(s.at));
    let (mut busy, mut half) = (Caller::new(s.at), Caller::new(s.at));
    assert_eq!(idle.ask(get("/1")).status, 200);
    until("that one is done with", || s.door.in_hand() == 0);
    busy.say(get("/held"));
    half.say("PUT /half HTTP/1.1\r\nHost: h\r\nContent-Le");
    until("two in hand", || s.door.in_hand() == 2);
    s.door.shut();
    assert!(idle.ends() && fresh.ends());
    until("two connections", || s.door.in_hand() == 2);
    assert!(TcpStream::connect(s.at).is_err());
    assert!(TcpListener::bind(s.at).is_ok(), "the port is not given back");
    let got = half.ask("ngth: 3\r\n\r\nabc");
    assert_eq!((got.body.as_slice(), got.field("connection")), (&b"abc"[..], Some("close")));
    assert!(half.ends());
    drop(go);
    let got = busy.hear().expect("an answer");
    assert_eq!((got.status, got.field("connection"), busy.ends()), (200, Some("close"), true));
    drop((busy, half));
    until("nothing left", || s.door.in_hand() == 0);
    s.door.shut();
}

#[test]
fn given_requests_on_their_way_while_it_is_shut_then_each_that_was_taken_up_is_answered() {
    for round in 0..30 {
        let s = step(limits(), echo);
        let callers: Vec<Caller> = (0..8).map(|_| Caller::new(s.at)).collect();
        let all: Vec<_> = callers
            .into_iter()
            .map(|mut c| {
                thread::spawn(move || {
                    let mut n = 0;
                    while c.0.get_mut().write_all(get("/x").as_bytes()).is_ok() {
                        match c.hear() {
                            Some(a) => n += (a.status == 200) as u64,
                            None => break,
                        }
                    }
                    n
                })
            })
            .collect();
        until("some asked", || s.door.requests() > round);
        s.door.shut();
        let answered: u64 = all.into_iter().map(|t| t.join().expect("sound")).sum();
        assert_eq!(answered, s.door.requests());
        until("nothing left", || s.door.in_hand() == 0);
    }
}

#[test]
fn given_callers_slower_than_they_may_be_then_they_are_told_and_others_never_wait() {
    let short = Span::ms(150);
    let s = step(Limits { head_wait: short, send: short, ..limits() }, echo);
    let start = runtime::now();
    let mut slow: Vec<Caller> = (0..50).map(|_| Caller::new(s.at)).collect();
    slow.iter_mut().for_each(|c| c.say("GET /never-en"));
    let mut body = Caller::new(s.at);
    body.say("PUT /p HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\nhello");
    let mut chunk = Caller::new(s.at);
    chunk.say("PUT /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel");
    // Bytes that trickle in do not make the wait for a head longer.
    let mut drip = dial(s.at);
    let mut dripped = get("/").into_bytes().into_iter().cycle();
    assert_eq!(Caller::new(s.at).ask(get("/quick")).status, 200);
    while runtime::now() - start < short.times(3)
        && drip.write_all(&[dripped.next().expect("endless")]).is_ok()
    {
        thread::sleep(Span::ms(40).into());
    }
    assert!(rest(&drip).0.starts_with(b"HTTP/1.1 408 "));
    for mut c in slow.into_iter().chain([body, chunk]) {
        assert_eq!((c.hear().expect("an answer").status, c.ends()), (408, true));
    }
    assert_eq!(s.targets(), ["/quick"]);
}

#[test]
fn given_a_caller_with_nothing_to_ask_then_its_connection_ends_unsaid() {
    let s = step(Limits { idle: Span::ms(100), ..limits() }, echo);
    assert!(Caller::new(s.at).ends());
    let mut c = Caller::new(s.at);
    assert_eq!(c.ask(get("/")).status, 200);
    c.say("\r\n");
    assert!(c.ends());
}

#[test]
fn given_a_caller_that_goes_away_then_its_request_is_seen_through_and_others_go_on() {
    let (s, m) = held();
    let go = m.lock().expect("sound");
    let mut gone = dial(s.at);
    gone.write_all(get("/held").as_bytes()).expect("sent");
    until("in hand", || s.door.in_hand() == 1);
    drop(gone);
    // One that only has no more to say still takes its answer.
    let mut half = Caller::new(s.at);
    half.say(get("/half"));
    half.0.get_ref().shutdown(Shutdown::Write).expect("a socket");
    assert_eq!((half.hear().expect("an answer").status, half.ends()), (200, true));
    drop(go);
    until("seen through", || s.targets() == ["/half", "/held"] && s.door.in_hand() == 0);
    let mut cut = Caller::new(s.at);
    cut.say("PUT /p HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
    cut.0.get_ref().shutdown(Shutdown::Write).expect("a socket");
    assert_eq!((cut.hear().expect("an answer").status, cut.ends()), (400, true));
    assert_eq!(s.targets().len(), 2);
}

#[test]
fn given_more_callers_than_may_be_then_the_rest_is_told_until_some_leave() {
    let s = step(Limits { connections: 300, ..limits() }, echo);
    let mut all: Vec<Caller> = (0..300).map(|_| Caller::new(s.at)).collect();
    all.iter_mut().for_each(|c| c.say(get("/a")));
    all.iter_mut().for_each(|c| assert_eq!(c.hear().expect("an answer").status, 200));
    for _ in 0..200 {
        let mut c = Caller::new(s.at);
        let got = c.ask(get("/more"));
        assert_eq!((got.status, got.field("connection")), (503, Some("close")));
        assert!(got.field("retry-after").is_some() && c.ends());
    }
    all.iter_mut().for_each(|c| assert_eq!(c.ask(get("/b")).status, 200));
    all.truncate(299);
    until("there is a place again", || Caller::new(s.at).ask(get("/c")).status == 200);
    assert!(!s.targets().contains(&"/more".to_string()));
}
