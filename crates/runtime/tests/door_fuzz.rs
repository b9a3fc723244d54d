//! Requests with random damage. Whatever the door accepts, another reading of the
//! same bytes, made here on its own, agrees with it.
mod damage;
mod http_server_support;

use damage::damage;
use fastrand::Rng;
use http_server_support::*;
use runtime::http_server::HttpRequest;
use std::io::Write;
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;

/// What is put into the bytes at random places.
const PARTS: [&str; 9] = [
    "\r\n",
    "\r\n\r\n",
    "Content-Length: 3\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Host: i\r\n",
    "0\r\n\r\n",
    "chunked",
    "Expect: 100-continue\r\n",
    "\r\n ",
];

fn request(r: &mut Rng) -> Vec<u8> {
    let target = ["/", "/a%2Fb?c=d", "/../x", "/very/long/path/with/parts"][r.usize(..4)];
    let extra =
        ["", "X-A: b\r\n", "Accept: */*\r\nCookie: a=b; c=d\r\n", "Connection: keep-alive\r\n"][r.usize(..4)];
    let body = ["", "hello", "0\r\n\r\n", "GET /evil HTTP/1.1\r\nHost: h\r\n\r\n"][r.usize(..4)];
    let n = body.len();
    let framed = match r.usize(..4) {
        0 => "\r\n".to_string(),
        1 => format!("Transfer-Encoding: chunked\r\n\r\n{n:x}\r\n{body}\r\n0\r\n\r\n")
            .replace("0\r\n\r\n0", "0"),
        2 => format!(
            "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n{:x}\r\n{body}c\r\n00\r\nT: v\r\n\r\n",
            n + 1
        ),
        _ => format!("Content-Length: {n}\r\n\r\n{body}"),
    };
    format!("POST {target} HTTP/1.1\r\nHost: h\r\n{extra}{framed}").into_bytes()
}

fn find(b: &[u8], what: &[u8]) -> usize {
    b.windows(what.len()).position(|w| w == what).expect("what was accepted has an end")
}

/// The data of chunks, and how many bytes they took.
fn chunks(b: &[u8]) -> (Vec<u8>, usize) {
    let (mut data, mut at) = (vec![], 0);
    loop {
        let line = &b[at..at + find(&b[at..], b"\r\n")];
        let digits = line.split(|c| *c == b';').next().expect("a split has a part");
        let n = usize::from_str_radix(std::str::from_utf8(digits).expect("digits"), 16).expect("a size");
        at += line.len() + 2;
        if n == 0 {
            break;
        }
        data.extend_from_slice(&b[at..at + n]);
        assert_eq!(&b[at + n..at + n + 2], b"\r\n");
        at += n + 2;
    }
    while !b[at..].starts_with(b"\r\n") {
        at += find(&b[at..], b"\r\n") + 2;
    }
    (data, at + 2)
}

/// Reads `b` as `v` says it is, and tells where the next request starts.
fn agree(b: &[u8], v: &HttpRequest) -> usize {
    let skip = if b.starts_with(b"\r\n") { 2 } else { 0 };
    let head = &b[skip..skip + find(&b[skip..], b"\r\n\r\n")];
    let lines: Vec<&[u8]> = head.split(|c| *c == b'\n').map(|l| l.strip_suffix(b"\r").unwrap_or(l)).collect();
    assert_eq!(head.iter().filter(|c| **c == b'\r').count(), lines.len() - 1, "a bare CR or LF");
    let first = format!("{} {} HTTP/1.", v.method, v.target);
    assert!(lines[0].starts_with(first.as_bytes()) && lines[0].len() == first.len() + 1, "{first}");
    let fields: Vec<(String, &[u8])> = lines[1..]
        .iter()
        .map(|l| {
            let colon = l.iter().position(|c| *c == b':').expect("a field");
            (String::from_utf8_lossy(&l[..colon]).to_ascii_lowercase(), l[colon + 1..].trim_ascii())
        })
        .collect();
    assert!(fields.iter().map(|(n, v)| (n.as_str(), *v)).eq(v.heads.iter()), "{:?}", v.heads);
    let all = |n: &str| fields.iter().filter(|f| f.0 == n).map(|f| f.1).collect::<Vec<_>>();
    let (lengths, codings) = (all("content-length"), all("transfer-encoding"));
    assert!(lengths.len() + codings.len() <= 1 && all("host").len() <= 1);
    let rest = &b[skip + head.len() + 4..];
    let (body, took) = match (lengths.first(), codings.first()) {
        (Some(n), _) => {
            let n: usize = std::str::from_utf8(n).expect("digits").parse().expect("a number");
            (rest[..n].to_vec(), n)
        }
        (_, Some(_)) => chunks(rest),
        _ => (vec![], 0),
    };
    assert_eq!(body, v.body);
    skip + head.len() + 4 + took
}

#[test]
fn given_requests_with_random_damage_then_what_is_accepted_has_one_reading_and_nothing_panics() {
    let panics: Arc<AtomicUsize> = Arc::default();
    let (count, was) = (panics.clone(), std::panic::take_hook());
    std::panic::set_hook(Box::new(move |p| {
        count.fetch_add(1, SeqCst);
        was(p);
    }));
    let s = step(limits(), echo);
    let mut r = Rng::with_seed(0x1a9e);
    let (mut accepted, mut denied) = (0, 0);
    for case in 0..4000 {
        let mut b: Vec<u8> = (0..r.usize(1..4)).flat_map(|_| request(&mut r)).collect();
        (0..r.usize(..4)).for_each(|_| damage(&mut b, &mut r, &PARTS, false));
        let mut c = dial(s.at);
        let cut = r.usize(..=b.len());
        // The door may have closed already; what it made of it is looked at below.
        let _ = c.write_all(&b[..cut]).and_then(|()| c.write_all(&b[cut..]));
        let _ = c.shutdown(Shutdown::Write);
        let (got, clean) = rest(&c);
        assert!(clean, "{case}: reset");
        let mut got = got.as_slice();
        let answers: Vec<u16> = std::iter::from_fn(|| answer(&mut got, false)).map(|a| a.status).collect();
        let finals: Vec<u16> = answers.into_iter().filter(|a| *a != 100).collect();
        let visits = std::mem::take(&mut *s.log.lock().expect("sound"));
        let ok = finals.iter().take_while(|a| **a == 200).count();
        assert_eq!(visits.len(), ok, "{case}: {finals:?}");
        assert!(finals[ok..].len() <= 1 && finals[ok..].iter().all(|a| (400..500).contains(a)), "{finals:?}");
        let _ = visits.iter().fold(0, |at, v| at + agree(&b[at..], v));
        accepted += ok;
        denied += finals.len() - ok;
    }
    assert!(accepted > 2000 && denied > 1000, "{accepted} {denied}");
    assert_eq!(panics.load(SeqCst), 0);
}
