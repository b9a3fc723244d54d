//! How the ceiling of a service is split between the edges' own shares and the tokens that they
//! borrow from the leader.
use crate::capacity::parts;
use crate::configuration::Section;
use crate::items::*;
use primitives::Span;
use std::collections::BTreeMap;

/// How long a borrowed token may be used, by the borrower's clock, from its request for it.
pub const BORROWED_TOKEN_TTL: Span = Span::ms(400);

/// How a ceiling is split, in requests per second. Invariant: `own` and `lent` together stay below
/// the ceiling.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Share {
    pub ceiling: f64,
    /// The rate of all edges together without borrowing; see `parts` for each edge's part of it.
    pub own: f64,
    /// The rate of borrowed tokens.
    pub lent: f64,
}

/// The part of the ceiling that is the edges' own.
const OWN_PART: f64 = 0.55;
/// The part of the ceiling that is for borrowed tokens.
const BORROWED_PART: f64 = 0.4;

impl Share {
    /// Whether there is no ceiling.
    pub fn free(&self) -> bool {
        self.ceiling.is_infinite()
    }

    fn of(limit: f64, sharers: usize) -> Share {
        // Each sharing edge may burst by one request. If these bursts alone exceed a twentieth of what
        // the ceiling allows in five seconds, there are only borrowed tokens.
        if sharers as f64 <= 0.25 * limit {
            Share { ceiling: limit, own: OWN_PART * limit, lent: BORROWED_PART * limit }
        } else {
            Share { ceiling: limit, own: 0.0, lent: (OWN_PART + BORROWED_PART) * limit }
        }
    }
}

/// The split of a rate limit, given in thousandths of a request per second; none is unlimited.
pub fn rate_share(items: &BTreeMap<Key, Item>, rate: Option<u64>) -> Share {
    let unlimited = Share { ceiling: f64::INFINITY, own: f64::INFINITY, lent: 0.0 };
    rate.map_or(unlimited, |rate| Share::of(rate as f64 / 1000.0, parts(items).len()))
}

/// The ceiling of a service in requests per second: the lowest of its rows.
pub fn ceiling(items: &BTreeMap<Key, Item>, svc: &Svc) -> Option<u32> {
    let row_ceiling = |(k, item): (&Key, &Item)| match (k, &item.body) {
        (Key::Row(_, service), Some(Body::Row(row))) if service == svc => Some(row.ceiling),
        _ => None,
    };
    items.iter().filter_map(row_ceiling).min()
}

/// The split of a service's ceiling, by its entry or else by its rows; none for an unknown service.
pub fn share(items: &BTreeMap<Key, Item>, svc: &Svc) -> Option<Share> {
    let entry = items.get(&Key::Entry(Section::Services, svc.0.clone())).and_then(|item| item.body.as_ref());
    match entry {
        Some(Body::Service(service)) => Some(rate_share(items, service.rate)),
        _ => ceiling(items, svc).map(|ceiling| Share::of(ceiling as f64, parts(items).len())),
    }
}
