//! The frames waiting to be written to one peer: in order, bounded in bytes and in age.
use super::PartLinkMetrics;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Write};
use std::time::Instant;

/// Bytes that may wait for one peer; a single frame may be larger. Large enough for the
/// largest answer of several frames: that of a ledger to one that lost its disk.
pub(super) const MAX_QUEUED_BYTES: usize = 16 << 20;
/// Approximate memory in bytes that a queued frame takes beside its content.
const FRAME_OVERHEAD: usize = 64;
/// Most frames written in one system call.
const FRAMES_PER_WRITE: usize = 64;
/// Number of frames for which an empty queue keeps memory.
const IDLE_CAPACITY: usize = 8;

struct QueuedFrame {
    bytes: Vec<u8>,
    due: Instant,
    expires: Instant,
}

impl QueuedFrame {
    fn cost(&self) -> usize {
        self.bytes.len() + FRAME_OVERHEAD
    }
}

/// The result of writing a queue.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// All frames that were due are written.
    All,
    /// The kernel accepts no more data for now.
    Blocked,
}

/// Frames for one peer, and how far the first one is written.
#[derive(Default)]
pub(super) struct SendQueue {
    frames: VecDeque<QueuedFrame>,
    bytes: usize,
    /// The handshake, to be written before all frames; empty once it is written.
    handshake: Vec<u8>,
    /// Bytes already written of the handshake, or of the first frame once that is done.
    /// Invariant: a partly written frame is never dropped, since the peer expects its rest.
    written: usize,
}

impl SendQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    /// Bytes of all frames, including the overhead of each.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// When the first frame may be sent; `None` if the queue is empty.
    pub(super) fn due(&self) -> Option<Instant> {
        self.frames.front().map(|f| f.due)
    }

    /// The number of partly written frames, which must stay in the queue: 0 or 1.
    fn partly_written(&self) -> usize {
        (self.handshake.is_empty() && self.written > 0) as usize
    }

    /// Appends a frame and returns how many older ones were dropped to make room.
    pub(super) fn push(&mut self, bytes: Vec<u8>, due: Instant, expires: Instant) -> usize {
        let frame = QueuedFrame { bytes, due, expires };
        self.bytes += frame.cost();
        self.frames.push_back(frame);
        let partly_written = self.partly_written();
        let mut dropped = 0;
        while self.bytes > MAX_QUEUED_BYTES && self.frames.len() > partly_written + 1 {
            let oldest = self.frames.remove(partly_written);
            self.bytes -= oldest.map_or(0, |f| f.cost());
            dropped += 1;
        }
        dropped
    }

    /// Drops expired frames and returns how many.
    pub(super) fn expire(&mut self, now: Instant) -> usize {
        let mut partly_written = self.partly_written();
        let before = self.frames.len();
        self.frames.retain(|f| {
            let stays = partly_written > 0 || now < f.expires;
            partly_written = 0;
            stays
        });
        self.bytes = self.frames.iter().map(QueuedFrame::cost).sum();
        before - self.frames.len()
    }

    /// Starts over for a new connection: the handshake first, then every frame from its start.
    pub(super) fn restart(&mut self, handshake: &[u8]) {
        self.handshake = handshake.to_vec();
        self.written = 0;
    }

    /// Writes the frames that are due, many in one system call. Adds the number of calls to
    /// `writes`.
    pub(super) fn write_to(
        &mut self,
        out: &mut impl Write,
        now: Instant,
        writes: &mut usize,
        metrics: &PartLinkMetrics,
    ) -> io::Result<WriteOutcome> {
        loop {
            let due = self.frames.iter().take_while(|f| f.due <= now).map(|f| &f.bytes);
            let handshake = Some(&self.handshake).filter(|g| !g.is_empty());
            let mut buffers = handshake.into_iter().chain(due).take(FRAMES_PER_WRITE);
            let Some(first) = buffers.next() else { return Ok(WriteOutcome::All) };
            let mut slices = vec![IoSlice::new(&first[self.written..])];
            slices.extend(buffers.map(|f| IoSlice::new(f)));
            *writes += 1;
            match out.write_vectored(&slices) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.advance(n, now, metrics),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(WriteOutcome::Blocked),
                Err(e) if e.kind() == ErrorKind::Interrupted => (),
                Err(e) => return Err(e),
            }
        }
    }

    /// Accounts for `n` more bytes written, and removes frames that are complete.
    fn advance(&mut self, n: usize, now: Instant, metrics: &PartLinkMetrics) {
        self.written += n;
        if !self.handshake.is_empty() {
            if self.written < self.handshake.len() {
                return;
            }
            self.written -= self.handshake.len();
            self.handshake = Vec::new();
        }
        while self.frames.front().is_some_and(|f| self.written >= f.bytes.len()) {
            let Some(sent) = self.frames.pop_front() else { return };
            self.bytes -= sent.cost();
            self.written -= sent.bytes.len();
            metrics.record_written(now - sent.due);
        }
        if self.frames.is_empty() {
            self.frames.shrink_to(IDLE_CAPACITY);
        }
    }
}
