//! Small types for ids, versions and times.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on the local monotonic clock, in microseconds.
/// Invariant: never compared with a `Mono` of another process, never wall time.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mono(pub u64);

/// A length of time, in microseconds.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span(pub u64);

impl Span {
    pub const fn ms(n: u64) -> Span {
        Span(n * 1000)
    }
    pub const fn secs(n: u64) -> Span {
        Span(n * 1_000_000)
    }
    pub fn as_ms(self) -> u64 {
        self.0 / 1000
    }
    pub fn times(self, n: u64) -> Span {
        Span(self.0 * n)
    }
    /// Longer by a tenth: what one clock may count while another counts `self`.
    pub fn padded(self) -> Span {
        Span(self.0 + self.0 / 10)
    }
}

impl From<Span> for Duration {
    fn from(s: Span) -> Duration {
        Duration::from_micros(s.0)
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, o: Span) -> Span {
        Span(self.0 + o.0)
    }
}

impl Add<Span> for Mono {
    type Output = Mono;
    fn add(self, s: Span) -> Mono {
        Mono(self.0 + s.0)
    }
}

impl Sub<Mono> for Mono {
    type Output = Span;
    /// Saturates: an earlier point minus a later one is no time at all.
    fn sub(self, o: Mono) -> Span {
        Span(self.0.saturating_sub(o.0))
    }
}

impl Sub<Span> for Mono {
    type Output = Mono;
    fn sub(self, s: Span) -> Mono {
        Mono(self.0.saturating_sub(s.0))
    }
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $of:ty) => {
        $(#[$doc])*
        #[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $of);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

id!(
    /// A node of the fleet: one process of one role.
    NodeId, u64
);
id!(
    /// The version of one row, origin, node or purge scope; grows by one with each change.
    Version, u64
);
id!(
    /// The epoch of a single duty. Invariant: nobody obeys a lower one than it has seen.
    Epoch, u64
);
id!(
    /// One life of a process or of its disk, drawn at random.
    Birth, u64
);

/// Where a process listens, by number.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Addr(pub SocketAddr);

impl fmt::Display for Addr {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for Addr {
    type Err = std::net::AddrParseError;
    fn from_str(s: &str) -> Result<Addr, Self::Err> {
        s.parse().map(Addr)
    }
}

/// A local question that waits for its receipt.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);
