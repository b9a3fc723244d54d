//! Routes as long as real ones, for tests of update streams.
use control_state::*;
use primitives::{Span, Version};

/// As long as a route's text is.
pub const TEXT: usize = 300;

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
        said: "x".repeat(TEXT),
    };
    Item { ver: Version(version), body: Some(Body::Lane(route)) }
}

pub fn state(routes: usize) -> ControlState {
    ControlState { items: (0..routes).map(|i| (key(i), item(1))).collect(), ..ControlState::default() }
}
