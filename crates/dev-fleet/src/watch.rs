//! Waiting for a fleet, and telling it what operators would.
use crate::fleet::{DeniedSnafu, Fleet, OsSnafu, Result, WaitedSnafu};
use control_state::{obj, Role};
use runtime::env::Place;
use snafu::ResultExt;
use stand_ins::web;
use std::thread;
use std::time::{Duration, Instant};
use tinyjson::JsonValue;

impl Fleet {
    /// Away with all data of this fleet's folder.
    pub fn begin_empty(&self) -> Result<()> {
        let dir = self.dir.join("data");
        let gone = if dir.exists() { std::fs::remove_dir_all(&dir) } else { Ok(()) };
        gone.context(OsSnafu { what: dir.display().to_string() })
    }

    pub fn wait(&self, what: &str, secs: u64, ok: impl Fn() -> bool) -> Result<Duration> {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(secs) {
            if ok() {
                return Ok(began.elapsed());
            }
            thread::sleep(Duration::from_millis(50));
        }
        WaitedSnafu { what, secs }.fail()
    }

    pub fn ready(&self, p: &Place) -> bool {
        let a = web::agent(Duration::from_secs(1));
        web::get(&a, p.http, "lanewing/ready").is_some_and(|(s, _)| s == 200)
    }

    pub fn wait_ready(&self, secs: u64) -> Result<Duration> {
        self.wait("readiness of all nodes", secs, || self.env.nodes.iter().all(|p| self.ready(p)))
    }

    /// All origins of the settings are known and beat.
    pub fn wait_origins(&self, secs: u64) -> Result<()> {
        let a = web::agent(Duration::from_secs(1));
        let want = self.mix.origins.len();
        let edges = self.nodes(Role::Edge);
        let known = |p: &Place| {
            let v = web::get(&a, p.http, "lanewing/origins").map(|(_, v)| v);
            let m = v.and_then(|v| v.get::<std::collections::HashMap<String, JsonValue>>().cloned());
            let l = m.and_then(|m| m.get("origins").and_then(|o| o.get::<Vec<JsonValue>>().cloned()));
            l.is_some_and(|l| l.len() >= want)
        };
        self.wait("all origins at all edges", secs, || edges.iter().all(known)).map(|_| ())
    }

    pub fn change(&self, v: &JsonValue) -> Result<JsonValue> {
        let a = web::agent(Duration::from_secs(30));
        let mut last = (0, JsonValue::Null);
        for p in self.nodes(Role::Controller) {
            let got = web::post(&a, p.http, "lanewing/changes", v);
            match got {
                Some((200, v)) => return Ok(v),
                Some(x) => last = x,
                None => (),
            }
        }
        let body = last.1.stringify().unwrap_or_default();
        DeniedSnafu { what: "a change", status: last.0, body }.fail()
    }

    pub fn load_table(&self) -> Result<()> {
        for c in &self.mix.table {
            let id = control_state::text(format!("table-{}-{}", c.lane, c.svc));
            let mut row: std::collections::HashMap<String, JsonValue> =
                c.json.get().cloned().unwrap_or_default();
            row.insert("expect".into(), control_state::num(0));
            self.change(&obj(vec![("id", id), ("row", JsonValue::from(row))]))?;
        }
        Ok(())
    }
}
