//! The update stream to one subscriber. Each changed key gets a sequence number; updates are sent in
//! pieces of bounded size and resent from the last acknowledged number.
//!
//! Invariants: sequence numbers only grow, also when the stream is restarted, so a number that was
//! noted earlier never covers less than it did then. A piece is sent only while nothing, or less than
//! a window of bytes, is in flight.
pub use crate::update_piece::Piece;
use crate::update_piece::{Batch, InFlightPiece};
pub use crate::update_terms::{DeliveryMode, SendTerms, SubscriberCounts, MIN_WINDOW_BYTES};
use caesar::CommandId;
use control_state::*;
use primitives::{Mono, ResponseTimeEstimator, Span};
use std::collections::VecDeque;
use std::sync::Arc;

/// Approximate size limit of a piece; a single larger item makes a piece of its own.
pub const MAX_PIECE_BYTES: usize = 64 << 10;
/// Unacknowledged updates beyond which the whole state is sent instead.
const MAX_UNACKNOWLEDGED: u64 = 2000;
/// Unacknowledged updates are resent after this delay plus the transfer time of their bytes at
/// 200 kB/s. The delay is longer where acknowledgements usually take longer, up to the maximum.
const MIN_RETRY_DELAY: Span = Span::ms(100);
const MAX_RETRY_DELAY: Span = Span::secs(2);
/// Number of unsuccessful retries after which announced items are sent in full.
const FULL_ITEMS_AFTER_RETRIES: u32 = 3;
/// The delay doubles with each retry, at most this many times.
const MAX_DELAY_DOUBLINGS: u32 = 3;
/// Transfer time per byte at 200 kB/s, in microseconds.
pub(crate) const MICROS_PER_BYTE: u64 = 5;

/// Pieces of up to this size are sent in full to all subscribers, so that small changes do not wait
/// for the controller that sends full items.
const MAX_FULL_PIECE_BYTES: usize = 4 << 10;

/// Sequence numbers, the keys they stand for, and the position that the subscriber acknowledged.
#[derive(Clone, Debug, Default)]
pub struct UpdateStream {
    /// Id of the stream; 0 while it is not started.
    id: u64,
    started_at: Mono,
    /// The sequence number of the start itself.
    start: u64,
    /// The last sequence number of the state that the stream starts with.
    initial_end: u64,
    /// The last sequence number assigned.
    last: u64,
    /// The last sequence number sent.
    sent: u64,
    /// The last sequence number acknowledged.
    acknowledged: u64,
    batches: VecDeque<Batch>,
    in_flight: VecDeque<InFlightPiece>,
    /// Estimates how long acknowledgements take.
    acknowledgement_time: ResponseTimeEstimator,
    /// When a piece was last sent or acknowledged.
    last_progress: Mono,
    /// Retries since the last acknowledgement.
    retries: u32,
    /// Starts of the stream since the last acknowledgement.
    starts: u32,
}

impl UpdateStream {
    /// Id of the stream; 0 while it is not started.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The last sequence number assigned.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Number of updates that were assigned a sequence number and are not acknowledged.
    pub fn unacknowledged(&self) -> u64 {
        self.last - self.acknowledged.min(self.last)
    }

    /// Whether the subscriber follows a stream; if not, it needs the whole state.
    pub fn is_started(&self) -> bool {
        self.id != 0
    }

    /// Whether all updates were sent.
    pub fn is_sent(&self) -> bool {
        self.sent == self.last
    }

    /// The stream position of a message that carries no items: the last sequence number sent.
    pub fn position(&self) -> u64 {
        self.sent
    }

    /// Whether the subscriber has not acknowledged everything.
    pub fn is_behind(&self) -> bool {
        !self.holds(self.last)
    }

    /// Whether the subscriber holds everything up to a sequence number that was assigned in this or an
    /// earlier stream.
    pub fn holds(&self, number: u64) -> bool {
        self.is_started() && self.acknowledged >= number.max(self.initial_end)
    }

    /// Whether the stream may be restarted. After a start, `wait` has to pass (doubled with each further
    /// start), because the subscriber cannot have acknowledged the new stream yet.
    pub fn may_start(&self, now: Mono, wait: Span) -> bool {
        let wait = wait.times(1 << self.starts.saturating_sub(1).min(MAX_DELAY_DOUBLINGS));
        !self.is_started() || now - self.started_at >= wait
    }

    /// Starts a new stream under the given id with the whole state, given as the list of its keys.
    /// Sequence numbers continue from the last one.
    pub fn start(&mut self, now: Mono, id: u64, state: Arc<[Key]>) {
        let start = self.last + 1;
        let initial_end = start + state.len() as u64;
        let batch = Batch { first: start + 1, keys: state, cid: None };
        *self = UpdateStream {
            id,
            started_at: now,
            start,
            initial_end,
            last: initial_end,
            sent: self.last,
            acknowledged: self.last,
            batches: VecDeque::from_iter(Some(batch).filter(|b| !b.keys.is_empty())),
            in_flight: VecDeque::new(),
            acknowledgement_time: self.acknowledgement_time,
            last_progress: now,
            retries: 0,
            starts: self.starts + 1,
        };
    }

    /// Assigns sequence numbers to changed keys. A stream with too many unacknowledged updates is
    /// stopped and has to be restarted with the whole state.
    pub fn append(&mut self, keys: &Arc<[Key]>, cid: Option<CommandId>) {
        if keys.is_empty() {
            return;
        }
        let first = self.last + 1;
        self.last += keys.len() as u64;
        if !self.is_started() {
            return;
        }
        self.batches.push_back(Batch { first, keys: keys.clone(), cid });
        if self.last - self.acknowledged.max(self.initial_end) > MAX_UNACKNOWLEDGED {
            self.batches.clear();
            self.in_flight.clear();
            self.id = 0;
        }
    }

    /// Records that the subscriber holds this stream up to a sequence number. A number beyond the last
    /// one sent is cut down to that.
    pub fn acknowledge(&mut self, now: Mono, number: u64) {
        let number = number.min(self.sent);
        if number <= self.acknowledged {
            return;
        }
        // After a retry it is unknown which transmission was acknowledged, so it is not measured.
        let measured = self.in_flight.iter().rfind(|p| p.to <= number && self.retries == 0);
        measured.map(|p| p.sent).into_iter().for_each(|sent| self.acknowledgement_time.note(now - sent));
        self.acknowledged = number;
        self.last_progress = now;
        (self.retries, self.starts) = (0, 0);
        self.batches.retain(|b| b.last() > number);
        self.in_flight.retain(|p| p.to > number);
    }

    /// Bytes that were sent and are not acknowledged.
    fn bytes_in_flight(&self) -> usize {
        self.in_flight.iter().map(|p| p.bytes).sum()
    }

    /// Goes back to the last acknowledged sequence number if no acknowledgement came within the retry
    /// delay. Returns whether it did.
    pub fn retry(&mut self, now: Mono) -> bool {
        let delay = MIN_RETRY_DELAY + Span(self.bytes_in_flight() as u64 * MICROS_PER_BYTE);
        let delay = self.acknowledgement_time.limit(delay, MAX_RETRY_DELAY);
        let wait = delay.times(1 << self.retries.min(MAX_DELAY_DOUBLINGS));
        let lost = self.is_started() && self.acknowledged < self.sent && now - self.last_progress >= wait;
        if lost {
            self.rewind();
            self.retries += 1;
        }
        lost
    }

    /// Goes back to the last acknowledged sequence number, so that everything after it is resent.
    /// Also used when a subscriber switches to full items and has to get announced ones in full.
    pub fn rewind(&mut self) {
        self.sent = self.acknowledged;
        self.in_flight.clear();
    }

    /// The next piece, if the window allows one. It ends before the first update that `is_visible`
    /// rejects. A large piece is announced if the subscriber asked for announcements, unless several
    /// retries of them went unacknowledged.
    pub fn next_piece(
        &mut self,
        now: Mono,
        state: &ControlState,
        terms: SendTerms,
        is_visible: impl Fn(&Key, Option<CommandId>) -> bool,
    ) -> Option<Piece> {
        let announces = terms.mode == DeliveryMode::Announced && self.retries < FULL_ITEMS_AFTER_RETRIES;
        let full_after_retries = terms.mode == DeliveryMode::Announced && !announces;
        // Many subscribers may need this at once, so each gets one piece at a time.
        let window = if full_after_retries { 0 } else { terms.window };
        let has_room = self.in_flight.is_empty() || self.bytes_in_flight() < window;
        if !self.is_started() || self.sent == self.last || !has_room {
            return None;
        }
        let from = self.sent;
        let starts = from < self.start;
        let mut to = from.max(self.start);
        let mut items: Vec<(Key, Item)> = vec![];
        let mut bytes = 0;
        let updates = self.batches.iter().flat_map(|b| b.above(from).iter().map(move |key| (key, b.cid)));
        for (key, cid) in updates {
            let item = state.item(key);
            bytes += key.size() + item.size();
            if !is_visible(key, cid) || (bytes > MAX_PIECE_BYTES && to > from.max(self.start)) {
                break;
            }
            to += 1;
            items.push((key.clone(), item));
        }
        if to == from {
            return None;
        }
        self.sent = to;
        self.last_progress = now;
        self.in_flight.push_back(InFlightPiece { to, bytes: bytes.min(MAX_PIECE_BYTES), sent: now });
        let piece = Piece { from, to, starts, items, announced: vec![] };
        Some(if announces && bytes > MAX_FULL_PIECE_BYTES { piece.announce() } else { piece })
    }
}
