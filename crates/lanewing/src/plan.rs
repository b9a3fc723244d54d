//! JSON Patch over the table: what it would change, and, if wanted, doing it.
use crate::args::{id, op};
use crate::kernel::{Plugin, PLUGINS};
use crate::ops::{change_id, fetch, send, OpsProblem};
use clap::{Arg, ArgAction, ArgMatches, Command};
use linkme::distributed_slice;
use primitives::{parse, Look};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use tinyjson::JsonValue;

/// Lane and service.
type Cell = (String, String);

#[distributed_slice(PLUGINS)]
static PLAN: Plugin = Plugin { place: 2, commands: || vec![command()], run: |_, m| Ok(run(m)?) };

fn command() -> Command {
    let op = op("plan", "Show what a JSON Patch would change in the table").arg(id());
    op.arg(Arg::new("file").required(true).help("A JSON Patch (RFC 6902) over {lane: {service: row}}")).arg(
        Arg::new("apply").long("apply").action(ArgAction::SetTrue).help("Carry the plan out, row by row"),
    )
}

/// The table as a document to patch, and each row's version.
fn document(table: &Value) -> (Value, BTreeMap<Cell, u64>) {
    let (mut doc, mut versions) = (Map::new(), BTreeMap::new());
    for r in table["rows"].as_array().into_iter().flatten() {
        let t = |n: &str| r[n].as_str().unwrap_or_default().to_string();
        let cell = (t("lane"), t("service"));
        versions.insert(cell.clone(), r["version"].as_f64().unwrap_or(0.0) as u64);
        let mut row = r.as_object().cloned().unwrap_or_default();
        row.retain(|k, _| !["lane", "service", "version"].contains(&k.as_str()));
        let lane = doc.entry(cell.0).or_insert_with(|| Value::Object(Map::new()));
        lane.as_object_mut().into_iter().for_each(|l| {
            l.insert(cell.1.clone(), Value::Object(row.clone()));
        });
    }
    (Value::Object(doc), versions)
}

fn cells(doc: &Value) -> BTreeMap<Cell, Value> {
    let lanes = doc.as_object().into_iter().flatten();
    let rows = lanes.flat_map(|(l, s)| {
        s.as_object().into_iter().flatten().map(move |(s, r)| ((l.clone(), s.clone()), r.clone()))
    });
    rows.collect()
}

/// One change for each row that differs, with the version it was planned on.
fn changes(before: &Value, after: &Value, versions: &BTreeMap<Cell, u64>, id: &str) -> Vec<Value> {
    let (was, is) = (cells(before), cells(after));
    let all: BTreeSet<&Cell> = was.keys().chain(is.keys()).collect();
    let differs = all.into_iter().filter(|c| was.get(c) != is.get(c));
    let one = |c: &Cell| {
        let expect = versions.get(c).copied().unwrap_or(0);
        let mut row = match is.get(c) {
            Some(Value::Object(r)) => r.clone(),
            Some(other) => Map::from_iter([("row".to_string(), other.clone())]),
            None => Map::new(),
        };
        let name = if is.contains_key(c) { "row" } else { "delete" };
        row.insert("lane".into(), c.0.clone().into());
        row.insert("service".into(), c.1.clone().into());
        row.insert("expect".into(), expect.into());
        Value::Object(Map::from_iter([
            ("id".to_string(), format!("{id}-{}-{}", c.0, c.1).into()),
            (name.to_string(), Value::Object(row)),
        ]))
    };
    differs.map(one).collect()
}

fn run(m: &ArgMatches) -> Result<(), OpsProblem> {
    let path = m.get_one::<String>("file").expect("required").clone();
    let s =
        std::fs::read_to_string(&path).map_err(|source| OpsProblem::File { path: path.clone(), source })?;
    let bad = |source: serde_json::Error| OpsProblem::Patch { reason: source.to_string() };
    let patch: json_patch::Patch = serde_json::from_str(&s).map_err(bad)?;
    let table = fetch(m, "lanewing/table")?.stringify().unwrap_or_default();
    let (before, versions) = document(&serde_json::from_str(&table).map_err(bad)?);
    let mut after = before.clone();
    json_patch::patch(&mut after, &patch).map_err(|e| OpsProblem::Patch { reason: e.to_string() })?;
    let mut plan: Vec<(String, JsonValue)> = vec![];
    for c in changes(&before, &after, &versions, &change_id(m)) {
        let v = parse(&c.to_string())?;
        // All rows are checked before any is sent.
        let read = control_state::read_change(&Look::at(&v, ""))?;
        plan.push((read.id.map_or(String::new(), |i| i.0), v));
    }
    plan.iter().for_each(|(_, v)| println!("{}", v.stringify().unwrap_or_default()));
    let word = if m.get_flag("apply") { "changes" } else { "changes planned; --apply carries them out" };
    println!("{} {word}", plan.len());
    if m.get_flag("apply") {
        plan.iter().try_for_each(|(id, v)| send(m, id, v))?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn given_a_patch_then_its_plan_holds_a_change_for_each_row_that_differs_and_no_other() {
        let table = r#"{"rows": [
            {"lane": "a", "service": "x", "version": 3, "weight": 1, "ceiling": 5, "rank": 0, "kind": "read", "ttl_ms": 1},
            {"lane": "a", "service": "y", "version": 7, "weight": 1, "ceiling": 5, "rank": 0, "kind": "read", "ttl_ms": 1},
            {"lane": "b", "service": "x", "version": 2, "weight": 1, "ceiling": 5, "rank": 0, "kind": "read", "ttl_ms": 1}]}"#;
        let patch = r#"[{"op": "test", "path": "/a/x/weight", "value": 1},
            {"op": "replace", "path": "/a/x/weight", "value": 4},
            {"op": "remove", "path": "/a/y"},
            {"op": "copy", "from": "/b", "path": "/c"}]"#;
        let (before, versions) = document(&serde_json::from_str(table).unwrap());
        let mut after = before.clone();
        let p: json_patch::Patch = serde_json::from_str(patch).unwrap();
        json_patch::patch(&mut after, &p).unwrap();
        let all = changes(&before, &after, &versions, "p");
        let said: Vec<String> = all.iter().map(|c| c.to_string()).collect();
        assert_eq!(all.len(), 3, "{said:?}");
        assert_eq!(all[0]["row"]["expect"], 3);
        assert_eq!(all[0]["row"]["weight"], 4);
        assert_eq!(all[1]["delete"]["expect"], 7);
        assert_eq!((&all[2]["row"]["lane"], &all[2]["row"]["expect"]), (&Value::from("c"), &Value::from(0)));
        for c in said {
            control_state::read_change(&Look::at(&parse(&c).unwrap(), "")).unwrap();
        }
    }
}
