//! Identifiers, versions, points in time and time spans.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{AddrParseError, SocketAddr};
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

const MICROS_PER_MS: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A point on the local monotonic clock, in microseconds.
///
/// Invariant: never compared with a `Mono` of another process, and never used as wall-clock time.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mono(pub u64);

/// A time span, in microseconds.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span(pub u64);

impl Span {
    /// A span of `count` milliseconds.
    pub const fn ms(count: u64) -> Span {
        Span(count * MICROS_PER_MS)
    }

    /// A span of `count` seconds.
    pub const fn secs(count: u64) -> Span {
        Span(count * MICROS_PER_SECOND)
    }

    /// The span in whole milliseconds, rounded down.
    pub fn as_ms(self) -> u64 {
        self.0 / MICROS_PER_MS
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        Duration::from(self).as_secs_f64()
    }

    /// The span, `factor` times as long.
    pub fn times(self, factor: u64) -> Span {
        Span(self.0 * factor)
    }

    /// The span plus a tenth. This is the upper bound on the time that any other clock measures
    /// while one clock measures `self`, as long as both keep within the allowed drift.
    pub fn padded(self) -> Span {
        Span(self.0 + self.0 / 10)
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Duration {
        Duration::from_micros(span.0)
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Add<Span> for Mono {
    type Output = Mono;
    /// Saturates: a message may carry a span without limit, whatever this clock shows.
    fn add(self, span: Span) -> Mono {
        Mono(self.0.saturating_add(span.0))
    }
}

impl Sub<Mono> for Mono {
    type Output = Span;
    /// Saturates at zero: an earlier point minus a later one is a span of zero.
    fn sub(self, earlier: Mono) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Span> for Mono {
    type Output = Mono;
    /// Saturates at the zero point of the clock.
    fn sub(self, span: Span) -> Mono {
        Mono(self.0.saturating_sub(span.0))
    }
}

/// Declares an identifier type that wraps an integer and displays as that integer.
macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $of:ty) => {
        $(#[$doc])*
        #[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $of);
        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

id!(
    /// A node of the fleet: one process with one role.
    NodeId, u64
);
id!(
    /// The version of one item of the control state (a row, an origin, a node, a purge scope).
    /// Each change of the item increments it by one.
    Version, u64
);
id!(
    /// The epoch of a leader.
    ///
    /// Invariant: a process never obeys an epoch lower than the highest one that it has seen.
    Epoch, u64
);
id!(
    /// The incarnation of a process or of its disk: a random number, drawn when the process starts
    /// or the disk is first used.
    Birth, u64
);

/// The IP address and port on which a process listens; never a host name.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Addr(pub SocketAddr);

impl fmt::Display for Addr {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for Addr {
    type Err = AddrParseError;
    fn from_str(text: &str) -> Result<Addr, Self::Err> {
        text.parse().map(Addr)
    }
}

/// Matches a response to the pending request within one process; unique in that process.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);
