//! The control state as JSON, for operators.
use crate::configuration::PurgeBy;
use crate::items::*;
use crate::roll::Seat;
use crate::state::*;
use crate::verdict::Verdict;
use primitives::Span;
use std::collections::HashMap;
use tinyjson::JsonValue;

pub fn obj(fields: Vec<(&str, JsonValue)>) -> JsonValue {
    let m: HashMap<String, JsonValue> = fields.into_iter().map(|(k, v)| (k.to_string(), v)).collect();
    JsonValue::from(m)
}

pub fn text(s: impl ToString) -> JsonValue {
    JsonValue::from(s.to_string())
}

pub fn num(n: u64) -> JsonValue {
    JsonValue::from(n as f64)
}

pub fn list(v: Vec<JsonValue>) -> JsonValue {
    JsonValue::from(v)
}

pub fn kind_name(k: Kind) -> &'static str {
    match k {
        Kind::Read => "read",
        Kind::Plain => "plain",
        Kind::Once => "once",
        Kind::Keyed => "keyed",
    }
}

fn standing(s: Standing) -> JsonValue {
    text(if s == Standing::Serving { "serving" } else { "leaving" })
}

pub fn item_json(k: &Key, it: &Item) -> JsonValue {
    let mut f = vec![("version", num(it.ver.0))];
    match k {
        Key::Row(l, s) => f.extend([("lane", text(l)), ("service", text(s))]),
        Key::Origin(a) => f.push(("address", text(a))),
        Key::Node(n) => f.push(("node", num(n.0))),
        Key::Roll => f.push(("roll", text("ledger"))),
        Key::Entry(_, n) => f.push(("name", text(n))),
        Key::PurgeBy(PurgeBy::Page(h, p)) => f.extend([("host", text(h)), ("path", text(p))]),
        Key::PurgeBy(PurgeBy::Tag(t)) => f.push(("tag", text(t))),
        Key::Purge(s, p) => f.extend([("service", text(s)), ("prefix", text(p))]),
    }
    match &it.body {
        None => f.push(("deleted", JsonValue::from(true))),
        Some(Body::Row(r)) => f.extend([
            ("weight", num(r.weight as u64)),
            ("ceiling", num(r.ceiling as u64)),
            ("rank", num(r.rank as u64)),
            ("kind", text(kind_name(r.kind))),
            ("ttl_ms", num(r.ttl.as_ms())),
        ]),
        Some(Body::Origin(o)) => f.extend([
            ("service", text(&o.svc)),
            ("birth", text(o.birth)),
            ("zone", text(&o.zone)),
            ("cap", num(o.cap as u64)),
            ("standing", standing(o.standing)),
        ]),
        Some(Body::Node(n)) => f.extend([
            ("role", text(format!("{:?}", n.role).to_lowercase())),
            ("cohort", text(n.addr)),
            ("http", text(n.http)),
            ("zone", text(&n.zone)),
            ("birth", text(n.birth)),
            ("standing", standing(n.standing)),
        ]),
        Some(Body::Roll(r)) => f.push(("sets", list(r.sets.iter().map(|s| show_seats(s)).collect()))),
        Some(Body::Lane(l)) => f.push(("lane", text(&l.said))),
        Some(Body::Service(s)) => f.push(("service", text(&s.said))),
        Some(Body::Limits(l)) => f.push(("limits", text(&l.said))),
        Some(Body::Purge) => (),
    }
    obj(f)
}

fn show_seats(s: &[Seat]) -> JsonValue {
    list(s.iter().map(|s| obj(vec![("node", num(s.id.0)), ("cohort", text(s.addr))])).collect())
}

/// The live items of one sort, or with `all` the tombstones too.
pub fn show_items(p: &ControlState, all: bool, want: fn(&Key) -> bool) -> JsonValue {
    let live = p.items.iter().filter(|(k, it)| want(k) && (all || it.body.is_some()));
    list(live.map(|(k, it)| item_json(k, it)).collect())
}

pub fn members_json(p: &ControlState) -> JsonValue {
    let one = |m: &Member| {
        obj(vec![
            ("controller", num(m.member_id.0 as u64)),
            ("cohort", text(m.addr)),
            ("http", text(m.http)),
            ("zone", text(&m.zone)),
        ])
    };
    list(p.members.iter().map(one).collect())
}

pub fn heartbeats_json(beats: &[(OriginHeartbeat, Span)]) -> JsonValue {
    let one = |(b, age): &(OriginHeartbeat, Span)| {
        obj(vec![
            ("service", text(&b.svc)),
            ("address", text(b.addr)),
            ("zone", text(&b.zone)),
            ("mood", text(format!("{:?}", b.mood).to_lowercase())),
            ("occupancy", num(b.occupancy as u64)),
            ("cap", num(b.cap as u64)),
            ("age_ms", num(age.as_ms())),
        ])
    };
    list(beats.iter().map(one).collect())
}

pub fn verdict_json(v: &Verdict) -> JsonValue {
    match v {
        Verdict::Done(ks) => {
            let one = |(k, v): &(Key, primitives::Version)| {
                item_json(k, &Item { ver: *v, body: Some(Body::Purge) })
            };
            obj(vec![("done", list(ks.iter().map(one).collect()))])
        }
        Verdict::Stale(k, it) => obj(vec![("problem", text("stale")), ("current", item_json(k, it))]),
        Verdict::InvalidEdit(w) => obj(vec![("problem", text("invalid")), ("reason", text(w))]),
        Verdict::Conflict(c) => obj(vec![("problem", text("conflict")), ("reason", text(c))]),
        Verdict::Forgotten(c) => obj(vec![("problem", text("forgotten")), ("reason", text(c))]),
        Verdict::Void(w) => obj(vec![("problem", text(format!("{w:?}")))]),
    }
}
