//! Parses changes of operators and heartbeats of origins.
use crate::command::*;
use crate::items::*;
use primitives::{Birth, JsonError, Look, Mono, NodeId, Reason, Span, Version};

type Result<T> = std::result::Result<T, JsonError>;

const KINDS: [(&str, Kind); 3] = [("read", Kind::Read), ("plain", Kind::Plain), ("keyed", Kind::Keyed)];
const MOODS: [(&str, Mood); 4] = [
    ("warming", Mood::Warming),
    ("serving", Mood::Serving),
    ("leaving", Mood::Leaving),
    ("gone", Mood::Gone),
];
/// Fields of a row in a change.
const ROW_FIELDS: [&str; 8] = ["lane", "service", "expect", "weight", "ceiling", "rank", "kind", "ttl_ms"];
/// The most purge scopes in one change.
const MAX_SCOPES: usize = 100;
/// The most bytes of a path prefix.
const MAX_PREFIX_BYTES: usize = 256;

fn lane(json: &Look) -> Result<Lane> {
    let field = json.field("lane")?;
    let name = field.name()?;
    let reserved = name == "lanewing" || name.contains('/');
    if reserved {
        return field.bad(Reason::Not { what: "a name without / and other than lanewing" });
    }
    Ok(Lane(name))
}

fn svc(json: &Look) -> Result<Svc> {
    json.field("service")?.name().map(Svc)
}

/// A row as an operator writes it.
pub fn parse_row(json: &Look) -> Result<Row> {
    let kind = json.field("kind")?.one_of(&KINDS)?;
    let ttl = json.opt("ttl_ms")?.map(|field| field.num(0, 86_400_000)).transpose()?.unwrap_or(0);
    Ok(Row {
        weight: json.field("weight")?.num(0, 1_000_000)? as u32,
        ceiling: json.field("ceiling")?.num(1, 1_000_000)? as u32,
        rank: json.field("rank")?.num(0, 9)? as u8,
        kind,
        ttl: Span::ms(ttl),
    })
}

fn expect(json: &Look) -> Result<Version> {
    json.field("expect")?.num(0, u32::MAX as u64).map(Version)
}

fn node(json: &Look) -> Result<NodeId> {
    json.num(0, 1 << 53).map(NodeId)
}

/// A change: an id and exactly one operation.
pub fn parse_change(json: &Look) -> Result<Change> {
    let ops = ["row", "delete", "purge", "drain_node", "remove_node"];
    json.only(&[&["id"], &ops[..]].concat())?;
    let id = json.field("id")?.name()?;
    let mut present = vec![];
    for name in ops {
        present.extend(json.opt(name)?.map(|field| (name, field)));
    }
    if present.len() != 1 {
        return json.bad(Reason::Not { what: "one of row, delete, purge, drain_node, remove_node" });
    }
    let (name, field) = &present[0];
    let op = match *name {
        "row" => {
            field.only(&ROW_FIELDS)?;
            Op::Row {
                lane: lane(field)?,
                svc: svc(field)?,
                expect: expect(field)?,
                row: Some(parse_row(field)?),
            }
        }
        "delete" => {
            field.only(&["lane", "service", "expect"])?;
            Op::Row { lane: lane(field)?, svc: svc(field)?, expect: expect(field)?, row: None }
        }
        "purge" => Op::Purge(scopes(field)?),
        "drain_node" => Op::DrainNode(node(field)?),
        _ => Op::RemoveNode(node(field)?),
    };
    Ok(Change { id: Some(ChangeId(id)), op })
}

fn scopes(field: &Look) -> Result<Vec<(Svc, String)>> {
    let scopes = field.list()?;
    if scopes.is_empty() || scopes.len() > MAX_SCOPES {
        return field.bad(Reason::Not { what: "a list of 1 to 100 scopes" });
    }
    let parse_scope = |scope: &Look| {
        scope.only(&["service", "prefix"])?;
        let prefix_field = scope.field("prefix")?;
        let prefix = prefix_field.text()?;
        if prefix.len() > MAX_PREFIX_BYTES {
            return prefix_field.bad(Reason::Not { what: "a text of at most 256 bytes" });
        }
        Ok((svc(scope)?, prefix))
    };
    scopes.iter().map(parse_scope).collect()
}

/// An `OriginHeartbeat`, and `mark` if its origin returns it: the time of the last reply to it, by the clock
/// of the controller that sent the reply.
pub fn parse_heartbeat(json: &Look) -> Result<(OriginHeartbeat, Option<Mono>)> {
    json.only(&["service", "address", "birth", "zone", "cap", "occupancy", "mood", "mark"])?;
    let mark = json.opt("mark")?.map(|field| field.num(1, 1 << 53)).transpose()?.map(Mono);
    let origin_heartbeat = OriginHeartbeat {
        svc: svc(json)?,
        addr: json.field("address")?.parsed("an address such as 10.0.0.1:80")?,
        birth: Birth(json.field("birth")?.num(1, 1 << 53)?),
        zone: Zone(json.field("zone")?.name()?),
        cap: json.field("cap")?.num(1, 1_000_000)? as u32,
        occupancy: json.field("occupancy")?.num(0, 1_000_000)? as u32,
        mood: json.field("mood")?.one_of(&MOODS)?,
        seq: 0,
        tag: String::new(),
    };
    Ok((origin_heartbeat, mark))
}
