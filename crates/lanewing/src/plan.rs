//! Plug-in with the `plan` subcommand: translates a JSON Patch of the table into changes, prints
//! them and, with `--apply`, sends them.
use crate::args::{flag, id, operator_command};
use crate::kernel::{Plugin, PLUGINS};
use crate::operator::{change_id, fetch, read_file, send, OperatorError};
use clap::{Arg, ArgMatches, Command};
use json_patch::Patch;
use linkme::distributed_slice;
use primitives::{parse, Look};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use tinyjson::JsonValue;

/// Fields of a row that identify it or its version; they are not part of the document to patch.
const NAMING_FIELDS: [&str; 3] = ["lane", "service", "version"];

/// Identifies a row: lane and service.
type RowName = (String, String);

#[distributed_slice(PLUGINS)]
static PLAN: Plugin = Plugin { place: 2, commands: || vec![command()], run: |_, matches| Ok(run(matches)?) };

fn command() -> Command {
    let file = Arg::new("file").required(true);
    operator_command("plan", "Show what a JSON Patch would change in the table")
        .arg(id())
        .arg(file.help("A JSON Patch (RFC 6902) over {lane: {service: row}}"))
        .arg(flag("apply", "Send the planned changes, one row at a time"))
}

/// The table as a document to patch, `{lane: {service: row}}`, and each row's version.
fn document(table: &Value) -> (Value, BTreeMap<RowName, u64>) {
    let (mut lanes, mut versions) = (Map::new(), BTreeMap::new());
    for row in table["rows"].as_array().into_iter().flatten() {
        let field = |name: &str| row[name].as_str().unwrap_or_default().to_string();
        let (lane, service) = (field("lane"), field("service"));
        let version = row["version"].as_f64().unwrap_or(0.0) as u64;
        versions.insert((lane.clone(), service.clone()), version);
        let mut fields = row.as_object().cloned().unwrap_or_default();
        fields.retain(|name, _| !NAMING_FIELDS.contains(&name.as_str()));
        let services = lanes.entry(lane).or_insert_with(|| Value::Object(Map::new()));
        if let Some(services) = services.as_object_mut() {
            services.insert(service, Value::Object(fields));
        }
    }
    (Value::Object(lanes), versions)
}

/// The rows of a document, by name.
fn rows(document: &Value) -> BTreeMap<RowName, Value> {
    let mut rows = BTreeMap::new();
    for (lane, services) in document.as_object().into_iter().flatten() {
        for (service, row) in services.as_object().into_iter().flatten() {
            rows.insert((lane.clone(), service.clone()), row.clone());
        }
    }
    rows
}

/// One change for each row that differs. It expects the version that the plan is based on.
fn changes(before: &Value, after: &Value, versions: &BTreeMap<RowName, u64>, id: &str) -> Vec<Value> {
    let (before, after) = (rows(before), rows(after));
    let names: BTreeSet<&RowName> = before.keys().chain(after.keys()).collect();
    let differing = names.into_iter().filter(|name| before.get(name) != after.get(name));
    let change = |name: &RowName| {
        let version = versions.get(name).copied().unwrap_or(0);
        change(name, after.get(name), version, &format!("{id}-{}-{}", name.0, name.1))
    };
    differing.map(change).collect()
}

/// The change that sets a row, or deletes it if `row` is `None`.
fn change(name: &RowName, row: Option<&Value>, version: u64, id: &str) -> Value {
    let mut fields = match row {
        Some(Value::Object(fields)) => fields.clone(),
        // Not a row: parsing the change reports the error.
        Some(other) => Map::from_iter([("row".to_string(), other.clone())]),
        None => Map::new(),
    };
    fields.insert("lane".into(), name.0.clone().into());
    fields.insert("service".into(), name.1.clone().into());
    fields.insert("expect".into(), version.into());
    let operation = if row.is_some() { "row" } else { "delete" };
    let id = ("id".to_string(), id.into());
    Value::Object(Map::from_iter([id, (operation.to_string(), Value::Object(fields))]))
}

/// A change that was checked locally, and its id.
struct PlannedChange {
    id: String,
    json: JsonValue,
}

fn check(change: &Value) -> Result<PlannedChange, OperatorError> {
    let json = parse(&change.to_string())?;
    let parsed = control_state::parse_change(&Look::at(&json, ""))?;
    Ok(PlannedChange { id: parsed.id.map_or(String::new(), |id| id.0), json })
}

fn patch_error(error: impl std::error::Error) -> OperatorError {
    OperatorError::Patch { reason: error.to_string() }
}

fn run(matches: &ArgMatches) -> Result<(), OperatorError> {
    let path = matches.get_one::<String>("file").expect("required");
    let patch: Patch = serde_json::from_str(&read_file(path)?).map_err(patch_error)?;
    let table = fetch(matches, "lanewing/table")?.stringify().unwrap_or_default();
    let (before, versions) = document(&serde_json::from_str(&table).map_err(patch_error)?);
    let mut after = before.clone();
    json_patch::patch(&mut after, &patch).map_err(patch_error)?;
    // All changes are checked before the first is sent.
    let changes = changes(&before, &after, &versions, &change_id(matches));
    let plan = changes.iter().map(check).collect::<Result<Vec<PlannedChange>, _>>()?;
    plan.iter().for_each(|change| println!("{}", change.json.stringify().unwrap_or_default()));
    if !matches.get_flag("apply") {
        println!("{} changes planned; --apply carries them out", plan.len());
        return Ok(());
    }
    println!("{} changes", plan.len());
    plan.iter().try_for_each(|change| send(matches, &change.id, &change.json))
}

#[cfg(test)]
mod tests;
