//! On what terms subscribers are sent updates.

/// Bytes that may be under way to one subscriber: the least and the most.
pub const WINDOW: usize = 64 << 10;
const LARGEST_WINDOW: usize = 512 << 10;
/// To all subscribers together that want items in one way, unless that is less than the least for
/// each. What is under way is held twice, as a message and encoded.
const UNDER_WAY: usize = 2 << 20;

/// How a subscriber wants items.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum DeliveryMode {
    /// All of them whole.
    #[default]
    Whole,
    /// Larger ones only announced, for another controller sends them.
    Announced,
}

/// On what terms a subscriber is sent items.
#[derive(Copy, Clone, Debug)]
pub struct SendTerms {
    /// How it wants them.
    pub wanted: DeliveryMode,
    /// Bytes that may be under way; items that are announced count as if they were sent.
    pub window: usize,
}

/// How many subscribers want items in each way.
#[derive(Copy, Clone, Debug, Default)]
pub struct SubscriberCounts {
    whole: usize,
    announced: usize,
}

impl SubscriberCounts {
    /// Counts them.
    pub fn count(all: impl Iterator<Item = DeliveryMode>) -> SubscriberCounts {
        all.fold(SubscriberCounts::default(), |mut subscriber_counts, wanted| {
            match wanted {
                DeliveryMode::Whole => subscriber_counts.whole += 1,
                DeliveryMode::Announced => subscriber_counts.announced += 1,
            }
            subscriber_counts
        })
    }

    /// What each of those who want it so is sent: they share what may be under way.
    pub fn terms(&self, wanted: DeliveryMode) -> SendTerms {
        let subscribers = match wanted {
            DeliveryMode::Whole => self.whole,
            DeliveryMode::Announced => self.announced,
        };
        let share = UNDER_WAY / subscribers.max(1);
        SendTerms { wanted, window: share.clamp(WINDOW, LARGEST_WINDOW) }
    }
}
