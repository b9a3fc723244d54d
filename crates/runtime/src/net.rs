//! Links between lanewing processes: framed messages with checksums, over separate TCP
//! connections for each direction. One I/O thread serves all links of the process; see
//! `io_thread`.
mod class;
mod counts;
mod decoder;
mod event_loop;
pub(crate) mod expiry;
mod inbound;
mod io_thread;
mod link;
mod metrics;
mod send_queue;

pub use crate::frame::{frame, read_frame, FrameError};
pub use class::{Handshake, LinkClass};
pub use counts::Counts;
pub use metrics::{LinkMetrics, PartLinkMetrics};

use crate::frame::MAX_CONTENT_LEN;
use control_state::Msg;
use counts::count;
use io_thread::IoThread;
use link::Link;
use primitives::Addr;
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The simulated one-way delay to an address.
type Delay = dyn Fn(&Addr) -> Duration + Send + Sync;

/// The sending side of one part. Any message may be lost.
///
/// Invariant: there is one link per destination and class, so that messages of one class to
/// one destination stay in order.
pub struct Net {
    io: Arc<IoThread>,
    me: Addr,
    links: HashMap<(Addr, LinkClass), Arc<Link>>,
    /// Links with messages queued since the last flush.
    unflushed: Vec<Arc<Link>>,
    delay: Arc<Delay>,
    /// Counters of this part's links.
    pub counts: Arc<Counts>,
}

impl Net {
    /// `me` is the address where this part listens, sent in the handshake; `delay` gives the
    /// simulated one-way delay to an address.
    pub fn new(me: Addr, delay: Arc<Delay>, counts: Arc<Counts>) -> Net {
        Net { io: IoThread::shared(), me, links: HashMap::new(), unflushed: vec![], delay, counts }
    }

    /// Queues a message and writes as much as the connection accepts now.
    pub fn send(&mut self, to: Addr, message: &Msg) {
        self.queue(to, message);
        self.flush();
    }

    /// Queues a message until the next flush. Messages over the frame size limit are dropped and
    /// counted.
    pub fn queue(&mut self, to: Addr, message: &Msg) {
        let Ok(content) = postcard::to_stdvec(message) else { return };
        if content.len() > MAX_CONTENT_LEN {
            return count(&self.counts.dropped, 1);
        }
        let now = Instant::now();
        let due = now + (self.delay)(&to);
        let class = LinkClass::of(message, content.len());
        let link = self.links.entry((to, class)).or_insert_with(|| {
            let handshake = frame(&encode_handshake(&Handshake { from: self.me, class }));
            Arc::new(Link::new(self.io.next_token(), to, handshake, self.counts.clone()))
        });
        let frame = frame(&content);
        self.counts.metrics.record_queued(message.kind(), frame.len());
        if link.queue(frame, due, due + expiry::lifetime(message)) {
            self.unflushed.push(link.clone());
        }
        count(&self.counts.sent, 1);
    }

    /// Bytes waiting to be written on all links, including overhead per frame.
    pub fn queued_bytes(&self) -> usize {
        self.links.values().map(|link| link.queued_bytes()).sum()
    }

    /// Whether any link has messages queued since the last flush.
    pub fn has_queued(&self) -> bool {
        !self.unflushed.is_empty()
    }

    /// Writes the queued messages, with one write per link however many there are.
    pub fn flush(&mut self) {
        let now = Instant::now();
        for link in self.unflushed.drain(..) {
            if link.flush(now) {
                self.io.drive_link(link);
            }
        }
    }
}

fn encode_handshake(handshake: &Handshake) -> Vec<u8> {
    postcard::to_stdvec(handshake).expect("a handshake always encodes")
}

/// Accepts connections and passes every message with its sender to `on_message`, on the I/O
/// thread. A connection is closed at its first invalid frame, or when `on_message` returns
/// false.
pub fn listen(
    listener: TcpListener,
    counts: Arc<Counts>,
    on_message: impl Fn(Addr, Msg) -> bool + Clone + Send + 'static,
) {
    IoThread::shared().listen(listener, counts, Box::new(on_message));
}
