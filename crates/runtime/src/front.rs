//! HTTP server on an HTTP library, for callers, origins, operators and the platform.
//! `http_server` is the alternative with one thread per connection.
mod reply;

use crate::connection_monitor::{ConnectionMonitor, ConnectionPhase, Patience};
use crate::memory_budget::MemoryBudget;
use crate::request_parser::{parse_head, read_body, Call, Head, RequestRejection};
use crate::shell::Handle;
use control_state::*;
use nix::sys::socket::{setsockopt, sockopt::SendTimeout};
use nix::sys::time::{TimeVal, TimeValLike};
pub use reply::Reply;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Request, Response, Server, StatusCode};
use tinyjson::JsonValue;

/// Limits and resources of the server.
#[derive(Clone)]
pub struct FrontConfig {
    /// Maximum number of in-flight requests, health checks excluded.
    pub callers: usize,
    /// Maximum bytes of a request's body.
    pub body: usize,
    /// Memory for request bodies.
    pub room: Arc<MemoryBudget>,
    /// Timeouts of callers' connections.
    pub patience: Patience,
}

/// In-flight requests, so that a drain can wait for them. Invariant: health checks are counted
/// separately, so that callers never delay them.
#[derive(Default)]
pub struct Open {
    connection_monitor: OnceLock<Arc<ConnectionMonitor>>,
    callers: AtomicUsize,
    health: AtomicUsize,
}

impl Open {
    /// Whether any request other than a health check is in flight.
    pub fn any(&self) -> bool {
        self.callers.load(SeqCst) > 0
    }

    /// Closes idle connections, so that their callers see the end before they send another
    /// request.
    pub fn close_idle(&self) {
        self.connection_monitor.get().into_iter().for_each(|m| m.close_idle());
    }
}

/// Maximum number of in-flight health checks.
const MAX_HEALTH_CHECKS: usize = 32;

fn is_health_check(req: &Request) -> bool {
    ["/lanewing/live", "/lanewing/ready"].contains(&req.url())
}

/// The fields in the library's form. Those that it cannot send are omitted and their names
/// listed in `Lanewing-Left-Out`.
fn headers(heads: &Headers) -> Vec<Header> {
    let mut omitted: Vec<&str> = vec![];
    let mut fields: Vec<Header> = vec![];
    for (n, v) in heads.iter() {
        let printable = v.iter().all(|b| *b == b'\t' || (b' '..=b'~').contains(b));
        match Header::from_bytes(n.as_bytes(), v).ok().filter(|_| printable) {
            Some(h) => fields.push(h),
            None => omitted.push(n),
        }
    }
    if !heads.has("server") {
        fields.extend(Header::from_bytes("Server", "lanewing"));
    }
    if !omitted.is_empty() {
        fields.extend(Header::from_bytes("Lanewing-Left-Out", omitted.join(", ")));
    }
    fields
}

fn response(r: &Reply) -> Response<&[u8]> {
    let length = r.length.unwrap_or(r.body.len());
    let resp = Response::new(StatusCode(r.status), headers(&r.heads), &r.body[..], Some(length), None);
    resp.with_chunked_threshold(usize::MAX)
}

fn respond(req: Request, r: Reply) {
    let _ = req.respond(response(&r.unless_expired()));
}

/// Sends the last response on a connection and closes it, without waiting for input that the
/// caller may still send.
fn respond_and_close(req: Request, r: Reply, connection_monitor: &ConnectionMonitor) {
    let peer = req.remote_addr().copied();
    peer.into_iter().for_each(|p| connection_monitor.shutdown_read(p));
    respond(req, r);
    peer.into_iter().for_each(|p| connection_monitor.shutdown_write(p));
}

type Handler = dyn Fn(Call) -> Reply + Send + Sync;

/// Serves one request on a thread of its own, so that a slow caller delays no other.
fn serve_one(
    mut req: Request,
    head: Result<Head, RequestRejection>,
    config: &FrontConfig,
    connection_monitor: &ConnectionMonitor,
    handler: &Handler,
) {
    let peer = req.remote_addr().copied();
    let set_phase = |phase: ConnectionPhase| peer.into_iter().for_each(|p| connection_monitor.set(p, phase));
    set_phase(ConnectionPhase::Sending);
    match head.and_then(|head| read_body(&mut req, head, config.body, &config.room)) {
        Ok(call) => {
            set_phase(ConnectionPhase::Waiting);
            let reply = handler(call);
            set_phase(ConnectionPhase::Taking);
            respond(req, reply);
            set_phase(ConnectionPhase::Asking);
        }
        Err(rejection) => {
            set_phase(if rejection.close_connection {
                ConnectionPhase::ProtocolViolation
            } else {
                ConnectionPhase::Taking
            });
            if rejection.close_connection {
                return respond_and_close(req, rejection.reply, connection_monitor);
            }
            respond(req, rejection.reply);
            set_phase(ConnectionPhase::Asking);
        }
    }
}

/// Serves HTTP on listener `l` with handler `f`.
pub fn serve(
    l: TcpListener,
    config: FrontConfig,
    f: impl Fn(Call) -> Reply + Send + Sync + 'static,
) -> Arc<Open> {
    let open: Arc<Open> = Arc::default();
    // Accepted connections inherit it, so that a caller that does not read is dropped.
    let _ = setsockopt(&l, SendTimeout, &TimeVal::milliseconds(config.patience.take.as_ms() as i64));
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    let connection_monitor = ConnectionMonitor::start(l.local_addr().unwrap_or(unknown), config.patience);
    let _ = open.connection_monitor.set(connection_monitor.clone());
    let Ok(server) = Server::from_listener(l, None) else { return open };
    let (handler, in_flight): (Arc<Handler>, _) = (Arc::new(f), open.clone());
    thread::spawn(move || {
        while let Ok(req) = server.recv() {
            let peer = req.remote_addr().copied();
            if peer.is_some_and(|p| connection_monitor.violated_protocol(p)) {
                // The error was sent already; what follows on this connection is not a request.
                drop(req.into_writer());
                continue;
            }
            // Heads are parsed in the order received, so that whatever follows one that violated
            // the framing is recognised as such.
            let head = parse_head(&req, config.body);
            let violation = head.as_ref().is_err_and(|rejection| rejection.close_connection);
            peer.filter(|_| violation)
                .into_iter()
                .for_each(|p| connection_monitor.set(p, ConnectionPhase::ProtocolViolation));
            let health = is_health_check(&req);
            let (open, limit) = (in_flight.clone(), if health { MAX_HEALTH_CHECKS } else { config.callers });
            let add = move |open: &Open, change: isize| {
                let count = if health { &open.health } else { &open.callers };
                count.fetch_add(change as usize, SeqCst)
            };
            if add(&open, 1) >= limit {
                add(&open, -1);
                let reply = Reply::problem(503, "denied", "this node has too many requests").after(2);
                respond_and_close(req, reply, &connection_monitor);
                continue;
            }
            let (handler, config, monitor) = (handler.clone(), config.clone(), connection_monitor.clone());
            let not_started = open.clone();
            let job = move || {
                serve_one(req, head, &config, &monitor, &*handler);
                add(&open, -1);
            };
            // No thread can be started: the request is dropped, and the library answers with 500.
            if thread::Builder::new().spawn(job).is_err() {
                add(&not_started, -1);
            }
        }
    });
    open
}

/// Answers the requests that are the same for all roles: liveness, and readiness with counters.
/// None for any other request.
pub fn common(h: &Handle, c: &Call) -> Option<Reply> {
    let (path, wait) = (c.path.as_str(), Duration::from_secs(1));
    match (c.method.as_str(), path) {
        ("GET" | "HEAD", "lanewing/live") => {
            Some(Reply::json(200, obj(vec![("live", JsonValue::from(true))])))
        }
        ("GET" | "HEAD", "lanewing/ready") => Some(match h.ask(Ask::Ready, wait) {
            Some(NodeReply::Health(x)) => health(x),
            _ => Reply::problem(503, "stuck", "the node's actor did not answer within 1 s"),
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
