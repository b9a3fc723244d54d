//! The way to one peer: its queue and the connection that empties it. Senders write
//! themselves while the connection takes it; the I/O thread connects, waits and retries.
use super::send_queue::{SendQueue, Written};
use super::{count, Counts};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::TcpUserTimeout;
use primitives::Addr;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A machine without power says nothing to an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pauses between attempts double from the first to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// A connection that takes nothing of what is queued for so long is made anew. The kernel
/// ends one on which nothing was acknowledged for so long, whatever it has taken itself.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection that lasted for so long is made anew without a pause.
const STABLE: Duration = Duration::from_secs(1);
/// How often a queue is looked through for what is too old.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

enum Connection {
    Closed { retry_at: Option<Instant> },
    Connecting { stream: TcpStream, since: Instant },
    Open { stream: TcpStream, since: Instant, progress: Instant, blocked: bool },
}

struct LinkState {
    queue: SendQueue,
    connection: Connection,
    /// The pause before the next attempt.
    pause: Duration,
    /// The I/O thread has a deadline for this link or will set one.
    watched: bool,
    /// Has queued frames that a flush is promised for.
    touched: bool,
    expired_at: Instant,
}

pub(super) struct Link {
    pub(super) token: Token,
    to: Addr,
    handshake: Vec<u8>,
    counts: Arc<Counts>,
    state: Mutex<LinkState>,
}

impl Link {
    pub(super) fn new(token: Token, to: Addr, handshake: Vec<u8>, counts: Arc<Counts>) -> Link {
        let state = Mutex::new(LinkState {
            queue: SendQueue::default(),
            connection: Connection::Closed { retry_at: None },
            pause: Duration::ZERO,
            watched: false,
            touched: false,
            expired_at: Instant::now(),
        });
        Link { token, to, handshake, counts, state }
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().expect("no thread panics with it")
    }

    /// Queues a frame; true if a flush is needed that nobody has been promised yet.
    pub(super) fn queue(&self, frame: Vec<u8>, due: Instant, expires: Instant) -> bool {
        let mut s = self.lock();
        let overflowed = s.queue.push(frame, due, expires);
        count(&self.counts.overflowed, overflowed);
        count(&self.counts.dropped, overflowed);
        !std::mem::replace(&mut s.touched, true)
    }

    pub(super) fn queued_bytes(&self) -> usize {
        self.lock().queue.bytes()
    }

    /// Writes what is due if the peer takes it; true if the I/O thread has to see to
    /// the rest.
    pub(super) fn flush(&self, now: Instant) -> bool {
        let mut s = self.lock();
        s.touched = false;
        self.expire(&mut s, now);
        self.write(&mut s, now);
        let request = !s.queue.is_empty() && !s.watched;
        s.watched |= request;
        request
    }

    /// On the I/O thread: the connection may have come up, ended or become writable.
    pub(super) fn on_event(&self, now: Instant, registry: &Registry) -> Option<Instant> {
        let mut s = self.lock();
        match &mut s.connection {
            Connection::Open { stream, blocked, .. } => {
                *blocked = false;
                if let Some(end) = end_of(stream) {
                    self.lose(&mut s, now, end);
                }
            }
            Connection::Connecting { .. } => self.finish_connect(&mut s, now),
            Connection::Closed { .. } => (),
        }
        self.advance(&mut s, now, registry)
    }

    /// On the I/O thread: does what is to be done by now; tells when to come again.
    pub(super) fn drive_link(&self, now: Instant, registry: &Registry) -> Option<Instant> {
        let mut s = self.lock();
        // The kernel tells of room only when there is a lot of it.
        if let Connection::Open { blocked, .. } = &mut s.connection {
            *blocked = false;
        }
        self.advance(&mut s, now, registry)
    }

    fn advance(&self, s: &mut LinkState, now: Instant, registry: &Registry) -> Option<Instant> {
        self.expire(s, now);
        self.write(s, now);
        self.give_up(s, now);
        self.connect(s, now, registry);
        let deadline = s.deadline();
        s.watched = deadline.is_some();
        deadline
    }

    fn write(&self, s: &mut LinkState, now: Instant) {
        let Connection::Open { stream, progress, blocked, .. } = &mut s.connection else { return };
        if *blocked {
            return;
        }
        let mut writes = 0;
        let written = s.queue.write_to(stream, now, &mut writes, &self.counts.metrics);
        count(&self.counts.writes, writes);
        match written {
            Ok(w) => {
                *blocked = w == Written::Blocked;
                // One call alone is the one that was refused.
                if !*blocked || writes > 1 {
                    *progress = now;
                }
            }
            Err(e) => self.lose(s, now, e.kind()),
        }
    }

    fn expire(&self, s: &mut LinkState, now: Instant) {
        if s.queue.is_empty() || now - s.expired_at < EXPIRY_INTERVAL {
            return;
        }
        s.expired_at = now;
        let expired = s.queue.expire(now);
        count(&self.counts.expired, expired);
        count(&self.counts.dropped, expired);
    }

    fn give_up(&self, s: &mut LinkState, now: Instant) {
        match &s.connection {
            Connection::Connecting { since, .. } if now - *since >= CONNECT_TIMEOUT => {
                count(&self.counts.connect_failures, 1);
                self.disconnect(s, now);
            }
            Connection::Open { progress, blocked: true, .. } if now - *progress >= STALL_TIMEOUT => {
                count(&self.counts.stalled, 1);
                self.disconnect(s, now);
            }
            _ => (),
        }
    }

    fn connect(&self, s: &mut LinkState, now: Instant, registry: &Registry) {
        let Connection::Closed { retry_at } = &s.connection else { return };
        if s.queue.is_empty() || retry_at.is_some_and(|t| now < t) {
            return;
        }
        match self.start_connect(registry) {
            Ok(stream) => s.connection = Connection::Connecting { stream, since: now },
            Err(_) => {
                count(&self.counts.connect_failures, 1);
                self.disconnect(s, now);
            }
        }
    }

    fn start_connect(&self, registry: &Registry) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.to.0)?;
        stream.set_nodelay(true)?;
        setsockopt(&stream, TcpUserTimeout, &(STALL_TIMEOUT.as_millis() as u32))?;
        registry.register(&mut stream, self.token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(stream)
    }

    fn finish_connect(&self, s: &mut LinkState, now: Instant) {
        let Connection::Connecting { stream, .. } = &s.connection else { return };
        match stream.take_error().and_then(|e| e.map_or_else(|| stream.peer_addr(), Err)) {
            Ok(_) => {
                s.queue.restart(&self.handshake);
                let old = std::mem::replace(&mut s.connection, Connection::Closed { retry_at: None });
                if let Connection::Connecting { stream, .. } = old {
                    s.connection = Connection::Open { stream, since: now, progress: now, blocked: false };
                }
                count(&self.counts.connected, 1);
            }
            Err(e) if e.kind() == ErrorKind::NotConnected => (),
            Err(_) => {
                count(&self.counts.connect_failures, 1);
                self.disconnect(s, now);
            }
        }
    }

    /// The connection has ended by itself.
    fn lose(&self, s: &mut LinkState, now: Instant, end: ErrorKind) {
        count(&self.counts.stalled, (end == ErrorKind::TimedOut) as usize);
        self.disconnect(s, now);
    }

    /// Closes the connection. What was written in part is written anew on the next one.
    fn disconnect(&self, s: &mut LinkState, now: Instant) {
        let stable = matches!(s.connection, Connection::Open { since, .. } if now - since >= STABLE);
        s.pause = if stable { Duration::ZERO } else { (s.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE) };
        s.connection = Connection::Closed { retry_at: Some(now + s.pause) };
        s.queue.restart(&[]);
    }
}

impl LinkState {
    /// When the I/O thread must look again though nothing has happened.
    fn deadline(&self) -> Option<Instant> {
        let due = self.queue.due()?;
        match &self.connection {
            Connection::Closed { retry_at } => *retry_at,
            Connection::Connecting { since, .. } => Some(*since + CONNECT_TIMEOUT),
            Connection::Open { progress, blocked: true, .. } => Some(*progress + STALL_TIMEOUT),
            Connection::Open { .. } => Some(due),
        }
    }
}

/// How the connection has ended, if it has: nothing else ever comes back on it.
fn end_of(stream: &TcpStream) -> Option<ErrorKind> {
    match stream.peek(&mut [0]) {
        Ok(_) => Some(ErrorKind::UnexpectedEof),
        Err(e) => Some(e.kind()).filter(|k| *k != ErrorKind::WouldBlock),
    }
}
