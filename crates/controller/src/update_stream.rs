//! The updates for one subscriber: each changed key under a number of its own, sent in
//! pieces of bounded size, and again from the last number that was acknowledged.
//!
//! Invariants: numbers only grow, also when the stream starts anew, so a number once noted
//! never stands for less. No more than a window's bytes are under way, unless it is one piece.
pub use crate::update_piece::Piece;
use crate::update_piece::{Batch, InFlightPiece};
pub use crate::update_terms::{DeliveryMode, SendTerms, SubscriberCounts, WINDOW};
use caesar::CommandId;
use control_state::*;
use primitives::{Mono, ResponseTimeEstimator, Span};
use std::collections::VecDeque;
use std::sync::Arc;

/// Bytes of one piece, roughly; a single larger item makes a piece of its own.
pub const PIECE: usize = 64 << 10;
/// Updates that a subscriber may lack before it is sent the whole state instead.
const LONGEST: u64 = 2000;
/// Unacknowledged updates are sent again after this, and what their bytes take at 200 kB/s; or
/// later, where acknowledgements usually take longer, but not later than the second.
const RETRY: Span = Span::ms(100);
const LONGEST_PAUSE: Span = Span::secs(2);
/// What was announced so often to no avail is sent whole.
const WHOLE_AFTER: u32 = 3;
/// Each further time the pause is twice as long, so often at the most.
const RETRY_DOUBLINGS: u32 = 3;
pub(crate) const MICROS_A_BYTE: u64 = 5;

/// Pieces up to this size are sent whole to everybody, so that small changes wait for nobody.
const SMALL: usize = 4 << 10;

/// Numbers, what they stand for, and how far the subscriber is known to hold them.
#[derive(Clone, Debug, Default)]
pub struct UpdateStream {
    /// Which stream it is; 0 until it is started.
    id: u64,
    begun: Mono,
    /// The number of the start itself, and the last one of the state it starts with.
    start: u64,
    filled: u64,
    /// The last number given, the last one sent, and the last one acknowledged.
    last: u64,
    sent: u64,
    acknowledged: u64,
    batches: VecDeque<Batch>,
    under_way: VecDeque<InFlightPiece>,
    /// How long acknowledgements take.
    answer_time: ResponseTimeEstimator,
    /// When something was last sent or acknowledged.
    progress: Mono,
    /// Times that something was sent again, and that it was started anew, since the last
    /// acknowledgement.
    retries: u32,
    starts: u32,
}

impl UpdateStream {
    /// Which stream it is; 0 until it is started.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The last number given.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Numbers given and not known to be held.
    pub fn unacknowledged(&self) -> u64 {
        self.last - self.acknowledged.min(self.last)
    }

    /// Whether the subscriber has been sent anything that counts.
    pub fn is_started(&self) -> bool {
        self.id != 0
    }

    /// Whether all that was numbered was sent.
    pub fn is_sent(&self) -> bool {
        self.sent == self.last
    }

    /// Where a message without items stands in the stream.
    pub fn position(&self) -> u64 {
        self.sent
    }

    /// Whether the subscriber is not known to hold everything.
    pub fn is_behind(&self) -> bool {
        !self.holds(self.last)
    }

    /// Whether the subscriber holds all up to a number given to this or an earlier stream.
    pub fn holds(&self, number: u64) -> bool {
        self.is_started() && self.acknowledged >= number.max(self.filled)
    }

    /// Whether it may start anew: one that has just started has not been heard of yet.
    pub fn may_start(&self, now: Mono, wait: Span) -> bool {
        let wait = wait.times(1 << self.starts.saturating_sub(1).min(RETRY_DOUBLINGS));
        !self.is_started() || now - self.begun >= wait
    }

    /// Starts anew with the whole state.
    pub fn start(&mut self, now: Mono, id: u64, state: Arc<[Key]>) {
        let start = self.last + 1;
        let filled = start + state.len() as u64;
        let batch = Batch { first: start + 1, keys: state, cid: None };
        *self = UpdateStream {
            id,
            begun: now,
            start,
            filled,
            last: filled,
            sent: self.last,
            acknowledged: self.last,
            batches: VecDeque::from_iter(Some(batch).filter(|b| !b.keys.is_empty())),
            under_way: VecDeque::new(),
            answer_time: self.answer_time,
            progress: now,
            retries: 0,
            starts: self.starts + 1,
        };
    }

    /// Numbers changed keys. A stream too long to be worth sending waits to be started anew.
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
        if self.last - self.acknowledged.max(self.filled) > LONGEST {
            self.batches.clear();
            self.under_way.clear();
            self.id = 0;
        }
    }

    /// The subscriber holds this stream up to a number; only what was sent counts.
    pub fn acknowledge(&mut self, now: Mono, number: u64) {
        let number = number.min(self.sent);
        if number <= self.acknowledged {
            return;
        }
        // Of what was sent again nobody knows which one was answered.
        let answered = self.under_way.iter().rfind(|p| p.to <= number && self.retries == 0);
        answered.map(|p| p.sent).into_iter().for_each(|sent| self.answer_time.note(now - sent));
        self.acknowledged = number;
        self.progress = now;
        (self.retries, self.starts) = (0, 0);
        self.batches.retain(|b| b.last() > number);
        self.under_way.retain(|p| p.to > number);
    }

    fn bytes_under_way(&self) -> usize {
        self.under_way.iter().map(|p| p.bytes).sum()
    }

    /// Goes back to the last acknowledged number if nothing came of what was sent.
    pub fn retry(&mut self, now: Mono) -> bool {
        let pause = RETRY + Span(self.bytes_under_way() as u64 * MICROS_A_BYTE);
        let pause = self.answer_time.limit(pause, LONGEST_PAUSE);
        let wait = pause.times(1 << self.retries.min(RETRY_DOUBLINGS));
        let lost = self.is_started() && self.acknowledged < self.sent && now - self.progress >= wait;
        if lost {
            self.rewind();
            self.retries += 1;
        }
        lost
    }

    /// Goes back to the last acknowledged number: what was announced is to be sent whole.
    pub fn rewind(&mut self) {
        self.sent = self.acknowledged;
        self.under_way.clear();
    }

    /// The next piece, if the window has room for one: up to the first update that may not be seen
    /// yet. What is large is announced, unless that is not wanted or did not get on.
    pub fn next_piece(
        &mut self,
        now: Mono,
        state: &ControlState,
        terms: SendTerms,
        is_visible: impl Fn(&Key, Option<CommandId>) -> bool,
    ) -> Option<Piece> {
        let announces = terms.wanted == DeliveryMode::Announced && self.retries < WHOLE_AFTER;
        let whole_after_all = terms.wanted == DeliveryMode::Announced && !announces;
        // Many may need it at once: one piece each.
        let window = if whole_after_all { 0 } else { terms.window };
        let room = self.under_way.is_empty() || self.bytes_under_way() < window;
        if !self.is_started() || self.sent == self.last || !room {
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
            if !is_visible(key, cid) || (bytes > PIECE && to > from.max(self.start)) {
                break;
            }
            to += 1;
            items.push((key.clone(), item));
        }
        if to == from {
            return None;
        }
        self.sent = to;
        self.progress = now;
        self.under_way.push_back(InFlightPiece { to, bytes: bytes.min(PIECE), sent: now });
        let piece = Piece { from, to, starts, items, announced: vec![] };
        Some(if announces && bytes > SMALL { piece.announce() } else { piece })
    }
}
