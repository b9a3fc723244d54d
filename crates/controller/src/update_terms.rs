//! Flow-control limits and delivery modes of update streams.

/// Lower and upper bound, in bytes, of what may be in flight to one subscriber.
pub const MIN_WINDOW_BYTES: usize = 64 << 10;
const MAX_WINDOW_BYTES: usize = 512 << 10;
/// Bytes that may be in flight to all subscribers of one delivery mode together, unless the minimum
/// window of each adds up to more. Data in flight is held in memory twice: as a message and encoded.
const MAX_TOTAL_BYTES: usize = 2 << 20;

/// How a subscriber receives items.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum DeliveryMode {
    /// All items in full.
    #[default]
    Whole,
    /// Larger items by version only, because another controller sends them in full.
    Announced,
}

/// Delivery mode and flow-control window of one subscriber.
#[derive(Copy, Clone, Debug)]
pub struct SendTerms {
    /// The mode that the subscriber asked for.
    pub mode: DeliveryMode,
    /// Bytes that may be in flight; announced items count with their full size.
    pub window: usize,
}

/// Number of subscribers in each delivery mode.
#[derive(Copy, Clone, Debug, Default)]
pub struct SubscriberCounts {
    whole: usize,
    announced: usize,
}

impl SubscriberCounts {
    /// Counts the subscribers with these delivery modes.
    pub fn count(modes: impl Iterator<Item = DeliveryMode>) -> SubscriberCounts {
        modes.fold(SubscriberCounts::default(), |mut counts, mode| {
            match mode {
                DeliveryMode::Whole => counts.whole += 1,
                DeliveryMode::Announced => counts.announced += 1,
            }
            counts
        })
    }

    /// The terms for each subscriber of this mode: an equal share of the total in-flight bytes,
    /// within the bounds of a window.
    pub fn terms(&self, mode: DeliveryMode) -> SendTerms {
        let subscribers = match mode {
            DeliveryMode::Whole => self.whole,
            DeliveryMode::Announced => self.announced,
        };
        let share = MAX_TOTAL_BYTES / subscribers.max(1);
        SendTerms { mode, window: share.clamp(MIN_WINDOW_BYTES, MAX_WINDOW_BYTES) }
    }
}
