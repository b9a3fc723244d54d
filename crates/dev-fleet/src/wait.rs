//! Waiting for a fleet, and sending it changes as operators do.
use crate::error::*;
use crate::fleet::Fleet;
use control_state::{num, obj, text, Role};
use primitives::Addr;
use runtime::settings::Place;
use stand_ins::mix::TableRow;
use stand_ins::web;
use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};
use tinyjson::JsonValue;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// The fields of a JSON object.
pub(crate) type Fields = HashMap<String, JsonValue>;

/// How many origins an edge says that it knows.
fn known_origins(at: Addr) -> Option<usize> {
    let (_, answer) = web::get(&web::agent(QUERY_TIMEOUT), at, "lanewing/origins")?;
    let fields: &Fields = answer.get()?;
    let origins: &Vec<JsonValue> = fields.get("origins")?.get()?;
    Some(origins.len())
}

impl Fleet {
    /// Polls until `ok` holds, at most so many seconds; returns how long it took.
    pub fn wait(&self, what: &str, secs: u64, ok: impl Fn() -> bool) -> Result<Duration> {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(secs) {
            if ok() {
                return Ok(began.elapsed());
            }
            thread::sleep(POLL_INTERVAL);
        }
        TimedOutSnafu { what, secs }.fail()
    }

    /// Whether a node says that it is ready.
    pub fn ready(&self, place: &Place) -> bool {
        let agent = web::agent(QUERY_TIMEOUT);
        web::get(&agent, place.http, "lanewing/ready").is_some_and(|(status, _)| status == 200)
    }

    /// Waits until all nodes are ready.
    pub fn wait_ready(&self, secs: u64) -> Result<Duration> {
        let ready = || self.env.nodes.iter().all(|place| self.ready(place));
        self.wait("readiness of all nodes", secs, ready)
    }

    /// Waits until every edge knows as many origins as the settings have.
    pub fn wait_origins(&self, secs: u64) -> Result<()> {
        let expected = self.mix.origins.len();
        let edges = self.nodes(Role::Edge);
        let known = |edge: &Place| known_origins(edge.http).is_some_and(|known| known >= expected);
        self.wait("all origins at all edges", secs, || edges.iter().all(known)).map(|_| ())
    }

    /// Sends a change to the controllers in turn until one takes it.
    pub fn change(&self, change: &JsonValue) -> Result<JsonValue> {
        let agent = web::agent(CHANGE_TIMEOUT);
        let mut last = (0, JsonValue::Null);
        for place in self.nodes(Role::Controller) {
            match web::post(&agent, place.http, "lanewing/changes", change) {
                Some((200, answer)) => return Ok(answer),
                Some(refusal) => last = refusal,
                None => (),
            }
        }
        let (status, body) = (last.0, last.1.stringify().unwrap_or_default());
        DeniedSnafu { what: "a change", status, body }.fail()
    }

    /// Sends a row of the settings, to replace the row's version `expect`.
    pub(crate) fn change_row(&self, id: &str, row: &TableRow, expect: u64) -> Result<()> {
        let mut fields: Fields = row.json.get().cloned().unwrap_or_default();
        fields.insert("expect".into(), num(expect));
        self.change(&obj(vec![("id", text(id)), ("row", JsonValue::from(fields))]))?;
        Ok(())
    }

    /// Adds all rows of the settings to an empty table.
    pub fn load_table(&self) -> Result<()> {
        let id = |row: &TableRow| format!("table-{}-{}", row.lane, row.svc);
        self.mix.table.iter().try_for_each(|row| self.change_row(&id(row), row, 0))
    }
}
