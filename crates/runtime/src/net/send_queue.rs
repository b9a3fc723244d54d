//! What waits to be written to one peer: in order, bounded in bytes, dropped by age.
use super::PartLinkMetrics;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Write};
use std::time::Instant;

/// Bytes that may wait for one peer; a single frame may be larger. It holds the largest
/// answer of several frames, a ledger's to one that lost its disk.
pub(super) const MAX_QUEUED_BYTES: usize = 16 << 20;
/// What a queued frame costs beside its content, roughly.
const FRAME_OVERHEAD: usize = 64;
/// Frames handed to the kernel in one call.
const FRAMES_PER_WRITE: usize = 64;
/// Room for frames that an idle queue keeps.
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

/// How far writing came.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Written {
    /// All that was due.
    All,
    /// The kernel takes no more for now.
    Blocked,
}

#[derive(Default)]
pub(super) struct SendQueue {
    frames: VecDeque<QueuedFrame>,
    bytes: usize,
    /// A greeting to be written ahead of all frames.
    handshake: Vec<u8>,
    /// Bytes written of the greeting, or else of the first frame. Invariant: a frame of
    /// which a part was written is never dropped, for the peer waits for its rest.
    written: usize,
}

impl SendQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    /// What waits here, with what it costs beside its content.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// When the first frame may leave.
    pub(super) fn due(&self) -> Option<Instant> {
        self.frames.front().map(|f| f.due)
    }

    /// Frames that must stay: the first one if a part of it was written.
    fn begun(&self) -> usize {
        (self.handshake.is_empty() && self.written > 0) as usize
    }

    /// Appends a frame; tells how many old ones had to go for it.
    pub(super) fn push(&mut self, bytes: Vec<u8>, due: Instant, expires: Instant) -> usize {
        let frame = QueuedFrame { bytes, due, expires };
        self.bytes += frame.cost();
        self.frames.push_back(frame);
        let begun = self.begun();
        let mut dropped = 0;
        while self.bytes > MAX_QUEUED_BYTES && self.frames.len() > begun + 1 {
            let old = self.frames.remove(begun);
            self.bytes -= old.map_or(0, |f| f.cost());
            dropped += 1;
        }
        dropped
    }

    /// Drops what is too old; tells how many frames that were.
    pub(super) fn expire(&mut self, now: Instant) -> usize {
        let mut begun = self.begun();
        let before = self.frames.len();
        self.frames.retain(|f| {
            let stays = begun > 0 || now < f.expires;
            begun = 0;
            stays
        });
        self.bytes = self.frames.iter().map(QueuedFrame::cost).sum();
        before - self.frames.len()
    }

    /// For a new connection: the greeting first, then every frame from its first byte.
    pub(super) fn restart(&mut self, handshake: &[u8]) {
        self.handshake = handshake.to_vec();
        self.written = 0;
    }

    /// Writes what is due, many frames in one call. Adds up calls in `writes`.
    pub(super) fn write_to(
        &mut self,
        out: &mut impl Write,
        now: Instant,
        writes: &mut usize,
        metrics: &PartLinkMetrics,
    ) -> io::Result<Written> {
        loop {
            let due = self.frames.iter().take_while(|f| f.due <= now).map(|f| &f.bytes);
            let handshake = Some(&self.handshake).filter(|g| !g.is_empty());
            let mut all = handshake.into_iter().chain(due).take(FRAMES_PER_WRITE);
            let Some(first) = all.next() else { return Ok(Written::All) };
            let mut slices = vec![IoSlice::new(&first[self.written..])];
            slices.extend(all.map(|f| IoSlice::new(f)));
            *writes += 1;
            match out.write_vectored(&slices) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.advance(n, now, metrics),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(Written::Blocked),
                Err(e) if e.kind() == ErrorKind::Interrupted => (),
                Err(e) => return Err(e),
            }
        }
    }

    /// So many more bytes were written.
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
            let Some(done) = self.frames.pop_front() else { return };
            self.bytes -= done.cost();
            self.written -= done.bytes.len();
            metrics.note_written(now - done.due);
        }
        if self.frames.is_empty() {
            self.frames.shrink_to(IDLE_CAPACITY);
        }
    }
}
