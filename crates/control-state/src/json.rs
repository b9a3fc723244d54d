//! The control state as JSON, for operators, and helpers to build JSON values.
use crate::configuration::PurgeBy;
use crate::items::*;
use crate::roll::Seat;
use crate::state::*;
use crate::verdict::Verdict;
use primitives::Span;
use std::collections::HashMap;
use tinyjson::JsonValue;

/// A JSON object.
pub fn obj(fields: Vec<(&str, JsonValue)>) -> JsonValue {
    let members: HashMap<String, JsonValue> =
        fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect();
    JsonValue::from(members)
}

/// A JSON string.
pub fn text(value: impl ToString) -> JsonValue {
    JsonValue::from(value.to_string())
}

/// A JSON number; exact up to 2^53.
pub fn num(n: u64) -> JsonValue {
    JsonValue::from(n as f64)
}

/// A JSON array.
pub fn list(values: Vec<JsonValue>) -> JsonValue {
    JsonValue::from(values)
}

/// The name of a kind in requests and answers of the HTTP interface.
pub fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Read => "read",
        Kind::Plain => "plain",
        Kind::Once => "once",
        Kind::Keyed => "keyed",
    }
}

fn standing_json(standing: Standing) -> JsonValue {
    text(if standing == Standing::Serving { "serving" } else { "leaving" })
}

/// An item with its key and version; a tombstone has `deleted`.
pub fn item_json(key: &Key, item: &Item) -> JsonValue {
    let mut fields = vec![("version", num(item.ver.0))];
    match key {
        Key::Row(route, service) => fields.extend([("lane", text(route)), ("service", text(service))]),
        Key::Origin(addr) => fields.push(("address", text(addr))),
        Key::Node(id) => fields.push(("node", num(id.0))),
        Key::Roll => fields.push(("roll", text("ledger"))),
        Key::Entry(_, name) => fields.push(("name", text(name))),
        Key::PurgeBy(PurgeBy::Page(host, path)) => {
            fields.extend([("host", text(host)), ("path", text(path))])
        }
        Key::PurgeBy(PurgeBy::Tag(tag)) => fields.push(("tag", text(tag))),
        Key::Purge(service, prefix) => fields.extend([("service", text(service)), ("prefix", text(prefix))]),
    }
    match &item.body {
        None => fields.push(("deleted", JsonValue::from(true))),
        Some(Body::Row(row)) => fields.extend([
            ("weight", num(row.weight as u64)),
            ("ceiling", num(row.ceiling as u64)),
            ("rank", num(row.rank as u64)),
            ("kind", text(kind_name(row.kind))),
            ("ttl_ms", num(row.ttl.as_ms())),
        ]),
        Some(Body::Origin(origin)) => fields.extend([
            ("service", text(&origin.svc)),
            ("birth", text(origin.birth)),
            ("zone", text(&origin.zone)),
            ("cap", num(origin.cap as u64)),
            ("standing", standing_json(origin.standing)),
        ]),
        Some(Body::Node(node)) => fields.extend([
            ("role", text(format!("{:?}", node.role).to_lowercase())),
            ("cohort", text(node.addr)),
            ("http", text(node.http)),
            ("zone", text(&node.zone)),
            ("birth", text(node.birth)),
            ("standing", standing_json(node.standing)),
        ]),
        Some(Body::Roll(roll)) => {
            fields.push(("sets", list(roll.sets.iter().map(|set| slots_json(set)).collect())))
        }
        Some(Body::Lane(route)) => fields.push(("lane", text(&route.said))),
        Some(Body::Service(service)) => fields.push(("service", text(&service.said))),
        Some(Body::Limits(limits)) => fields.push(("limits", text(&limits.said))),
        Some(Body::Purge) => (),
    }
    obj(fields)
}

fn slots_json(set: &[Seat]) -> JsonValue {
    list(set.iter().map(|slot| obj(vec![("node", num(slot.id.0)), ("cohort", text(slot.addr))])).collect())
}

/// The existing items whose keys satisfy `want`; with `all` also the tombstones.
pub fn show_items(state: &ControlState, all: bool, want: fn(&Key) -> bool) -> JsonValue {
    let selected = state.items.iter().filter(|(key, item)| want(key) && (all || item.body.is_some()));
    list(selected.map(|(key, item)| item_json(key, item)).collect())
}

/// The current controllers.
pub fn members_json(state: &ControlState) -> JsonValue {
    let member_json = |member: &Member| {
        obj(vec![
            ("controller", num(member.member_id.0 as u64)),
            ("cohort", text(member.addr)),
            ("http", text(member.http)),
            ("zone", text(&member.zone)),
        ])
    };
    list(state.members.iter().map(member_json).collect())
}

/// Heartbeats of origins, with their ages.
pub fn heartbeats_json(heartbeats: &[(OriginHeartbeat, Span)]) -> JsonValue {
    let heartbeat_json = |(origin_heartbeat, age): &(OriginHeartbeat, Span)| {
        obj(vec![
            ("service", text(&origin_heartbeat.svc)),
            ("address", text(origin_heartbeat.addr)),
            ("zone", text(&origin_heartbeat.zone)),
            ("mood", text(format!("{:?}", origin_heartbeat.mood).to_lowercase())),
            ("occupancy", num(origin_heartbeat.occupancy as u64)),
            ("cap", num(origin_heartbeat.cap as u64)),
            ("age_ms", num(age.as_ms())),
        ])
    };
    list(heartbeats.iter().map(heartbeat_json).collect())
}

/// The result of a change: the changed keys, or the problem.
pub fn verdict_json(verdict: &Verdict) -> JsonValue {
    match verdict {
        Verdict::Done(changed) => {
            let changed_json = |(key, version): &(Key, primitives::Version)| {
                item_json(key, &Item { ver: *version, body: Some(Body::Purge) })
            };
            obj(vec![("done", list(changed.iter().map(changed_json).collect()))])
        }
        Verdict::Stale(key, current) => {
            obj(vec![("problem", text("stale")), ("current", item_json(key, current))])
        }
        Verdict::InvalidEdit(reason) => obj(vec![("problem", text("invalid")), ("reason", text(reason))]),
        Verdict::Conflict(number) => obj(vec![("problem", text("conflict")), ("reason", text(number))]),
        Verdict::Forgotten(number) => obj(vec![("problem", text("forgotten")), ("reason", text(number))]),
        Verdict::Void(reason) => obj(vec![("problem", text(format!("{reason:?}")))]),
    }
}
