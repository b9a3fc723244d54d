//! A link to one peer, for one class of messages: a queue and the connection that drains it. Senders
//! write directly while the connection accepts data; the I/O thread connects, waits and retries.
use super::send_queue::{SendQueue, WriteOutcome};
use super::{count, Counts};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::TcpUserTimeout;
use primitives::Addr;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A machine without power never answers an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Backoff between attempts to connect: doubles from the first delay to the longest.
const MIN_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_secs(1);
/// A connection that accepts no queued data for this long is replaced. The kernel closes one whose sent
/// data stays unacknowledged for this long, even if its own buffer has room.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// After a connection that lasted at least this long, the link reconnects without a delay.
const STABLE: Duration = Duration::from_secs(1);
/// Interval at which expired frames are removed from a queue.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// `blocked`: the last write would have blocked; `progress`: when the kernel last accepted data.
enum Connection {
    Closed { retry_at: Option<Instant> },
    Connecting { stream: TcpStream, since: Instant },
    Open { stream: TcpStream, since: Instant, progress: Instant, blocked: bool },
}

struct LinkState {
    queue: SendQueue,
    connection: Connection,
    /// Current backoff before the next attempt to connect.
    backoff: Duration,
    /// The I/O thread has set a deadline for this link, or was asked to.
    io_thread_notified: bool,
    /// Has queued frames, and the caller that queued the first one will flush.
    flush_pending: bool,
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
            backoff: Duration::ZERO,
            io_thread_notified: false,
            flush_pending: false,
            expired_at: Instant::now(),
        });
        Link { token, to, handshake, counts, state }
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Queues a frame; true if the caller must flush, because no earlier caller is about to.
    pub(super) fn queue(&self, frame: Vec<u8>, due: Instant, expires: Instant) -> bool {
        let mut state = self.lock();
        let overflowed = state.queue.push(frame, due, expires);
        count(&self.counts.overflowed, overflowed);
        count(&self.counts.dropped, overflowed);
        !std::mem::replace(&mut state.flush_pending, true)
    }

    pub(super) fn queued_bytes(&self) -> usize {
        self.lock().queue.bytes()
    }

    /// Writes the frames that are due; true if the I/O thread must be asked to write the rest.
    pub(super) fn flush(&self, now: Instant) -> bool {
        let mut state = self.lock();
        state.flush_pending = false;
        self.expire(&mut state, now);
        self.write(&mut state, now);
        let ask_io_thread = !state.queue.is_empty() && !state.io_thread_notified;
        state.io_thread_notified |= ask_io_thread;
        ask_io_thread
    }

    /// On the I/O thread: the connection came up, ended or became writable. Returns the next deadline.
    pub(super) fn on_event(&self, now: Instant, registry: &Registry) -> Option<Instant> {
        let mut state = self.lock();
        match &mut state.connection {
            Connection::Open { stream, blocked, .. } => {
                *blocked = false;
                if let Some(reason) = closed_reason(stream) {
                    self.connection_lost(&mut state, now, reason);
                }
            }
            Connection::Connecting { .. } => self.finish_connect(&mut state, now),
            Connection::Closed { .. } => (),
        }
        self.advance(&mut state, now, registry)
    }

    /// On the I/O thread: a deadline passed, or frames were queued. Returns the next deadline.
    pub(super) fn drive_link(&self, now: Instant, registry: &Registry) -> Option<Instant> {
        let mut state = self.lock();
        // The kernel reports a socket as writable only once much of its buffer is free.
        if let Connection::Open { blocked, .. } = &mut state.connection {
            *blocked = false;
        }
        self.advance(&mut state, now, registry)
    }

    fn advance(&self, state: &mut LinkState, now: Instant, registry: &Registry) -> Option<Instant> {
        self.expire(state, now);
        self.write(state, now);
        self.check_timeouts(state, now);
        self.connect(state, now, registry);
        let deadline = state.deadline();
        state.io_thread_notified = deadline.is_some();
        deadline
    }

    fn write(&self, state: &mut LinkState, now: Instant) {
        let Connection::Open { stream, progress, blocked, .. } = &mut state.connection else { return };
        if *blocked {
            return;
        }
        let mut writes = 0;
        let written = state.queue.write_to(stream, now, &mut writes, &self.counts.metrics);
        count(&self.counts.writes, writes);
        match written {
            Ok(outcome) => {
                *blocked = outcome == WriteOutcome::Blocked;
                // A single call is the one that would have blocked.
                if !*blocked || writes > 1 {
                    *progress = now;
                }
            }
            Err(error) => self.connection_lost(state, now, error.kind()),
        }
    }

    fn expire(&self, state: &mut LinkState, now: Instant) {
        if state.queue.is_empty() || now - state.expired_at < EXPIRY_INTERVAL {
            return;
        }
        state.expired_at = now;
        let expired = state.queue.expire(now);
        count(&self.counts.expired, expired);
        count(&self.counts.dropped, expired);
    }

    fn check_timeouts(&self, state: &mut LinkState, now: Instant) {
        match &state.connection {
            Connection::Connecting { since, .. } if now - *since >= CONNECT_TIMEOUT => {
                count(&self.counts.connect_failures, 1);
                self.disconnect(state, now);
            }
            Connection::Open { progress, blocked: true, .. } if now - *progress >= STALL_TIMEOUT => {
                count(&self.counts.stalled, 1);
                self.disconnect(state, now);
            }
            _ => (),
        }
    }

    fn connect(&self, state: &mut LinkState, now: Instant, registry: &Registry) {
        let Connection::Closed { retry_at } = &state.connection else { return };
        if state.queue.is_empty() || retry_at.is_some_and(|at| now < at) {
            return;
        }
        match self.start_connect(registry) {
            Ok(stream) => state.connection = Connection::Connecting { stream, since: now },
            Err(_) => {
                count(&self.counts.connect_failures, 1);
                self.disconnect(state, now);
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

    fn finish_connect(&self, state: &mut LinkState, now: Instant) {
        let Connection::Connecting { stream, .. } = &state.connection else { return };
        match stream.take_error().and_then(|error| error.map_or_else(|| stream.peer_addr(), Err)) {
            Ok(_) => {
                state.queue.restart(&self.handshake);
                let old = std::mem::replace(&mut state.connection, Connection::Closed { retry_at: None });
                if let Connection::Connecting { stream, .. } = old {
                    state.connection = Connection::Open { stream, since: now, progress: now, blocked: false };
                }
                count(&self.counts.connected, 1);
            }
            Err(error) if error.kind() == ErrorKind::NotConnected => (),
            Err(_) => {
                count(&self.counts.connect_failures, 1);
                self.disconnect(state, now);
            }
        }
    }

    /// Handles a connection that was closed by the peer or by the kernel.
    fn connection_lost(&self, state: &mut LinkState, now: Instant, reason: ErrorKind) {
        count(&self.counts.stalled, (reason == ErrorKind::TimedOut) as usize);
        self.disconnect(state, now);
    }

    /// Closes the connection. A partly written frame is sent again from its start on the next one.
    fn disconnect(&self, state: &mut LinkState, now: Instant) {
        let stable = matches!(state.connection, Connection::Open { since, .. } if now - since >= STABLE);
        state.backoff = if stable { Duration::ZERO } else { (state.backoff * 2).clamp(MIN_DELAY, MAX_DELAY) };
        state.connection = Connection::Closed { retry_at: Some(now + state.backoff) };
        state.queue.restart(&[]);
    }
}

impl LinkState {
    /// When the I/O thread must act on this link even without an event; `None` if nothing waits.
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

/// Why the connection ended, if it did. A readable byte counts as an end, for the peer never sends.
fn closed_reason(stream: &TcpStream) -> Option<ErrorKind> {
    match stream.peek(&mut [0]) {
        Ok(_) => Some(ErrorKind::UnexpectedEof),
        Err(error) => Some(error.kind()).filter(|kind| *kind != ErrorKind::WouldBlock),
    }
}
