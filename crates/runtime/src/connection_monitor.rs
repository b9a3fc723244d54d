//! Enforces timeouts on callers' connections. The HTTP library does not expose its sockets,
//! so connections are found among the process's descriptors by their two addresses and shut
//! down from outside: those that are too slow to send a request, to send its body or to read
//! the response, and those that violated the framing.
use nix::sys::socket::{getpeername, getsockname, shutdown, Shutdown, SockaddrStorage};
use nix::unistd::{close, dup};
use primitives::{Mono, Span};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a connection is doing.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Idle between requests, or sending the head of one.
    Asking,
    /// Sending a request's body.
    Sending,
    /// Its request is being processed.
    Waiting,
    /// Reading the response.
    Taking,
    /// The framing was violated: nothing that follows on this connection can be interpreted.
    ProtocolViolation,
}

/// Timeouts of callers' connections.
#[derive(Copy, Clone, Debug)]
pub struct Patience {
    /// Between requests, including the head of the next one.
    pub ask: Span,
    /// For a request's body.
    pub send: Span,
    /// For reading the response.
    pub take: Span,
}

impl Default for Patience {
    fn default() -> Patience {
        Patience { ask: Span::secs(30), send: Span::secs(10), take: Span::secs(30) }
    }
}

/// The connections of one listener, by the caller's address.
pub struct ConnectionMonitor {
    /// The listener's address.
    listen_addr: SocketAddr,
    timeouts: Patience,
    client_connections: Mutex<HashMap<SocketAddr, (ConnectionPhase, Mono)>>,
}

/// A connection that has sent no request for a time between these two may be waiting in the
/// library's queue rather than idle.
const UNSERVED_TIME: (Span, Span) = (Span::ms(200), Span::secs(3));
/// Most connections opened in one sweep to make the library add threads.
const MAX_WAKES: usize = 32;
/// How long a protocol violation is remembered although its connection is not found any more.
const VIOLATION_MEMORY: Span = Span::secs(2);
/// Time between sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

impl ConnectionMonitor {
    /// Starts the thread that sweeps the connections of the listener at `listen_addr`. It ends
    /// when the monitor is dropped.
    pub fn start(listen_addr: SocketAddr, timeouts: Patience) -> Arc<ConnectionMonitor> {
        let monitor =
            Arc::new(ConnectionMonitor { listen_addr, timeouts, client_connections: Mutex::default() });
        let weak = Arc::downgrade(&monitor);
        thread::spawn(move || {
            while let Some(monitor) = weak.upgrade() {
                monitor.sweep(crate::now());
                drop(monitor);
                thread::sleep(SWEEP_INTERVAL);
            }
        });
        monitor
    }

    /// Records the phase of the connection from `who`, from now on. A protocol violation is not
    /// overwritten.
    pub fn set(&self, who: SocketAddr, phase: ConnectionPhase) {
        let mut connections = self.client_connections.lock().expect("no thread panics with it");
        let violated_protocol =
            connections.get(&who).is_some_and(|(current, _)| *current == ConnectionPhase::ProtocolViolation);
        if !violated_protocol {
            connections.insert(who, (phase, crate::now()));
        }
    }

    /// Whether the connection from `who` violated the framing.
    pub fn violated_protocol(&self, who: SocketAddr) -> bool {
        let connections = self.client_connections.lock().expect("no thread panics with it");
        connections.get(&who).is_some_and(|(phase, _)| *phase == ConnectionPhase::ProtocolViolation)
    }

    /// Shuts down one direction of a connection. A read that waits on it returns.
    fn shut(&self, who: SocketAddr, side: Shutdown) {
        self.for_each_socket(|peer, fd| {
            if peer == who {
                let _ = shutdown(fd, side);
            }
        });
    }

    /// Shuts down every connection without a request in progress.
    pub fn close_idle(&self) {
        self.for_each_socket(|who, fd| {
            let connections = self.client_connections.lock().expect("no thread panics with it");
            if connections.get(&who).is_none_or(|(phase, _)| *phase == ConnectionPhase::Asking) {
                let _ = shutdown(fd, Shutdown::Both);
            }
        });
    }

    /// Stops receiving from the connection of `who`.
    pub fn shutdown_read(&self, who: SocketAddr) {
        self.shut(who, Shutdown::Read);
    }

    /// Stops sending on the connection of `who`.
    pub fn shutdown_write(&self, who: SocketAddr) {
        self.shut(who, Shutdown::Write);
    }

    /// Shuts down the connections whose timeout has passed, and forgets those that are gone.
    fn sweep(&self, now: Mono) {
        let (mut present, mut unserved) = (vec![], 0);
        self.for_each_socket(|who, fd| {
            present.push(who);
            let (phase, since) = {
                let mut connections = self.client_connections.lock().expect("no thread panics with it");
                *connections.entry(who).or_insert((ConnectionPhase::Asking, now))
            };
            let elapsed = now - since;
            unserved += (phase == ConnectionPhase::Asking
                && elapsed > UNSERVED_TIME.0
                && elapsed < UNSERVED_TIME.1) as usize;
            let timeout = match phase {
                ConnectionPhase::Asking => self.timeouts.ask,
                ConnectionPhase::Sending => self.timeouts.send,
                ConnectionPhase::Taking => self.timeouts.take,
                ConnectionPhase::ProtocolViolation => Span::secs(1),
                ConnectionPhase::Waiting => return,
            };
            if elapsed > timeout {
                let _ = shutdown(fd, Shutdown::Both);
            }
        });
        // The search misses a connection accepted meanwhile, and one that violated the protocol
        // and has both directions shut down. Bytes of either may still be read.
        let remembered = |(phase, since): &(ConnectionPhase, Mono)| {
            *since >= now || (*phase == ConnectionPhase::ProtocolViolation && now - *since < VIOLATION_MEMORY)
        };
        let mut client_connections = self.client_connections.lock().expect("no thread panics with it");
        client_connections.retain(|peer, entry| present.contains(peer) || remembered(entry));
        drop(client_connections);
        self.wake_thread_pool(unserved);
    }

    /// The library's pool can leave a new connection unserved while all its threads wait on
    /// others. Opening a connection and closing it at once makes the pool add a thread, which
    /// then serves the waiting one.
    fn wake_thread_pool(&self, n: usize) {
        for _ in 0..n.min(MAX_WAKES) {
            let _ = TcpStream::connect_timeout(&self.listen_addr, SWEEP_INTERVAL);
        }
    }

    /// Calls `f` with the peer and descriptor of every connection to the listener's port. The
    /// descriptor is a duplicate, so that its number cannot be reused meanwhile.
    fn for_each_socket(&self, mut f: impl FnMut(SocketAddr, i32)) {
        let Ok(dir) = std::fs::read_dir("/proc/self/fd") else { return };
        let all: Vec<i32> = dir.flatten().filter_map(|e| e.file_name().to_str()?.parse().ok()).collect();
        for fd in all.into_iter().filter_map(|n| dup(n).ok()) {
            let local = getsockname::<SockaddrStorage>(fd).ok().and_then(|a| socket_addr(&a));
            let peer = getpeername::<SockaddrStorage>(fd).ok().and_then(|a| socket_addr(&a));
            if local.is_some_and(|l| l.port() == self.listen_addr.port()) {
                peer.into_iter().for_each(|p| f(p, fd));
            }
            let _ = close(fd);
        }
    }
}

fn socket_addr(a: &SockaddrStorage) -> Option<SocketAddr> {
    let v4 = a.as_sockaddr_in().map(|a| SocketAddr::from((a.ip(), a.port())));
    v4.or_else(|| a.as_sockaddr_in6().map(|a| SocketAddr::from((a.ip(), a.port()))))
}
