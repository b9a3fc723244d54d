//! Held connections between lanewing's processes: one way each, framed, checked.
use crate::frame::decode;
pub use crate::frame::{frame, read_frame, FrameProblem};
use control_state::Msg;
use nix::errno::Errno;
use nix::sys::socket::{recv, MsgFlags};
use primitives::Addr;
use slog::{warn, Logger};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

const LINE: usize = 4096;

#[derive(Default, Debug)]
pub struct Counts {
    pub sent: AtomicU64,
    pub received: AtomicU64,
    pub dropped: AtomicU64,
    /// Connections ended for what came on them, and
    pub bad_frames: AtomicU64,
    /// those among them that spoke another version.
    pub other_versions: AtomicU64,
    /// Where the first frame of another version is named.
    pub log: OnceLock<Logger>,
}

impl Counts {
    fn refused(&self, p: &FrameProblem) {
        self.bad_frames.fetch_add(1, Ordering::Relaxed);
        if !matches!(p, FrameProblem::OtherVersion { .. }) {
            return;
        }
        let first = self.other_versions.fetch_add(1, Ordering::Relaxed) == 0;
        if let Some(log) = self.log.get().filter(|_| first) {
            warn!(log, "link refused"; "problem" => %p);
        }
    }
}

type Far = dyn Fn(&Addr) -> Duration + Send + Sync;

/// The sending side. Invariant: one writer per destination, which owns its
/// socket; a full line drops the message, for every message may be lost anyway.
pub struct Net {
    me: Addr,
    lines: HashMap<Addr, SyncSender<(Instant, Vec<u8>)>>,
    far: Arc<Far>,
    pub counts: Arc<Counts>,
}

impl Net {
    /// `far` tells the simulated one-way distance to an address.
    pub fn new(me: Addr, far: Arc<Far>, counts: Arc<Counts>) -> Net {
        Net { me, lines: HashMap::new(), far, counts }
    }

    pub fn send(&mut self, to: Addr, m: &Msg) {
        let Ok(b) = postcard::to_stdvec(m) else { return };
        let (me, counts) = (self.me, self.counts.clone());
        let line = self.lines.entry(to).or_insert_with(|| {
            let (tx, rx) = sync_channel(LINE);
            thread::spawn(move || write_all(me, to, rx, counts));
            tx
        });
        let due = Instant::now() + (self.far)(&to);
        match line.try_send((due, frame(&b))) {
            Ok(()) => self.counts.sent.fetch_add(1, Ordering::Relaxed),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.counts.dropped.fetch_add(1, Ordering::Relaxed)
            }
        };
    }
}

fn write_all(me: Addr, to: Addr, rx: Receiver<(Instant, Vec<u8>)>, counts: Arc<Counts>) {
    let mut link: Option<TcpStream> = None;
    let mut shunned: Option<Instant> = None;
    while let Ok((due, f)) = rx.recv() {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        // What goes to a process that has ended would be lost without a sign.
        link = link.filter(alive);
        if link.is_none() && shunned.is_none_or(|t| t.elapsed() > Duration::from_millis(100)) {
            link = dial(me, to).ok();
            shunned = link.is_none().then(Instant::now);
        }
        let sent = link.as_mut().is_some_and(|l| l.write_all(&f).is_ok());
        if !sent {
            link = None;
            counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Nothing ever comes back on these links but their end.
fn alive(s: &TcpStream) -> bool {
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    matches!(recv(s.as_raw_fd(), &mut [0u8; 1], flags), Err(Errno::EAGAIN))
}

fn dial(me: Addr, to: Addr) -> Result<TcpStream, FrameProblem> {
    let mut s = TcpStream::connect_timeout(&to.0, Duration::from_millis(500))?;
    s.set_nodelay(true)?;
    s.set_write_timeout(Some(Duration::from_secs(2)))?;
    let hello = postcard::to_stdvec(&me).map_err(|_| FrameProblem::Garbled)?;
    s.write_all(&frame(&hello))?;
    Ok(s)
}

/// The receiving side: hands every message with its sender to `take`; stops a
/// connection at the first frame that is not right.
pub fn listen(
    l: TcpListener,
    counts: Arc<Counts>,
    take: impl Fn(Addr, Msg) -> bool + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for s in l.incoming().flatten() {
            let (counts, take) = (counts.clone(), take.clone());
            thread::spawn(move || match read_all(s, &counts, take) {
                Ok(()) | Err(FrameProblem::Link { .. }) => (),
                Err(p) => counts.refused(&p),
            });
        }
    });
}

fn read_all(s: TcpStream, counts: &Counts, take: impl Fn(Addr, Msg) -> bool) -> Result<(), FrameProblem> {
    s.set_nodelay(true)?;
    let mut r = io::BufReader::new(s);
    let from: Addr = decode(&read_frame(&mut r)?)?;
    loop {
        let m: Msg = decode(&read_frame(&mut r)?)?;
        counts.received.fetch_add(1, Ordering::Relaxed);
        if !take(from, m) {
            return Ok(());
        }
    }
}
