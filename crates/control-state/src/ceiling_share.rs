//! How a service's ceiling is split between the edges' own shares and what the
//! leader lends.
use crate::capacity::parts;
use crate::configuration::Section;
use crate::items::*;
use primitives::Span;
use std::collections::BTreeMap;

/// How long a lent request may be used, by the borrower's clock from its asking.
pub const BORROWED_TOKEN_TTL: Span = Span::ms(400);

/// Requests a second. Invariant: `own` and `lent` together stay below the ceiling.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Share {
    pub ceiling: f64,
    /// What all edges together have of their own, each its part of it; see `parts`.
    pub own: f64,
    /// What the leader lends.
    pub lent: f64,
}

/// Parts of the ceiling that are the edges' own, and that are lent.
const OWN: f64 = 0.55;
const BORROWED_PART: f64 = 0.4;

impl Share {
    /// Nothing bounds it.
    pub fn free(&self) -> bool {
        self.ceiling.is_infinite()
    }

    fn of(c: f64, sharers: usize) -> Share {
        // Each sharer may burst by one request; where that would already be more
        // than a twentieth of the ceiling in five seconds, all of it is lent.
        if sharers as f64 <= 0.25 * c {
            Share { ceiling: c, own: OWN * c, lent: BORROWED_PART * c }
        } else {
            Share { ceiling: c, own: 0.0, lent: (OWN + BORROWED_PART) * c }
        }
    }
}

/// The share of a service with so many thousandths of a request a second.
pub fn rate_share(items: &BTreeMap<Key, Item>, rate: Option<u64>) -> Share {
    let free = Share { ceiling: f64::INFINITY, own: f64::INFINITY, lent: 0.0 };
    rate.map_or(free, |r| Share::of(r as f64 / 1000.0, parts(items).len()))
}

/// The ceiling of a service: the lowest of its rows.
pub fn ceiling(items: &BTreeMap<Key, Item>, svc: &Svc) -> Option<u32> {
    let of = |(k, it): (&Key, &Item)| match (k, &it.body) {
        (Key::Row(_, s), Some(Body::Row(r))) if s == svc => Some(r.ceiling),
        _ => None,
    };
    items.iter().filter_map(of).min()
}

pub fn share(items: &BTreeMap<Key, Item>, svc: &Svc) -> Option<Share> {
    let entry = items.get(&Key::Entry(Section::Services, svc.0.clone())).and_then(|it| it.body.as_ref());
    match entry {
        Some(Body::Service(s)) => Some(rate_share(items, s.rate)),
        _ => ceiling(items, svc).map(|c| Share::of(c as f64, parts(items).len())),
    }
}
