//! HTTP towards callers, origins, operators and the platform.
use crate::connection_monitor::{ConnectionMonitor, ConnectionPhase, Patience};
use crate::memory_budget::MemoryBudget;
use crate::request_parser::{head, take, Call, Head, RequestRejection};
use crate::shell::Handle;
use control_state::*;
use nix::sys::socket::{setsockopt, sockopt::SendTimeout};
use nix::sys::time::{TimeVal, TimeValLike};
use primitives::Mono;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Request, Response, Server, StatusCode};
use tinyjson::JsonValue;

/// What goes back over HTTP.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub heads: Headers,
    pub body: Arc<Vec<u8>>,
    /// What the length field says where no body goes out.
    pub length: Option<usize>,
    /// Not a byte leaves after this.
    pub until: Mono,
    pub hold: MemoryHold,
}

impl Reply {
    pub fn new(status: u16, heads: Headers, body: Arc<Vec<u8>>) -> Reply {
        Reply { status, heads, body, length: None, until: Mono(u64::MAX), hold: MemoryHold::default() }
    }

    pub fn json(status: u16, v: JsonValue) -> Reply {
        let body = v.stringify().unwrap_or_default().into_bytes();
        Reply::new(status, Headers::default().with("content-type", "application/json"), Arc::new(body))
    }

    /// A denial or failure, by name, with its reason.
    pub fn problem(status: u16, name: &str, why: impl ToString) -> Reply {
        Reply::json(status, obj(vec![("problem", text(name)), ("reason", text(why.to_string()))]))
    }

    pub fn after(mut self, secs: u64) -> Reply {
        self.heads.push("retry-after", secs.max(1).to_string());
        self
    }

    /// A thawed machine does not hand out what it decided on before the freeze.
    pub(crate) fn in_time(self) -> Reply {
        if crate::now() < self.until {
            return self;
        }
        Reply::problem(503, "stale", "the decision is too old to be served").after(1)
    }
}

#[derive(Clone)]
pub struct FrontConfig {
    /// Requests in hand at a time.
    pub callers: usize,
    /// Bytes of a request's body.
    pub body: usize,
    pub room: Arc<MemoryBudget>,
    pub patience: Patience,
}

/// Requests in hand, for a drain to wait on. Invariant: health has its own
/// count, so that callers never keep it waiting.
#[derive(Default)]
pub struct Open {
    connection_monitor: OnceLock<Arc<ConnectionMonitor>>,
    callers: AtomicUsize,
    health: AtomicUsize,
}

impl Open {
    pub fn any(&self) -> bool {
        self.callers.load(SeqCst) > 0
    }

    /// Closes connections that ask nothing, so that their callers see the end
    /// before they send more.
    pub fn close_idle(&self) {
        self.connection_monitor.get().into_iter().for_each(|u| u.close_idle());
    }
}

const HEALTH: usize = 32;

fn health_path(req: &Request) -> bool {
    ["/lanewing/live", "/lanewing/ready"].contains(&req.url())
}

/// Values that the library cannot carry stay behind, and are named.
fn headers(heads: &Headers) -> Vec<Header> {
    let mut left: Vec<&str> = vec![];
    let mut all: Vec<Header> = vec![];
    for (n, v) in heads.iter() {
        let plain = v.iter().all(|b| *b == b'\t' || (b' '..=b'~').contains(b));
        match Header::from_bytes(n.as_bytes(), v).ok().filter(|_| plain) {
            Some(h) => all.push(h),
            None => left.push(n),
        }
    }
    if !heads.has("server") {
        all.extend(Header::from_bytes("Server", "lanewing"));
    }
    if !left.is_empty() {
        all.extend(Header::from_bytes("Lanewing-Left-Out", left.join(", ")));
    }
    all
}

fn response(r: &Reply) -> Response<&[u8]> {
    let length = r.length.unwrap_or(r.body.len());
    let resp = Response::new(StatusCode(r.status), headers(&r.heads), &r.body[..], Some(length), None);
    resp.with_chunked_threshold(usize::MAX)
}

fn answer(req: Request, r: Reply) {
    let _ = req.respond(response(&r.in_time()));
}

/// The last word on this connection, which waits for nothing its caller may still
/// have to send.
fn cut_off(req: Request, r: Reply, connection_monitor: &ConnectionMonitor) {
    let peer = req.remote_addr().copied();
    peer.into_iter().for_each(|p| connection_monitor.shutdown_read(p));
    answer(req, r);
    peer.into_iter().for_each(|p| connection_monitor.hush(p));
}

type Serve = dyn Fn(Call) -> Reply + Send + Sync;

/// One request, on a thread of its own: a slow caller holds up nobody else.
fn one(
    mut req: Request,
    h: Result<Head, RequestRejection>,
    env: &FrontConfig,
    connection_monitor: &ConnectionMonitor,
    f: &Serve,
) {
    let peer = req.remote_addr().copied();
    let mark = |d: ConnectionPhase| peer.into_iter().for_each(|p| connection_monitor.set(p, d));
    mark(ConnectionPhase::Sending);
    match h.and_then(|h| take(&mut req, h, env.body, &env.room)) {
        Ok(call) => {
            mark(ConnectionPhase::Waiting);
            let r = f(call);
            mark(ConnectionPhase::Taking);
            answer(req, r);
            mark(ConnectionPhase::Asking);
        }
        Err(a) => {
            mark(if a.cut { ConnectionPhase::ProtocolViolation } else { ConnectionPhase::Taking });
            if a.cut {
                return cut_off(req, a.reply, connection_monitor);
            }
            answer(req, a.reply);
            mark(ConnectionPhase::Asking);
        }
    }
}

/// Serves HTTP by what `f` says.
pub fn serve(
    l: TcpListener,
    env: FrontConfig,
    f: impl Fn(Call) -> Reply + Send + Sync + 'static,
) -> Arc<Open> {
    let open: Arc<Open> = Arc::default();
    // Accepted connections inherit it: who does not read is given up.
    let _ = setsockopt(&l, SendTimeout, &TimeVal::milliseconds(env.patience.take.as_ms() as i64));
    let none = SocketAddr::from(([0, 0, 0, 0], 0));
    let connection_monitor = ConnectionMonitor::start(l.local_addr().unwrap_or(none), env.patience);
    let _ = open.connection_monitor.set(connection_monitor.clone());
    let Ok(server) = Server::from_listener(l, None) else { return open };
    let (f, count): (Arc<Serve>, _) = (Arc::new(f), open.clone());
    thread::spawn(move || {
        while let Ok(req) = server.recv() {
            let peer = req.remote_addr().copied();
            if peer.is_some_and(|p| connection_monitor.violated_protocol(p)) {
                // It was told already; what follows is no request of anybody's.
                drop(req.into_writer());
                continue;
            }
            // Looked at in their order, so that what follows a head that broke the
            // framing is known for what it is.
            let h = head(&req, env.body);
            let cut = h.as_ref().is_err_and(|a| a.cut);
            peer.filter(|_| cut)
                .into_iter()
                .for_each(|p| connection_monitor.set(p, ConnectionPhase::ProtocolViolation));
            let health = health_path(&req);
            let (open, most) = (count.clone(), if health { HEALTH } else { env.callers });
            let n = move |o: &Open, by: isize| {
                let c = if health { &o.health } else { &o.callers };
                c.fetch_add(by as usize, SeqCst)
            };
            if n(&open, 1) >= most {
                n(&open, -1);
                let r = Reply::problem(503, "denied", "this node holds too many requests").after(2);
                cut_off(req, r, &connection_monitor);
                continue;
            }
            let (f, env, connection_monitor) = (f.clone(), env.clone(), connection_monitor.clone());
            let went = open.clone();
            let job = move || {
                one(req, h, &env, &connection_monitor, &*f);
                n(&open, -1);
            };
            // No thread to be had: the request falls away with a 500, unsent.
            if thread::Builder::new().spawn(job).is_err() {
                n(&went, -1);
            }
        }
    });
    open
}

/// What every role answers alike: liveness, readiness, counters.
pub fn common(h: &Handle, c: &Call) -> Option<Reply> {
    let (path, wait) = (c.path.as_str(), Duration::from_secs(1));
    match (c.method.as_str(), path) {
        ("GET" | "HEAD", "lanewing/live") => {
            Some(Reply::json(200, obj(vec![("live", JsonValue::from(true))])))
        }
        ("GET" | "HEAD", "lanewing/ready") => Some(match h.ask(Ask::Ready, wait) {
            Some(NodeReply::Health(x)) => health(x),
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
