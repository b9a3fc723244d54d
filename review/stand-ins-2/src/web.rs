//! The operator and callers of a case.
use crate::http::{self, Message};
use crate::words::Words;
use std::net::SocketAddr;
use std::time::Duration;

const OPERATOR_WAIT: Duration = Duration::from_secs(5);

/// A route of the configuration.
pub struct Route {
    pub name: String,
    pub host: &'static str,
    pub prefix: String,
    /// The route's type; `None` is the one whose answers may be held.
    pub kind: Option<&'static str>,
    pub limit_ms: u64,
    pub service: String,
}

fn routes_part(words: &Words, routes: &[Route], version: u64) -> String {
    let f = |index: usize| words.field(index);
    let columns =
        ["name", "host", f(4), f(5), f(7), f(8), "priority", "attempts", f(9), "version", "service"];
    let columns: Vec<String> = columns.iter().map(|c| format!("\"{c}\"")).collect();
    let row = |r: &Route| {
        let (kind, held) = (r.kind.unwrap_or(f(6)), if r.kind.is_none() { "40.0" } else { "null" });
        let Route { name, host, prefix, limit_ms, service, .. } = r;
        format!("[\"{name}\",\"{host}\",\"{prefix}\",\"{kind}\",{limit_ms},400,1,2,{held},{version},\"{service}\"]")
    };
    let rows: Vec<String> = routes.iter().map(row).collect();
    format!("\"{}\":{{\"{}\":[{}],\"{}\":[{}]}}", f(2), f(0), columns.join(","), f(1), rows.join(","))
}

fn services_part(words: &Words, services: &[&str], version: u64) -> String {
    let f = |index: usize| words.field(index);
    let rows = services.iter().map(|s| format!("[\"{s}\",\"/health\",140,false,null,{version}]"));
    let rows: Vec<String> = rows.collect();
    let columns = ["name", f(10), f(11), f(12), f(13), "version"].map(|c| format!("\"{c}\"")).join(",");
    format!("\"{}\":{{\"{}\":[{columns}],\"{}\":[{}]}}", f(3), f(0), f(1), rows.join(","))
}

/// The first call of an operator: all routes, their services and the limits, with one version.
pub fn configuration(words: &Words, routes: &[Route], version: u64) -> String {
    let f = |index: usize| words.field(index);
    let mut services: Vec<&str> = routes.iter().map(|r| r.service.as_str()).collect();
    services.sort();
    services.dedup();
    let figures = [(14, 16384), (15, 67_108_864), (16, 3000), (17, 15_000)];
    let limits = figures.map(|(index, n)| format!("\"{}\":{n}", f(index))).join(",");
    let (routes, services) = (routes_part(words, routes, version), services_part(words, &services, version));
    format!("{{\"upsert\":{{{routes},{services},\"limits\":{{{limits},\"version\":{version}}}}}}}")
}

/// A later call that sets one route.
pub fn set_route(words: &Words, route: &Route, version: u64) -> String {
    format!("{{\"upsert\":{{{}}}}}", routes_part(words, std::slice::from_ref(route), version))
}

/// A later call that sets one service.
pub fn set_service(words: &Words, service: &str, version: u64) -> String {
    format!("{{\"upsert\":{{{}}}}}", services_part(words, &[service], version))
}

/// Reads the configuration back; `None` if the answer is not a 200.
pub fn retrieve(words: &Words, from: SocketAddr) -> Option<String> {
    let path = format!("/{}/retrieve", words.configuration_path());
    let request = http::request("GET", &path, &[("Host", from.to_string())], b"");
    let answer = http::call(from, &request, OPERATOR_WAIT).filter(|a| a.status() == 200)?;
    String::from_utf8(answer.body).ok()
}

/// Sends a configuration; returns the status of the answer.
pub fn modify(words: &Words, to: SocketAddr, configuration: &str) -> Option<u16> {
    let fields = [("Host", to.to_string()), ("Content-Type", "application/json".into())];
    let path = format!("/{}/modify", words.configuration_path());
    let request = http::request("POST", &path, &fields, configuration.as_bytes());
    http::call(to, &request, OPERATOR_WAIT).map(|a| a.status())
}

/// A caller's request, sent on a connection of its own.
pub struct Call<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub time_left_ms: u64,
    pub more: Vec<(&'a str, String)>,
    pub body: &'a [u8],
}

impl Call<'_> {
    pub fn bytes(&self, words: &Words) -> Vec<u8> {
        let mut fields = vec![
            ("Host", self.host.to_string()),
            (words.request_id(), self.id.to_string()),
            (words.time_left(), self.time_left_ms.to_string()),
        ];
        fields.extend(self.key.map(|k| (words.key(), k.to_string())));
        fields.extend(self.more.iter().cloned());
        http::request(self.method, self.path, &fields, self.body)
    }

    /// Sends it; waits a little longer than the caller's time for the answer.
    pub fn send(&self, words: &Words, to: SocketAddr) -> Option<Message> {
        http::call(to, &self.bytes(words), Duration::from_millis(self.time_left_ms + 500))
    }
}
