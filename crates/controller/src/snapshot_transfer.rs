//! Snapshots in pieces: bounded in size and pace, resumable, checked as a whole.
//!
//! The receiver pulls. It has one request under way, takes pieces in their order only,
//! asks again after a while, and goes on at another sender of the same snapshot where
//! one falls silent. What it got counts only once its digest fits.
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::collections::BTreeMap;

/// A sender hands out one piece in so long, to all receivers together: some 5 Mbit/s.
const PACE: Span = Span::ms(100);
/// A piece that has not come for so long is asked for again, elsewhere if possible.
pub const RETRY: Span = Span::secs(1);
/// After so many requests without an answer a transfer is given up.
const TRIES: u32 = 10;
/// A snapshot nobody asked for in so long need not be kept.
const IDLE: Span = Span::secs(4);
/// Snapshots kept at once.
const KEPT: usize = 2;
/// No state is larger; a larger size is not believed.
const LARGEST: u64 = 256 << 20;

/// A message and who gets it.
pub type Letter = (Addr, SnapshotMessage);

struct Encoded {
    id: SnapshotId,
    clock: u64,
    bytes: Vec<u8>,
    made: Mono,
    /// When a piece of it last went out.
    served: Option<Mono>,
}

impl Encoded {
    /// Without the clock, which is each member's own.
    fn of(state: &ControlState, now: Mono) -> Encoded {
        let plain = ControlState { clock: 0, ..state.clone() };
        let bytes = postcard::to_stdvec(&plain).expect("plain data always encodes");
        let (size, digest) = (bytes.len() as u64, primitives::hash(&bytes));
        let id = SnapshotId { era: state.era, size, digest };
        Encoded { id, clock: state.clock, bytes, made: now, served: None }
    }

    fn piece(&self, offset: u64) -> SnapshotMessage {
        let from = (offset as usize).min(self.bytes.len());
        let to = (from + SNAPSHOT_CHUNK_BYTES).min(self.bytes.len());
        let bytes = self.bytes[from..to].to_vec();
        SnapshotMessage::Piece { id: self.id, clock: self.clock, offset, bytes }
    }
}

/// Serves the state that the present era starts from, and an earlier one to its end.
#[derive(Default)]
pub struct SnapshotSender {
    /// The latest last. Invariant: no more than `KEPT`.
    encoded: Vec<Encoded>,
    /// The last request of each receiver that waits for its turn.
    waiting: BTreeMap<Addr, (SnapshotId, u64)>,
    next: Mono,
}

impl SnapshotSender {
    /// What a member behind is told first: all of it if that is small.
    pub fn offer(&mut self, now: Mono, state: &ControlState) -> SnapshotMessage {
        if self.encoded.last().is_none_or(|e| e.id.era != state.era) {
            // One under way is not taken from its receiver by a new era.
            self.encoded.retain(|e| e.served.is_some_and(|t| now - t < IDLE));
            self.encoded.push(Encoded::of(state, now));
            let surplus = self.encoded.len().saturating_sub(KEPT);
            self.encoded.drain(..surplus);
        }
        let e = self.encoded.last().expect("encoded above");
        if e.bytes.len() <= SNAPSHOT_CHUNK_BYTES {
            return e.piece(0);
        }
        SnapshotMessage::Offer { id: e.id, clock: e.clock }
    }

    /// A receiver's latest request takes the place of its earlier one.
    pub fn on_request(&mut self, from: Addr, id: SnapshotId, offset: u64) {
        self.waiting.insert(from, (id, offset));
    }

    /// Whether a receiver is in the midst of it.
    pub fn busy(&self, now: Mono) -> bool {
        let lately = |e: &Encoded| e.served.is_some_and(|t| now - t < RETRY.times(2));
        !self.waiting.is_empty() || self.encoded.iter().any(lately)
    }

    /// The next piece, once its time has come.
    pub fn tick(&mut self, now: Mono, state: &ControlState) -> Option<Letter> {
        self.encoded.retain(|e| now - e.served.unwrap_or(e.made) < IDLE);
        if now < self.next {
            return None;
        }
        let (to, (id, offset)) = self.waiting.pop_first()?;
        let Some(e) = self.encoded.iter_mut().find(|e| e.id == id) else {
            return Some((to, self.offer(now, state)));
        };
        self.next = now + PACE;
        e.served = Some(now);
        Some((to, e.piece(offset)))
    }
}

struct Incoming {
    id: SnapshotId,
    clock: u64,
    bytes: Vec<u8>,
    /// Who has it; the first one is asked.
    sources: Vec<Addr>,
    asked: Mono,
    unanswered: u32,
}

/// What comes of a message to the receiver.
#[derive(Debug, PartialEq)]
pub enum Progress {
    /// Nothing is to be done.
    Nothing,
    /// This is to be sent.
    Ask(Letter),
    /// All pieces came, and they are what was promised.
    Whole(Box<ControlState>),
    /// All pieces came, and they are not what was promised.
    DigestMismatch,
}

/// Puts the pieces of one snapshot together.
#[derive(Default)]
pub struct SnapshotReceiver {
    incoming: Option<Incoming>,
}

impl SnapshotReceiver {
    /// Whether a transfer is under way.
    pub fn active(&self) -> bool {
        self.incoming.is_some()
    }

    /// Whatever is under way is no longer needed.
    pub fn cancel(&mut self) {
        self.incoming = None;
    }

    /// `era` is the receiver's own.
    pub fn on_offer(&mut self, now: Mono, from: Addr, id: SnapshotId, clock: u64, era: Era) -> Progress {
        if id.era <= era || id.size > LARGEST {
            return Progress::Nothing;
        }
        if let Some(i) = self.incoming.as_mut() {
            if i.id == id {
                i.clock = i.clock.max(clock);
                if !i.sources.contains(&from) {
                    i.sources.push(from);
                }
                return Progress::Nothing;
            }
            // Its sender no longer has it, or nobody answers: the other one instead.
            let gone = i.sources.first() == Some(&from) || now - i.asked >= RETRY;
            if !gone {
                return Progress::Nothing;
            }
        }
        let sources = vec![from];
        let bytes = vec![];
        self.incoming = Some(Incoming { id, clock, bytes, sources, asked: now, unanswered: 0 });
        self.ask(now)
    }

    /// A piece in its turn is taken; any other is passed over.
    pub fn on_piece(&mut self, now: Mono, from: Addr, piece: Piece, era: Era) -> Progress {
        if self.incoming.as_ref().is_none_or(|i| i.id != piece.id) {
            let asked = self.on_offer(now, from, piece.id, piece.clock, era);
            if asked == Progress::Nothing || piece.offset != 0 {
                return asked;
            }
        }
        let Some(i) = self.incoming.as_mut() else { return Progress::Nothing };
        // A repeated one, or one that overtook another.
        if piece.offset != i.bytes.len() as u64 || piece.bytes.is_empty() {
            return Progress::Nothing;
        }
        i.clock = i.clock.max(piece.clock);
        i.unanswered = 0;
        i.bytes.extend(piece.bytes);
        if (i.bytes.len() as u64) < i.id.size {
            return self.ask(now);
        }
        let whole = self.incoming.take().and_then(Incoming::decode);
        whole.map_or(Progress::DigestMismatch, |p| Progress::Whole(Box::new(p)))
    }

    /// Asks again, elsewhere if it can, or gives up.
    pub fn tick(&mut self, now: Mono) -> Progress {
        let Some(i) = self.incoming.as_mut().filter(|i| now - i.asked >= RETRY) else {
            return Progress::Nothing;
        };
        i.unanswered += 1;
        if i.unanswered >= TRIES {
            self.incoming = None;
            return Progress::Nothing;
        }
        i.sources.rotate_left(1);
        self.ask(now)
    }

    fn ask(&mut self, now: Mono) -> Progress {
        let Some(i) = self.incoming.as_mut() else { return Progress::Nothing };
        i.asked = now;
        let request = SnapshotMessage::Request { id: i.id, offset: i.bytes.len() as u64 };
        Progress::Ask((i.sources[0], request))
    }
}

impl Incoming {
    fn decode(self) -> Option<ControlState> {
        let fits = self.bytes.len() as u64 == self.id.size && primitives::hash(&self.bytes) == self.id.digest;
        let state: ControlState = postcard::from_bytes(&self.bytes).ok().filter(|_| fits)?;
        (state.era == self.id.era).then_some(ControlState { clock: self.clock, ..state })
    }
}

/// One part of a snapshot as it came.
pub struct Piece {
    /// Of which snapshot.
    pub id: SnapshotId,
    /// The sender's logical clock.
    pub clock: u64,
    /// Where it begins, in bytes.
    pub offset: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Both sides, as a controller has them.
#[derive(Default)]
pub struct SnapshotTransfer {
    /// Serves others.
    pub sender: SnapshotSender,
    /// Catches up.
    pub receiver: SnapshotReceiver,
}
