//! Which origin is the standby of which.
use crate::items::*;
use crate::json::{list, obj, text};
use crate::state::ControlState;
use primitives::Addr;
use tinyjson::JsonValue;

/// The standby of an origin among `all`: the first by rank of hashes, if possible in another zone. The
/// same at every edge.
pub fn understudy(of: &Addr, all: &[(Addr, Origin)]) -> Option<(Addr, Origin)> {
    let zone = all.iter().find(|(addr, _)| addr == of).map(|(_, origin)| origin.zone.clone());
    let others: Vec<_> = all.iter().filter(|(addr, _)| addr != of).cloned().collect();
    let ranked = primitives::rank(&("understudy", of), &others, |(addr, _)| primitives::hash(addr));
    let other_zone = ranked.iter().find(|(_, origin)| Some(&origin.zone) != zone.as_ref()).cloned();
    other_zone.or_else(|| ranked.into_iter().next())
}

/// Each serving origin with its standby, for operators.
pub fn standby_origins_json(state: &ControlState) -> JsonValue {
    let serving = |(key, item): (&Key, &Item)| match (key, &item.body) {
        (Key::Origin(addr), Some(Body::Origin(origin))) if origin.standing == Standing::Serving => {
            Some((*addr, origin.clone()))
        }
        _ => None,
    };
    let origins: Vec<(Addr, Origin)> = state.items.iter().filter_map(serving).collect();
    let of_service =
        |svc: &Svc| origins.iter().filter(|(_, origin)| origin.svc == *svc).cloned().collect::<Vec<_>>();
    let standby_json = |(addr, origin): &(Addr, Origin)| {
        let standby =
            understudy(addr, &of_service(&origin.svc)).map_or("none".to_string(), |u| u.0.to_string());
        obj(vec![("service", text(&origin.svc)), ("origin", text(addr)), ("understudy", text(standby))])
    };
    list(origins.iter().map(standby_json).collect())
}
