//! The operator: the items of a small deployment, and calls that are repeated until accepted.
use crate::http::{ask, Answer, Ask};
use crate::record::Record;
use crate::words::w;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    /// The beginning of the kind's name.
    pub kind: &'static str,
    pub service: String,
    pub longest: u64,
    pub version: u64,
}

fn kind(k: &str) -> &str {
    match k {
        "cache" => w("cache"),
        k => k,
    }
}

/// A call that sets these routes (and services, with the limits, at the first one).
pub fn call(routes: &[Route], services: &[&str], version: u64, remove: &[(&str, u64)]) -> String {
    let columns = format!(
        "[\"name\",\"host\",\"{}\",\"{}\",\"{}\",\"{}\",\"priority\",\"attempts\",\"{}\",\"version\",\"service\"]",
        w("path-p"), w("route-t"), w("timeout"), w("target-m"), w("retention")
    );
    let row = |r: &Route| {
        let kept = if r.kind == "cache" { "20.0" } else { "null" };
        format!(
            "[\"{}\",\"{}\",\"{}\",\"{}\",{},400,1,2,{kept},{},\"{}\"]",
            r.name,
            r.host,
            r.prefix,
            kind(r.kind),
            r.longest,
            r.version,
            r.service
        )
    };
    let rows = routes.iter().map(row).collect::<Vec<_>>().join(",");
    let (set, cs, rs, ss) = (w("route-s"), w("column"), w("row-s"), w("service-s"));
    let mut up = format!("\"{set}\":{{\"{cs}\":{columns},\"{rs}\":[{rows}]}}");
    if !services.is_empty() {
        let one = |s: &&str| format!("[\"{s}\",\"/health\",140,\"h1\",false,false,null,{version}]");
        let rows = services.iter().map(one).collect::<Vec<_>>().join(",");
        up += &format!(
            ",\"{ss}\":{{\"{cs}\":[\"name\",\"{}\",\"{}\",\"protocol\",\"tls\",\"{}\",\"{}\",\"version\"],\"{rs}\":[{rows}]}}",
            w("health"), w("max-con"), w("self-d"), w("rate-p")
        );
        up += &format!(
            ",\"limits\":{{\"{}\":16384,\"{}\":67108864,\"{}\":3000,\"{}\":15000,\"version\":{version}}}",
            w("max-h"),
            w("max-b"),
            w("header-t"),
            w("idle")
        );
    }
    let gone = remove
        .iter()
        .map(|(n, v)| format!("{{\"name\":\"{n}\",\"version\":{v}}}"))
        .collect::<Vec<_>>()
        .join(",");
    format!("{{\"upsert\":{{{up}}},\"remove\":{{\"{set}\":[{gone}]}}}}")
}

pub fn post(at: SocketAddr, path: &str, body: &str, wait: Duration) -> std::io::Result<Answer> {
    let heads = vec![("Content-Type", "application/json".to_string())];
    ask(at, &Ask { method: "POST", path, host: "control", heads, body: body.as_bytes().to_vec() }, wait)
}

/// Repeats the call, at one node after the other, until it is accepted; whether it was.
pub fn modify(controls: &[SocketAddr], body: &str, most: Duration, record: &Record) -> bool {
    let (path, until) = (format!("/{}/modify", w("api/conf")), Instant::now() + most);
    for n in 0.. {
        let at = controls[n % controls.len()];
        let got = post(at, &path, body, Duration::from_secs(5));
        let said = got.as_ref().map(|a| a.status.to_string()).unwrap_or_else(|e| e.to_string());
        record.note(format!("operator: modify at {at}: {said}"));
        match got.map(|a| a.status) {
            Ok(200) => return true,
            Ok(400 | 409 | 412 | 413 | 422) => return false,
            _ if Instant::now() >= until => return false,
            _ => thread::sleep(Duration::from_millis(300)),
        }
    }
    false
}

pub fn retrieve(at: SocketAddr) -> std::io::Result<Answer> {
    let path = format!("/{}/retrieve", w("api/conf"));
    ask(
        at,
        &Ask { method: "GET", path: &path, host: "control", heads: vec![], body: vec![] },
        Duration::from_secs(5),
    )
}

pub fn ready(at: SocketAddr) -> bool {
    let path = format!("/{}", w("api/read"));
    let q = Ask { method: "GET", path: &path, host: "ready", heads: vec![], body: vec![] };
    ask(at, &q, Duration::from_secs(1)).is_ok_and(|a| a.status == 200)
}
