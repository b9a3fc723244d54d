//! Which origin stands in for which.
use crate::items::*;
use crate::json::{list, obj, text};
use crate::state::ControlState;
use primitives::Addr;
use tinyjson::JsonValue;

/// The understudy of an origin: ranked by hash, another zone preferred. The
/// same at every edge.
pub fn understudy(of: &Addr, all: &[(Addr, Origin)]) -> Option<(Addr, Origin)> {
    let zone = all.iter().find(|(a, _)| a == of).map(|(_, o)| o.zone.clone());
    let others: Vec<_> = all.iter().filter(|(a, _)| a != of).cloned().collect();
    let ranked = primitives::rank(&("understudy", of), &others, |(a, _)| primitives::hash(a));
    let far = ranked.iter().find(|(_, o)| Some(&o.zone) != zone.as_ref()).cloned();
    far.or_else(|| ranked.into_iter().next())
}

/// Every serving origin with its understudy, as operators see it.
pub fn standby_origins_json(p: &ControlState) -> JsonValue {
    let live = |(k, it): (&Key, &Item)| match (k, &it.body) {
        (Key::Origin(a), Some(Body::Origin(o))) if o.standing == Standing::Serving => Some((*a, o.clone())),
        _ => None,
    };
    let all: Vec<(Addr, Origin)> = p.items.iter().filter_map(live).collect();
    let like = |svc: &Svc| all.iter().filter(|(_, o)| o.svc == *svc).cloned().collect::<Vec<_>>();
    let pair = |(a, o): &(Addr, Origin)| {
        let under = understudy(a, &like(&o.svc)).map_or("none".to_string(), |u| u.0.to_string());
        obj(vec![("service", text(&o.svc)), ("origin", text(a)), ("understudy", text(under))])
    };
    list(all.iter().map(pair).collect())
}
