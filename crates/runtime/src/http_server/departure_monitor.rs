//! Notices callers that close their connections while their requests are in flight.
//!
//! A caller that has closed its connection and one that only has nothing more to send look alike:
//! both sent the end of their data. They are told apart by an interim response, which every HTTP/1.1
//! client accepts and ignores: a closed connection answers it with a reset.
use super::departure::Departure;
use super::ClientConnection;
use nix::errno::Errno;
use nix::libc;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use nix::sys::socket::{recv, send, MsgFlags};
use primitives::{Mono, Span};
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::os::fd::{AsFd, AsRawFd};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Interval at which the connections are examined while there are requests in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A request in flight for less than this is not examined: most are answered by then.
const MIN_AGE: Span = Span::ms(80);
/// Interval between two interim responses to a caller that has nothing more to send.
const PROBE_INTERVAL: Span = Span::secs(1);
/// Longest wait for a request, after which the server may be found to be gone.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(1);
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request in flight.
struct InFlight {
    connection: Arc<ClientConnection>,
    departure: Arc<Departure>,
    since: Mono,
    /// Whether its caller understands interim responses.
    accepts_interim: bool,
    last_probe: Option<Mono>,
}

/// What the socket tells of the caller.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Peer {
    Present,
    /// It sends nothing more; it may have closed the connection.
    Finished,
    Gone,
}

#[derive(Default)]
struct Shared {
    /// Invariant: while an entry is here no other thread writes to its connection.
    in_flight: Mutex<BTreeMap<u64, InFlight>>,
    begun: Condvar,
}

/// Examines the connections of all requests in flight, on one thread.
pub(super) struct DepartureMonitor(Arc<Shared>);

/// The entry of a request; removed when dropped.
pub(super) struct WatchGuard<'a>(&'a Shared, u64);

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().remove(&self.1);
    }
}

impl DepartureMonitor {
    pub(super) fn start() -> DepartureMonitor {
        let shared: Arc<Shared> = Arc::default();
        let weak = Arc::downgrade(&shared);
        thread::spawn(move || {
            while let Some(shared) = weak.upgrade() {
                shared.wait_for_request();
                shared.examine_all(crate::now());
                drop(shared);
                thread::sleep(CHECK_INTERVAL);
            }
        });
        DepartureMonitor(shared)
    }

    /// Examines the connection until the guard is dropped, which must be before the response is
    /// written.
    pub(super) fn watch(
        &self,
        connection: &Arc<ClientConnection>,
        departure: &Arc<Departure>,
        accepts_interim: bool,
    ) -> WatchGuard<'_> {
        let entry = InFlight {
            connection: connection.clone(),
            departure: departure.clone(),
            since: crate::now(),
            accepts_interim,
            last_probe: None,
        };
        let mut in_flight = self.0.lock();
        let number = in_flight.last_key_value().map_or(0, |(last, _)| last + 1);
        in_flight.insert(number, entry);
        self.0.begun.notify_one();
        WatchGuard(&self.0, number)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, InFlight>> {
        self.in_flight.lock().expect("no thread panics with it")
    }

    /// Waits until a request is in flight, at most for a while.
    fn wait_for_request(&self) {
        let is_idle = |in_flight: &mut BTreeMap<u64, InFlight>| in_flight.is_empty();
        drop(self.begun.wait_timeout_while(self.lock(), MAX_IDLE_WAIT, is_idle));
    }

    /// Examines all connections whose requests have taken a while, and notes those that are gone.
    fn examine_all(&self, now: Mono) {
        let mut in_flight = self.lock();
        let due = in_flight.values_mut().filter(|entry| now - entry.since >= MIN_AGE);
        let mut entries: Vec<&mut InFlight> = due.collect();
        let peers = peers(&entries);
        let mut gone = vec![];
        for (entry, peer) in entries.iter_mut().zip(peers) {
            match peer {
                Peer::Present => (),
                Peer::Finished => entry.probe(now),
                Peer::Gone => gone.push(entry.departure.clone()),
            }
        }
        drop(in_flight);
        // Without the lock, because this may do anything.
        gone.iter().for_each(|departure| departure.note());
    }
}

impl InFlight {
    /// Sends an interim response, which a closed connection answers with a reset.
    fn probe(&mut self, now: Mono) {
        let due = self.last_probe.is_none_or(|last| now - last >= PROBE_INTERVAL);
        if !self.accepts_interim || !due {
            return;
        }
        self.last_probe = Some(now);
        let flags = MsgFlags::MSG_DONTWAIT | MsgFlags::MSG_NOSIGNAL;
        let sent = send(self.connection.stream.as_raw_fd(), INTERIM_RESPONSE, flags);
        if sent.is_ok_and(|bytes| bytes < INTERIM_RESPONSE.len()) {
            // The response that follows would be unreadable.
            let _ = self.connection.stream.shutdown(Shutdown::Both);
        }
    }
}

/// What the sockets tell, in one system call and one more for each that has something to read.
fn peers(entries: &[&mut InFlight]) -> Vec<Peer> {
    // The library knows no flag for the end of a peer's data, and reports nothing beside an unknown
    // flag: it is asked for by an entry of its own.
    let end_of_data = PollFlags::from_bits_retain(libc::POLLRDHUP);
    let events = [PollFlags::POLLIN, end_of_data];
    let sockets = entries.iter().map(|entry| entry.connection.stream.as_fd());
    let mut polled: Vec<PollFd> =
        sockets.flat_map(|socket| events.map(|events| PollFd::new(socket, events))).collect();
    if polled.is_empty() || poll(&mut polled, PollTimeout::ZERO).is_err() {
        return vec![Peer::Present; entries.len()];
    }
    let tell = |(polled, entry): (&[PollFd], &&mut InFlight)| peer(polled, &entry.connection);
    polled.chunks(events.len()).zip(entries).map(tell).collect()
}

/// `polled` are the entries for data and for the end of data.
fn peer(polled: &[PollFd], connection: &ClientConnection) -> Peer {
    let events = polled[0].revents().unwrap_or(PollFlags::empty());
    if events.intersects(PollFlags::POLLERR | PollFlags::POLLHUP | PollFlags::POLLNVAL) {
        return Peer::Gone;
    }
    let end_of_data = polled[1].revents().is_none();
    if end_of_data || !events.contains(PollFlags::POLLIN) {
        return if end_of_data { Peer::Finished } else { Peer::Present };
    }
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    match recv(connection.stream.as_raw_fd(), &mut [0], flags) {
        Ok(0) => Peer::Finished,
        Ok(_) | Err(Errno::EAGAIN | Errno::EINTR) => Peer::Present,
        Err(_) => Peer::Gone,
    }
}
