//! Origins: they beat, serve one request a connection, stamp what they run, and tell what they ran.
use crate::http::{ask, Ask};
use crate::record::Record;
use crate::words::w;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub key: String,
    pub host: String,
}

#[derive(Default)]
pub struct Book {
    pub runs: Mutex<Vec<Run>>,
    number: AtomicU64,
}

impl Book {
    pub fn of_key(&self, key: &str) -> Vec<Run> {
        let all = self.runs.lock().expect("no thread panics with it");
        all.iter().filter(|r| r.key == key).cloned().collect()
    }
}

pub struct Origin {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub capacity: usize,
    pub work: Duration,
}

pub fn start(
    o: Origin,
    controls: Vec<SocketAddr>,
    book: &Arc<Book>,
    record: &Arc<Record>,
    over: &Arc<AtomicBool>,
) -> SocketAddr {
    let l = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let at = l.local_addr().expect("bound");
    let o = Arc::new(o);
    let (book, record, beating, gone) = (book.clone(), record.clone(), o.clone(), over.clone());
    thread::spawn(move || {
        for s in l.incoming().flatten() {
            let (book, record, o) = (book.clone(), record.clone(), o.clone());
            thread::spawn(move || serve(&o, s, &book, &record));
        }
    });
    thread::spawn(move || {
        for n in 1u64.. {
            if gone.load(SeqCst) {
                return;
            }
            for turn in 0..controls.len() {
                let to = controls[(n as usize + turn) % controls.len()];
                if beat(&beating, at, to, n) {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(1500));
        }
    });
    at
}

fn beat(o: &Origin, at: SocketAddr, to: SocketAddr, n: u64) -> bool {
    let body = format!(
        "{{\"address\":\"{at}\",\"information\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"capacity\":{}}},\"status\":{{\"state\":\"{}\",\"sequence\":{n},\"{}\":0}}}}",
        o.service, o.zone, o.capacity, w("in-s").replace('-', "_"), w("cold")
    );
    let path = format!("/{}/{}/{}", w("api/inst"), o.id, w("heart"));
    let q = Ask {
        method: "POST",
        path: &path,
        host: "control",
        heads: vec![("Content-Type", "application/json".into())],
        body: body.into_bytes(),
    };
    ask(to, &q, Duration::from_secs(1)).is_ok_and(|a| a.status / 100 == 2)
}

fn serve(o: &Origin, s: TcpStream, book: &Book, record: &Record) -> Option<()> {
    let mut r = BufReader::new(s.try_clone().ok()?);
    let mut line = || {
        let mut l = String::new();
        r.read_line(&mut l).ok().map(|_| l.trim_end().to_string())
    };
    let first = line()?;
    let mut heads = BTreeMap::new();
    while let Some((n, v)) = line()?.split_once(':') {
        heads.insert(n.to_ascii_lowercase(), v.trim().to_string());
    }
    let get = |n: &str| heads.get(n).cloned().unwrap_or_default();
    let size: u64 = get("content-length").parse().unwrap_or(0);
    let got = std::io::copy(&mut r.by_ref().take(size), &mut std::io::sink()).ok()?;
    if got < size {
        return None;
    }
    let path = first.split(' ').nth(1)?.to_string();
    let id = get(w("x-req"));
    let target = get(w("x-target"));
    let echo = if id.is_empty() { String::new() } else { format!("{}: {id}\r\n", w("x-req")) };
    if !target.is_empty() && target != o.id {
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\n{echo}{}: 1\r\nContent-Length: 0\r\n\r\n",
            w("x-not")
        );
        return (&s).write_all(head.as_bytes()).ok();
    }
    let n = book.number.fetch_add(1, SeqCst) + 1;
    let run = Run { id, key: get(w("x-op")), host: get("host") };
    record.note(format!(
        "origin {}: runs {first} host={} id={} key={} ({size} bytes)",
        o.id, run.host, run.id, run.key
    ));
    let body = format!("run {n} of host {} path {path}", run.host);
    book.runs.lock().expect("no thread panics with it").push(run);
    thread::sleep(o.work);
    let seal = format!("{}: s.{n}.{}\r\n", w("x-server"), body.len());
    let tag = format!("ETag: \"{}-{path}\"\r\n{}: t1\r\n", get("host"), w("x-object"));
    let head = format!("HTTP/1.1 200 OK\r\n{echo}{seal}{tag}Content-Length: {}\r\n\r\n{body}", body.len());
    (&s).write_all(head.as_bytes()).ok()
}
