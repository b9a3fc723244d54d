//! Links between lanewing's processes: one TCP connection for each direction, framed
//! and checked. One I/O thread of the process serves them all; see `io_thread`.
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

type Far = dyn Fn(&Addr) -> Duration + Send + Sync;

/// The sending side of one part. Invariant: one link per destination and class, so that
/// messages of a class to it stay in order; any message may be lost.
pub struct Net {
    io: Arc<IoThread>,
    me: Addr,
    links: HashMap<(Addr, LinkClass), Arc<Link>>,
    /// Links with messages queued since the last flush.
    touched: Vec<Arc<Link>>,
    far: Arc<Far>,
    pub counts: Arc<Counts>,
}

impl Net {
    /// `far` tells the simulated one-way distance to an address.
    pub fn new(me: Addr, far: Arc<Far>, counts: Arc<Counts>) -> Net {
        Net { io: IoThread::shared(), me, links: HashMap::new(), touched: vec![], far, counts }
    }

    /// Queues a message and writes it, as far as the peer takes it.
    pub fn send(&mut self, to: Addr, m: &Msg) {
        self.queue(to, m);
        self.flush();
    }

    /// Queues a message until the next flush.
    pub fn queue(&mut self, to: Addr, m: &Msg) {
        let Ok(content) = postcard::to_stdvec(m) else { return };
        if content.len() > MAX_CONTENT_LEN {
            return count(&self.counts.dropped, 1);
        }
        let now = Instant::now();
        let due = now + (self.far)(&to);
        let class = LinkClass::of(m, content.len());
        let link = self.links.entry((to, class)).or_insert_with(|| {
            let handshake = frame(&encode(&Handshake { from: self.me, class }));
            Arc::new(Link::new(self.io.next_token(), to, handshake, self.counts.clone()))
        });
        let frame = frame(&content);
        self.counts.metrics.note_queued(m.kind(), frame.len());
        if link.queue(frame, due, due + expiry::lifetime(m)) {
            self.touched.push(link.clone());
        }
        count(&self.counts.sent, 1);
    }

    /// Bytes that wait to be written, over all links.
    pub fn queued_bytes(&self) -> usize {
        self.links.values().map(|link| link.queued_bytes()).sum()
    }

    /// Something waits for a flush.
    pub fn has_queued(&self) -> bool {
        !self.touched.is_empty()
    }

    /// Writes what is queued: once for each link, however many its messages are.
    pub fn flush(&mut self) {
        let now = Instant::now();
        for link in self.touched.drain(..) {
            if link.flush(now) {
                self.io.drive_link(link);
            }
        }
    }
}

fn encode(handshake: &Handshake) -> Vec<u8> {
    postcard::to_stdvec(handshake).expect("a greeting always encodes")
}

/// The receiving side: hands every message with its sender to `take`, on the I/O thread;
/// stops a connection at the first frame that is not right.
pub fn listen(
    listener: TcpListener,
    counts: Arc<Counts>,
    take: impl Fn(Addr, Msg) -> bool + Clone + Send + 'static,
) {
    IoThread::shared().listen(listener, counts, Box::new(take));
}
