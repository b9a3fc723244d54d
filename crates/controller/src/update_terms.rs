//! On what terms subscribers are sent updates.

/// Bytes that may be under way to one subscriber: the least and the most.
pub const WINDOW: usize = 64 << 10;
const LARGEST_WINDOW: usize = 512 << 10;
/// To all subscribers together that want items in one way, unless that is less than the least for
/// each. What is under way is held twice, as a message and encoded.
const UNDER_WAY: usize = 2 << 20;

/// How a subscriber wants items.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum Wanted {
    /// All of them whole.
    #[default]
    Whole,
    /// Larger ones only announced, for another controller sends them.
    Announced,
}

/// On what terms a subscriber is sent items.
#[derive(Copy, Clone, Debug)]
pub struct Terms {
    /// How it wants them.
    pub wanted: Wanted,
    /// Bytes that may be under way; items that are announced count as if they were sent.
    pub window: usize,
}

/// How many subscribers want items in each way.
#[derive(Copy, Clone, Debug, Default)]
pub struct Alike {
    whole: usize,
    announced: usize,
}

impl Alike {
    /// Counts them.
    pub fn count(all: impl Iterator<Item = Wanted>) -> Alike {
        all.fold(Alike::default(), |mut alike, wanted| {
            match wanted {
                Wanted::Whole => alike.whole += 1,
                Wanted::Announced => alike.announced += 1,
            }
            alike
        })
    }

    /// What each of those who want it so is sent: they share what may be under way.
    pub fn terms(&self, wanted: Wanted) -> Terms {
        let subscribers = match wanted {
            Wanted::Whole => self.whole,
            Wanted::Announced => self.announced,
        };
        let share = UNDER_WAY / subscribers.max(1);
        Terms { wanted, window: share.clamp(WINDOW, LARGEST_WINDOW) }
    }
}
