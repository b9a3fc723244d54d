//! Snapshot transfer in pieces: bounded in size and rate, resumable, verified as a whole.
//!
//! The receiver pulls. It has one outstanding request, accepts pieces only in order, repeats a
//! request after a timeout, and continues with another sender of the same snapshot if one stops
//! answering. The bytes received are used only after their digest has been verified.
use control_state::*;
use primitives::{Addr, Mono, Span};
use std::collections::BTreeMap;

/// A sender sends one piece per interval to all receivers together: about 5 Mbit/s.
const PIECE_INTERVAL: Span = Span::ms(100);
/// A piece that has not arrived after this time is requested again, if possible from another source.
pub const RETRY_AFTER: Span = Span::secs(1);
/// A transfer is abandoned after this many unanswered requests.
const MAX_UNANSWERED: u32 = 10;
/// An encoded snapshot that nobody has requested for this long is dropped.
const IDLE_TIMEOUT: Span = Span::secs(4);
/// Maximum number of encoded snapshots held at once.
const MAX_ENCODED: usize = 2;
/// Upper bound on the size of a snapshot; an offer of a larger one is ignored.
const MAX_SNAPSHOT_BYTES: u64 = 256 << 20;

/// A message and its recipient.
pub type AddressedMessage = (Addr, SnapshotMessage);

/// A snapshot ready to be sent.
struct EncodedSnapshot {
    id: SnapshotId,
    clock: u64,
    bytes: Vec<u8>,
    encoded_at: Mono,
    /// When a piece of it was last sent.
    last_served: Option<Mono>,
}

impl EncodedSnapshot {
    /// Encodes the state without its clock, which differs between members.
    fn new(state: &ControlState, now: Mono) -> EncodedSnapshot {
        let without_clock = ControlState { clock: 0, ..state.clone() };
        let bytes = postcard::to_stdvec(&without_clock).expect("plain data always encodes");
        let (size, digest) = (bytes.len() as u64, primitives::hash(&bytes));
        let id = SnapshotId { era: state.era, size, digest };
        EncodedSnapshot { id, clock: state.clock, bytes, encoded_at: now, last_served: None }
    }

    /// The piece starting at `offset`, of at most `SNAPSHOT_CHUNK_BYTES`.
    fn piece(&self, offset: u64) -> SnapshotMessage {
        let start = (offset as usize).min(self.bytes.len());
        let end = (start + SNAPSHOT_CHUNK_BYTES).min(self.bytes.len());
        let bytes = self.bytes[start..end].to_vec();
        SnapshotMessage::Piece { id: self.id, clock: self.clock, offset, bytes }
    }
}

/// Serves the snapshot of the current era, and an earlier one until its transfers end.
#[derive(Default)]
pub struct SnapshotSender {
    /// Latest last. Invariant: at most `MAX_ENCODED`.
    encoded: Vec<EncodedSnapshot>,
    /// The last request of each receiver waiting for a piece.
    waiting: BTreeMap<Addr, (SnapshotId, u64)>,
    next_piece_at: Mono,
}

impl SnapshotSender {
    /// The first message to a member that is behind: the whole snapshot if it fits one piece.
    pub fn offer(&mut self, now: Mono, state: &ControlState) -> SnapshotMessage {
        if self.encoded.last().is_none_or(|s| s.id.era != state.era) {
            // A new era does not interrupt transfers in progress.
            self.encoded.retain(|s| s.last_served.is_some_and(|t| now - t < IDLE_TIMEOUT));
            self.encoded.push(EncodedSnapshot::new(state, now));
            let surplus = self.encoded.len().saturating_sub(MAX_ENCODED);
            self.encoded.drain(..surplus);
        }
        let snapshot = self.encoded.last().expect("encoded above");
        if snapshot.bytes.len() <= SNAPSHOT_CHUNK_BYTES {
            return snapshot.piece(0);
        }
        SnapshotMessage::Offer { id: snapshot.id, clock: snapshot.clock }
    }

    /// Queues a request, replacing an earlier one of the same receiver.
    pub fn on_request(&mut self, from: Addr, id: SnapshotId, offset: u64) {
        self.waiting.insert(from, (id, offset));
    }

    /// Whether a transfer to some receiver is in progress.
    pub fn busy(&self, now: Mono) -> bool {
        let recent = |s: &EncodedSnapshot| s.last_served.is_some_and(|t| now - t < RETRY_AFTER.times(2));
        !self.waiting.is_empty() || self.encoded.iter().any(recent)
    }

    /// Returns the next piece, once it is due.
    pub fn tick(&mut self, now: Mono, state: &ControlState) -> Option<AddressedMessage> {
        self.encoded.retain(|s| now - s.last_served.unwrap_or(s.encoded_at) < IDLE_TIMEOUT);
        if now < self.next_piece_at {
            return None;
        }
        let (to, (id, offset)) = self.waiting.pop_first()?;
        let Some(snapshot) = self.encoded.iter_mut().find(|s| s.id == id) else {
            return Some((to, self.offer(now, state)));
        };
        self.next_piece_at = now + PIECE_INTERVAL;
        snapshot.last_served = Some(now);
        Some((to, snapshot.piece(offset)))
    }
}

struct IncomingSnapshot {
    id: SnapshotId,
    clock: u64,
    bytes: Vec<u8>,
    /// Senders that have it; the next request goes to the first.
    sources: Vec<Addr>,
    requested: Mono,
    unanswered: u32,
}

/// Result of a message or tick at the receiver.
#[derive(Debug, PartialEq)]
pub enum Progress {
    /// No action is needed.
    Nothing,
    /// This request is to be sent.
    Request(AddressedMessage),
    /// All pieces have arrived, and the state matches the digest.
    Complete(Box<ControlState>),
    /// All pieces have arrived, but do not form the snapshot that was offered.
    DigestMismatch,
}

/// Assembles one snapshot from its pieces.
#[derive(Default)]
pub struct SnapshotReceiver {
    incoming: Option<IncomingSnapshot>,
}

impl SnapshotReceiver {
    /// Whether a transfer is in progress.
    pub fn active(&self) -> bool {
        self.incoming.is_some()
    }

    /// Abandons the transfer in progress, if any.
    pub fn cancel(&mut self) {
        self.incoming = None;
    }

    /// Starts or joins the transfer of a snapshot newer than `era`, which is the receiver's own era.
    pub fn on_offer(&mut self, now: Mono, from: Addr, id: SnapshotId, clock: u64, era: Era) -> Progress {
        if id.era <= era || id.size > MAX_SNAPSHOT_BYTES {
            return Progress::Nothing;
        }
        if let Some(incoming) = self.incoming.as_mut() {
            if incoming.id == id {
                incoming.clock = incoming.clock.max(clock);
                if !incoming.sources.contains(&from) {
                    incoming.sources.push(from);
                }
                return Progress::Nothing;
            }
            // The current source has moved on to this snapshot, or nobody answers: switch to it.
            let switch = incoming.sources.first() == Some(&from) || now - incoming.requested >= RETRY_AFTER;
            if !switch {
                return Progress::Nothing;
            }
        }
        let sources = vec![from];
        let bytes = vec![];
        self.incoming = Some(IncomingSnapshot { id, clock, bytes, sources, requested: now, unanswered: 0 });
        self.request_next(now)
    }

    /// Accepts the next piece in order; ignores any other.
    pub fn on_piece(&mut self, now: Mono, from: Addr, piece: Piece, era: Era) -> Progress {
        if self.incoming.as_ref().is_none_or(|incoming| incoming.id != piece.id) {
            let progress = self.on_offer(now, from, piece.id, piece.clock, era);
            if progress == Progress::Nothing || piece.offset != 0 {
                return progress;
            }
        }
        let Some(incoming) = self.incoming.as_mut() else { return Progress::Nothing };
        // A duplicate, or a piece that arrived out of order.
        if piece.offset != incoming.bytes.len() as u64 || piece.bytes.is_empty() {
            return Progress::Nothing;
        }
        incoming.clock = incoming.clock.max(piece.clock);
        incoming.unanswered = 0;
        incoming.bytes.extend(piece.bytes);
        if (incoming.bytes.len() as u64) < incoming.id.size {
            return self.request_next(now);
        }
        let state = self.incoming.take().and_then(IncomingSnapshot::decode);
        state.map_or(Progress::DigestMismatch, |state| Progress::Complete(Box::new(state)))
    }

    /// Repeats a request that timed out, at the next source, or abandons the transfer.
    pub fn tick(&mut self, now: Mono) -> Progress {
        let Some(incoming) =
            self.incoming.as_mut().filter(|incoming| now - incoming.requested >= RETRY_AFTER)
        else {
            return Progress::Nothing;
        };
        incoming.unanswered += 1;
        if incoming.unanswered >= MAX_UNANSWERED {
            self.incoming = None;
            return Progress::Nothing;
        }
        incoming.sources.rotate_left(1);
        self.request_next(now)
    }

    fn request_next(&mut self, now: Mono) -> Progress {
        let Some(incoming) = self.incoming.as_mut() else { return Progress::Nothing };
        incoming.requested = now;
        let request = SnapshotMessage::Request { id: incoming.id, offset: incoming.bytes.len() as u64 };
        Progress::Request((incoming.sources[0], request))
    }
}

impl IncomingSnapshot {
    /// The state, if the bytes match the promised size, digest and era.
    fn decode(self) -> Option<ControlState> {
        let intact =
            self.bytes.len() as u64 == self.id.size && primitives::hash(&self.bytes) == self.id.digest;
        let state: ControlState = postcard::from_bytes(&self.bytes).ok().filter(|_| intact)?;
        (state.era == self.id.era).then_some(ControlState { clock: self.clock, ..state })
    }
}

/// One received piece of a snapshot.
pub struct Piece {
    /// The snapshot it belongs to.
    pub id: SnapshotId,
    /// The sender's logical clock.
    pub clock: u64,
    /// Offset of its first byte in the encoded snapshot.
    pub offset: u64,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// Sender and receiver of one controller.
#[derive(Default)]
pub struct SnapshotTransfer {
    /// Serves snapshots to others.
    pub sender: SnapshotSender,
    /// Receives snapshots from others.
    pub receiver: SnapshotReceiver,
}
