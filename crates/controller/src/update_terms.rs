//! On what terms subscribers are sent updates.

/// Bytes that may be under way to one subscriber: the least and the most.
pub const WINDOW: usize = 64 << 10;
const LARGEST_WINDOW: usize = 512 << 10;
/// To all subscribers together that want items whole, unless that is less than the least for each.
const UNDER_WAY: usize = 4 << 20;

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

impl Terms {
    /// Where so many subscribers want items whole: they share what may be under way.
    pub fn among(wanted: Wanted, sources_of: usize) -> Terms {
        let share = UNDER_WAY / sources_of.max(1);
        let window = match wanted {
            Wanted::Whole => share.clamp(WINDOW, LARGEST_WINDOW),
            Wanted::Announced => LARGEST_WINDOW,
        };
        Terms { wanted, window }
    }
}
