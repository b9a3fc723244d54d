//! HTTP towards callers, origins, operators and the platform.
use crate::shell::Handle;
use brood::*;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Request, Response, Server};
use tinyjson::JsonValue;
use wax::{parse, Look, LookProblem, Mono};

/// Bodies larger than this are denied.
const LARGEST: usize = 1 << 20;

/// What goes back over HTTP.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub mime: String,
    pub body: Vec<u8>,
    pub heads: Vec<(&'static str, String)>,
    /// Not a byte leaves after this.
    pub until: Mono,
}

impl Reply {
    pub fn json(status: u16, v: JsonValue) -> Reply {
        let body = v.stringify().unwrap_or_default().into_bytes();
        Reply { status, mime: "application/json".into(), body, heads: vec![], until: Mono(u64::MAX) }
    }

    /// A denial or failure, by name, with its reason.
    pub fn problem(status: u16, name: &str, why: impl ToString) -> Reply {
        Reply::json(status, obj(vec![("problem", text(name)), ("reason", text(why.to_string()))]))
    }

    pub fn after(mut self, secs: u64) -> Reply {
        self.heads.push(("Retry-After", secs.max(1).to_string()));
        self
    }
}

/// A request taken apart.
pub struct Call {
    pub method: String,
    pub path: String,
    pub key: Option<String>,
    pub mime: String,
    pub body: Vec<u8>,
}

impl Call {
    pub fn json<T>(&self, read: impl FnOnce(&Look) -> Result<T, LookProblem>) -> Result<T, Reply> {
        let s = String::from_utf8_lossy(&self.body);
        let bad = |p: LookProblem| Reply::problem(400, "invalid", p);
        parse(&s).and_then(|v| read(&Look::at(&v, ""))).map_err(bad)
    }
}

fn take(req: &mut Request) -> Result<Call, Reply> {
    let head = |n: &'static str| {
        let h = req.headers().iter().find(|h| h.field.equiv(n));
        h.map(|h| h.value.as_str().to_string())
    };
    let (key, mime) = (head("Idempotency-Key"), head("Content-Type").unwrap_or_default());
    let path = req.url().trim_start_matches('/').to_string();
    let method = req.method().as_str().to_string();
    if path.len() > 4000 || key.as_ref().is_some_and(|k| k.is_empty() || k.len() > 200) {
        return Err(Reply::problem(400, "invalid", "path of over 4000 bytes, or key not of 1 to 200"));
    }
    if req.body_length().is_some_and(|n| n > LARGEST) {
        return Err(Reply::problem(413, "too large", "bodies may have 1 MiB"));
    }
    let mut body = vec![];
    let r =
        std::io::Read::read_to_end(&mut std::io::Read::take(req.as_reader(), LARGEST as u64 + 1), &mut body);
    match r {
        Err(_) => Err(Reply::problem(400, "invalid", "the body broke off")),
        Ok(n) if n > LARGEST => Err(Reply::problem(413, "too large", "bodies may have 1 MiB")),
        Ok(_) => Ok(Call { method, path, key, mime, body }),
    }
}

fn answer(req: Request, r: Reply) {
    // A thawed machine does not hand out what it decided on before the freeze.
    let r = if crate::now() < r.until {
        r
    } else {
        Reply::problem(503, "stale", "the decision is too old to be served").after(1)
    };
    let mut resp = Response::from_data(r.body).with_status_code(r.status);
    let heads = r.heads.into_iter().chain([("Content-Type", r.mime)]);
    for (n, v) in heads.filter(|(_, v)| !v.is_empty()) {
        if let Ok(h) = Header::from_bytes(n.as_bytes(), v.as_bytes()) {
            resp.add_header(h);
        }
    }
    let _ = req.respond(resp);
}

/// Requests being answered, for a drain to wait on.
pub type Open = Arc<AtomicU64>;

/// Serves HTTP on so many threads by what `f` says.
pub fn serve(l: TcpListener, threads: usize, f: impl Fn(Call) -> Reply + Send + Sync + 'static) -> Open {
    let open: Open = Arc::default();
    let Ok(server) = Server::from_listener(l, None) else { return open };
    let (server, f) = (Arc::new(server), Arc::new(f));
    for _ in 0..threads {
        let (server, f, open) = (server.clone(), f.clone(), open.clone());
        thread::spawn(move || {
            while let Ok(mut req) = server.recv() {
                open.fetch_add(1, Ordering::SeqCst);
                let r = take(&mut req).map(|c| f(c)).unwrap_or_else(|r| r);
                answer(req, r);
                open.fetch_sub(1, Ordering::SeqCst);
            }
        });
    }
    open
}

/// What every role answers alike: liveness, readiness, counters.
pub fn common(h: &Handle, c: &Call) -> Option<Reply> {
    let (path, wait) = (c.path.as_str(), Duration::from_secs(1));
    match (c.method.as_str(), path) {
        ("GET", "lanewing/live") => Some(Reply::json(200, obj(vec![("live", JsonValue::from(true))]))),
        ("GET", "lanewing/ready") => Some(match h.ask(Ask::Ready, wait) {
            Some(Receipt::Health(x)) => health(x),
            _ => Reply::problem(503, "stuck", "the process does not answer itself"),
        }),
        _ => None,
    }
}

fn health(x: Health) -> Reply {
    let counts = x.counts.into_iter().map(|(k, n)| (k, num(n))).collect();
    let v = obj(vec![
        ("ready", JsonValue::from(x.ready)),
        ("why", text(x.why)),
        ("in_hand", num(x.in_hand)),
        ("counts", obj(counts)),
    ]);
    Reply::json(if x.ready { 200 } else { 503 }, v)
}
