//! Answers with random damage, from a fixed seed. Whatever the executor takes as whole,
//! another reading of the same bytes, made here on its own, agrees with.
mod damage;
use control_state::*;
use damage::damage;
use fastrand::Rng;
use primitives::{Addr, Birth, Span};
use runtime::executor::{run, ExecutorConfig};
use runtime::memory_budget::MemoryBudget;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

/// What is put into the bytes at random places.
const PARTS: [&str; 9] = [
    "\r\n",
    "\r\n\r\n",
    "Content-Length: 3\r\n",
    "Transfer-Encoding: chunked\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "0\r\n\r\n",
    "chunked",
    "\r\n ",
];

/// An origin that says what it is given, one answer a connection.
fn origin() -> (Addr, Sender<Vec<u8>>) {
    let l = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let at = Addr(l.local_addr().expect("bound"));
    let (tx, say): (_, Receiver<Vec<u8>>) = channel();
    thread::spawn(move || {
        for answer in say {
            let Ok((mut s, _)) = l.accept() else { return };
            let (mut head, mut byte) = (vec![], [0u8; 1]);
            while !head.ends_with(b"\r\n\r\n") && s.read(&mut byte).is_ok_and(|n| n == 1) {
                head.push(byte[0]);
            }
            let _ = s.write_all(&answer);
            let _ = s.shutdown(Shutdown::Write);
            let _ = s.read_to_end(&mut head);
        }
    });
    (at, tx)
}

fn round(addr: Addr, method: &str) -> Round {
    let by = runtime::now() + Span::secs(5);
    let req = CallerRequest { method: method.into(), path: "/x".into(), ..CallerRequest::default() };
    let (svc, birth, tag) = ("s".into(), Birth(7), String::new());
    Round { n: 1, addr, svc, birth, tag, until: by, answer_deadline: by, extra: false, req }
}

fn answer(r: &mut Rng) -> Vec<u8> {
    let status = ["200 OK", "201 Created", "204 No Content", "304 Not Modified", "500 Oops"][r.usize(..5)];
    let extra = ["", "ETag: \"e\"\r\n", "X-A: b\r\nX-A: c\r\n", "Connection: close\r\n"][r.usize(..4)];
    let body = ["", "hello", "0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"][r.usize(..4)];
    let n = body.len();
    let framed = match r.usize(..4) {
        0 => format!("\r\n{body}"),
        1 if n > 0 => format!("Transfer-Encoding: chunked\r\n\r\n{n:x}\r\n{body}\r\n0\r\n\r\n"),
        2 => format!("Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n{:x}\r\n{body}c\r\n0\r\n\r\n", n + 1),
        _ => format!("Content-Length: {n}\r\n\r\n{body}"),
    };
    format!("HTTP/1.1 {status}\r\n{extra}{framed}").into_bytes()
}

/// The lines of a head and what follows it. A line of a head may end in LF alone (RFC 9112,
/// 2.2); nobody but the executor reads these bytes, and nothing else comes on the connection.
fn head(b: &[u8]) -> Option<(Vec<&[u8]>, &[u8])> {
    let (mut lines, mut at) = (vec![], 0);
    loop {
        let end = at + b[at..].iter().position(|c| *c == b'\n')?;
        let line = &b[at..end];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        at = end + 1;
        match line {
            [] if lines.is_empty() => (),
            [] => return Some((lines, &b[at..])),
            _ => lines.push(line),
        }
    }
}

/// An answer as the standard has it: status and body, or none.
fn strictly(b: &[u8], method: &str) -> Option<(u16, Vec<u8>)> {
    let (lines, rest) = head(b)?;
    let status: u16 = std::str::from_utf8(lines[0].get(9..12)?).ok()?.parse().ok()?;
    if status == 100 {
        return strictly(rest, method);
    }
    let all = |name: &str| -> Vec<String> {
        let field = |l: &&[u8]| {
            let colon = l.iter().position(|c| *c == b':')?;
            let is = l[..colon].eq_ignore_ascii_case(name.as_bytes());
            is.then(|| String::from_utf8_lossy(l[colon + 1..].trim_ascii()).to_ascii_lowercase())
        };
        lines[1..].iter().filter_map(field).collect()
    };
    let (lengths, codings) = (all("content-length"), all("transfer-encoding"));
    let bare = method == "HEAD" || status == 204 || status == 304;
    match (lengths.as_slice(), codings.as_slice()) {
        _ if bare => Some((status, vec![])),
        ([n], []) if n.bytes().all(|c| c.is_ascii_digit()) => {
            Some((status, rest.get(..n.parse().ok()?)?.to_vec()))
        }
        ([], [c]) if c == "chunked" => Some((status, chunks(rest)?)),
        // The body ends with the connection (RFC 9112, 6.3), which this origin ends in order.
        ([], []) => Some((status, rest.to_vec())),
        _ => None,
    }
}

fn chunks(b: &[u8]) -> Option<Vec<u8>> {
    let (mut data, mut at) = (vec![], 0);
    loop {
        let end = at + b[at..].windows(2).position(|w| w == b"\r\n")?;
        let digits = b[at..end].split(|c| *c == b';').next()?.trim_ascii();
        let n = usize::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
        at = end + 2;
        if n == 0 {
            break;
        }
        data.extend_from_slice(b.get(at..at + n)?);
        (b.get(at + n..at + n + 2)? == b"\r\n").then_some(())?;
        at += n + 2;
    }
    // The end of the trailers: an empty line.
    (b[at..].starts_with(b"\r\n") || b[at..].windows(4).any(|w| w == b"\r\n\r\n")).then_some(data)
}

#[test]
fn given_answers_with_random_damage_then_what_is_taken_as_whole_has_one_reading() {
    let (at, say) = origin();
    let env =
        ExecutorConfig { answer: 1000, room: MemoryBudget::new(4000), origin_protocol: Default::default() };
    let mut r = Rng::with_seed(0x0a95);
    let (mut whole, mut lost, mut odd) = (0, 0, vec![]);
    for case in 0..6000 {
        let mut b = answer(&mut r);
        (0..r.usize(..4)).for_each(|_| damage(&mut b, &mut r, &PARTS, true));
        let method = ["GET", "POST", "HEAD"][r.usize(..3)];
        say.send(b.clone()).expect("the origin is there");
        match run(&env, &round(at, method)) {
            FetchOutcome::Whole(w) => {
                whole += 1;
                let read = strictly(&b, method);
                if read.as_ref().is_none_or(|(s, body)| (*s, body) != (w.status, &*w.body)) {
                    odd.push((case, method, String::from_utf8_lossy(&b).to_string(), w.status, w.body.len()));
                }
            }
            FetchOutcome::NotSent => panic!("{case}: it was sent"),
            _ => lost += 1,
        }
    }
    println!("6000 answers: {whole} whole, {lost} not, {} read otherwise", odd.len());
    assert!(odd.is_empty(), "{:#?}", &odd[..odd.len().min(6)]);
    assert!(whole > 1500 && lost > 1500);
}
