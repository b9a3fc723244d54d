//! Control states with routes of realistic size, for tests of update streams.
use control_state::*;
use primitives::{Span, Version};

/// Length of the text of a route, in bytes.
pub const ROUTE_TEXT_BYTES: usize = 300;

pub fn key(i: usize) -> Key {
    Key::Entry(Section::Lanes, format!("route-{i:05}"))
}

fn item(version: u64) -> Item {
    let route = LaneEntry {
        host: "h.example".into(),
        prefix: "/r/".into(),
        kind: Kind::Plain,
        timeout: Span::secs(1),
        aim: Span::ms(500),
        rank: 1,
        weights: vec![("desk".into(), 1000)],
        attempts: 2,
        ttl: Span(0),
        said: "x".repeat(ROUTE_TEXT_BYTES),
    };
    Item { ver: Version(version), body: Some(Body::Lane(route)) }
}

/// A control state with this many routes.
pub fn state(routes: usize) -> ControlState {
    ControlState { items: (0..routes).map(|i| (key(i), item(1))).collect(), ..ControlState::default() }
}
