//! HTTP/1.1 server for callers, with one thread per connection. It is an alternative to
//! `front`, whose library can leave a new connection unserved for up to 450 ms while its
//! pool's threads wait on other connections, does not expose its sockets
//! (`connection_monitor` has to search all descriptors for them) and cannot send
//! `Connection: close`.
mod answer;
mod body;
mod conn;
mod departure;
mod departure_monitor;
mod exchange;
mod head;
mod input;
mod refused;

use crate::front::Reply;
use control_state::Headers;
pub use departure::Departure;
use departure_monitor::DepartureMonitor;
use exchange::Service;
pub use exchange::{Exchange, ExchangeObserver, ServerOptions};
use nix::sys::socket::sockopt::{TcpNoDelay, TcpUserTimeout};
use nix::sys::socket::{setsockopt, shutdown, Shutdown::Both};
use primitives::{Mono, Span};
use refused::Refused;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Limits for each caller and for the whole server. Read once per connection and once per
/// request.
#[derive(Copy, Clone, Debug)]
pub struct Limits {
    /// Maximum bytes of a request's head, and separately of a chunked body's extensions
    /// and trailers.
    pub heads: usize,
    /// Maximum bytes of a request's body.
    pub body: usize,
    /// Maximum time from the first byte of a head to its last.
    pub head_wait: Span,
    /// Maximum idle time before the first request and between requests.
    pub idle: Span,
    /// Maximum time without progress on a request's body or on a response. A caller that
    /// acknowledges nothing at all is dropped after `UNACKNOWLEDGED_TIMEOUT` already.
    pub send: Span,
    /// Maximum number of concurrent connections.
    pub connections: usize,
}

/// One request, read completely.
#[derive(Debug)]
pub struct HttpRequest {
    /// As received: methods are case-sensitive.
    pub method: String,
    /// Path and query, exactly as received. Invariant: starts with `/` and is printable
    /// ASCII without spaces.
    pub target: String,
    /// Value of `Host`; empty if an HTTP/1.0 caller sent none.
    pub host: String,
    /// All header fields in the order received; only the case of their names changes.
    pub heads: Headers,
    pub body: Vec<u8>,
    pub peer: SocketAddr,
    /// When the last byte of the request had been read.
    pub read: Mono,
    /// Tells whether its caller has left.
    pub departure: Arc<Departure>,
}

/// A connection with sent data unacknowledged for this long is closed: its caller may be
/// behind a network partition.
pub const UNACKNOWLEDGED_TIMEOUT: Span = Span::secs(5);
/// Stack of a connection's thread, in bytes. Untouched pages use no memory.
const STACK_BYTES: usize = 256 << 10;
/// Delay before accepting again after an accept error such as running out of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A caller's connection. Invariant: `idle` while no byte of the next request has been read.
struct ClientConnection {
    stream: TcpStream,
    peer: SocketAddr,
    idle: AtomicBool,
}

/// The server: its listener, its open connections and its counters.
pub struct HttpServer {
    limits: Arc<dyn Fn() -> Limits + Send + Sync>,
    client_connections: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    accepted: AtomicU64,
    in_flight: AtomicUsize,
    requests: AtomicU64,
    leaving: AtomicBool,
    shut: AtomicBool,
    /// None once `shut` was called.
    listening: Mutex<Option<(Arc<TcpListener>, JoinHandle<()>)>>,
}

/// A connection's entry in the server's table; removed when dropped.
struct ConnectionSlot(Arc<HttpServer>, u64);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.client_connections.lock().expect("no thread panics with it").remove(&self.1);
    }
}

/// Counts a request as in flight until dropped.
struct InFlightGuard<'a>(&'a HttpServer);

impl<'a> InFlightGuard<'a> {
    fn new(server: &'a HttpServer) -> InFlightGuard<'a> {
        server.in_flight.fetch_add(1, SeqCst);
        InFlightGuard(server)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, SeqCst);
    }
}

impl HttpServer {
    /// Starts draining: from now on every response closes its connection. New connections
    /// are still accepted and served.
    pub fn leave(&self) {
        self.leaving.store(true, SeqCst);
    }

    /// Stops listening, and closes each connection once it has no request in flight.
    pub fn shut(&self) {
        self.leave();
        self.shut.store(true, SeqCst);
        let listening = self.listening.lock().expect("no thread panics with it").take();
        if let Some((listener, thread)) = listening {
            // Wakes the accepting thread, which never waits on a caller.
            let _ = shutdown(listener.as_raw_fd(), Both);
            let _ = thread.join();
        }
        let connections = self.client_connections.lock().expect("no thread panics with it");
        connections.values().filter(|c| c.idle.load(SeqCst)).for_each(|c| c.shutdown_read());
    }

    /// Number of requests begun and not yet answered. After `shut` it is the number of open
    /// connections instead, so that a request that begins between two calls is not missed.
    pub fn in_hand(&self) -> usize {
        if self.shut.load(SeqCst) {
            return self.client_connections.lock().expect("no thread panics with it").len();
        }
        self.in_flight.load(SeqCst)
    }

    /// Total number of requests passed to the handler.
    pub fn requests(&self) -> u64 {
        self.requests.load(SeqCst)
    }

    /// Registers a connection and starts its thread. False if the connection limit is reached
    /// or no thread can be started.
    fn admit(self: &Arc<HttpServer>, connection: &Arc<ClientConnection>, service: &Arc<Service>) -> bool {
        let connection_limit = (self.limits)().connections;
        let id = self.accepted.fetch_add(1, SeqCst);
        {
            let mut connections = self.client_connections.lock().expect("no thread panics with it");
            if connections.len() >= connection_limit {
                return false;
            }
            connections.insert(id, connection.clone());
        }
        let (slot, connection, service) =
            (ConnectionSlot(self.clone(), id), connection.clone(), service.clone());
        let job = move || conn::run(&slot.0, &connection, &service);
        thread::Builder::new().stack_size(STACK_BYTES).spawn(job).is_ok()
    }

    fn accept(self: Arc<HttpServer>, listener: &TcpListener, service: Arc<Service>) {
        let mut refused = Refused::default();
        loop {
            match listener.accept() {
                Ok((stream, peer)) => {
                    let connection = Arc::new(ClientConnection { stream, peer, idle: AtomicBool::new(true) });
                    if !self.admit(&connection, &service) {
                        refused.reject(connection);
                    }
                }
                Err(_) if self.shut.load(SeqCst) => return,
                Err(e) if [ErrorKind::ConnectionAborted, ErrorKind::Interrupted].contains(&e.kind()) => (),
                Err(_) => {
                    refused.close_all();
                    thread::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }
}

impl ClientConnection {
    /// Shuts down the receiving side: data that has arrived can still be read, then reads
    /// return end of file at once.
    fn shutdown_read(&self) {
        let _ = self.stream.shutdown(Shutdown::Read);
    }
}

/// Serves callers on listener `l` with handler `f`, which runs on the connections' threads.
pub fn open(
    l: TcpListener,
    limits: Arc<dyn Fn() -> Limits + Send + Sync>,
    f: impl Fn(HttpRequest) -> Reply + Send + Sync + 'static,
) -> Arc<HttpServer> {
    open_with(l, limits, f, ServerOptions::default())
}

/// Like `open`, with options.
pub fn open_with(
    l: TcpListener,
    limits: Arc<dyn Fn() -> Limits + Send + Sync>,
    f: impl Fn(HttpRequest) -> Reply + Send + Sync + 'static,
    options: ServerOptions,
) -> Arc<HttpServer> {
    let departures = options.departures.then(DepartureMonitor::start);
    let service = Service { serve: Box::new(f), options, departures };
    // Accepted connections inherit these.
    let _ = setsockopt(&l, TcpNoDelay, &true);
    let _ = setsockopt(&l, TcpUserTimeout, &(UNACKNOWLEDGED_TIMEOUT.as_ms() as u32));
    let server = Arc::new(HttpServer {
        limits,
        client_connections: Mutex::default(),
        accepted: AtomicU64::new(0),
        in_flight: AtomicUsize::new(0),
        requests: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        shut: AtomicBool::new(false),
        listening: Mutex::new(None),
    });
    let (listener, acceptor, service) = (Arc::new(l), server.clone(), Arc::new(service));
    let accepting = listener.clone();
    let thread = thread::spawn(move || acceptor.accept(&accepting, service));
    *server.listening.lock().expect("no thread panics with it") = Some((listener, thread));
    server
}
