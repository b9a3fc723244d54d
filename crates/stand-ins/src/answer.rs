//! One request of the load client, its answer, and whether that answer is allowed.
use crate::content::service_of;
use crate::load_client::{LoadClientEnv, PurgedEdition};
use crate::mix::LaneShare;
use control_state::Kind;
use primitives::Addr;
use std::collections::HashMap;
use std::fmt;
use std::io::ErrorKind;
use std::str::FromStr;
use tinyjson::JsonValue;
use ureq::http::Response;
use ureq::{Agent, Body};

/// How much older than allowed an answer may be, in milliseconds.
const GRACE_MS: u64 = 2000;
/// Other transport errors are counted by the start of their message.
const LONGEST_ERROR: usize = 40;
/// The header by which the stub origin returns what the caller sent.
const CALLER_HEADER: &str = "X-Load-Client";

/// Where the edge says that an answer comes from.
#[derive(Clone, Debug, PartialEq)]
enum Provenance {
    Origin,
    Copy,
    /// The recorded outcome of an idempotency key.
    Record,
    Other(String),
}

impl From<String> for Provenance {
    fn from(name: String) -> Provenance {
        match name.as_str() {
            "origin" => Provenance::Origin,
            "copy" => Provenance::Copy,
            "record" => Provenance::Record,
            _ => Provenance::Other(name),
        }
    }
}

impl fmt::Display for Provenance {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Provenance::Origin => "origin",
            Provenance::Copy => "copy",
            Provenance::Record => "record",
            Provenance::Other(name) => name,
        })
    }
}

/// What came back for a request.
#[derive(Default)]
pub(crate) struct Answer {
    /// For the report: status and provenance, or why there is no whole answer.
    pub outcome: String,
    /// It is a whole answer with status 200.
    pub good: bool,
    pub body: Vec<u8>,
    provenance: Option<Provenance>,
    /// Wall time in milliseconds at which the origin made it.
    made: Option<u64>,
    /// Edition of the origin's content.
    edition: Option<u64>,
    /// The caller for whom the origin made it.
    made_for: Option<String>,
    service: Option<String>,
}

/// The edge's reason for a denial.
fn denial_reason(body: &[u8]) -> String {
    let json = std::str::from_utf8(body).ok().and_then(|text| text.parse::<JsonValue>().ok());
    let fields = json.and_then(|json| json.get::<HashMap<String, JsonValue>>().cloned());
    let reason = fields.and_then(|fields| fields.get("reason").and_then(|r| r.get::<String>().cloned()));
    reason.unwrap_or("come back later".into())
}

impl Answer {
    fn without(outcome: impl Into<String>) -> Answer {
        Answer { outcome: outcome.into(), ..Answer::default() }
    }

    /// What is wrong with a good answer to a request sent at `asked` (wall milliseconds) by
    /// `caller`: a copy past its life, content that was purged before, or an answer made for
    /// another caller.
    pub fn violation(
        &self,
        env: &LoadClientEnv,
        share: &LaneShare,
        asked: u64,
        caller: &str,
    ) -> Option<String> {
        let made = self.made.filter(|_| self.good)?;
        let rows = env.mix.table.iter().filter(|row| row.lane == share.lane);
        let ttl = rows.map(|row| row.row.ttl.as_ms()).max()?;
        let copy = self.provenance == Some(Provenance::Copy);
        if copy && asked > made + ttl + GRACE_MS {
            return Some(format!("a copy of {} ms, its life is {ttl}", asked - made));
        }
        if self.provenance == Some(Provenance::Origin) && share.kind != Kind::Read {
            let other = self.made_for.as_deref().filter(|made_for| *made_for != caller);
            return other.map(|other| format!("made for {other}, asked by {caller}"));
        }
        self.purged_before(env, asked)
    }

    fn purged_before(&self, env: &LoadClientEnv, asked: u64) -> Option<String> {
        if self.provenance == Some(Provenance::Record) {
            return None;
        }
        let purged = env.purged.lock().expect("not poisoned");
        let older = |purge: &&PurgedEdition| {
            let concerned = self.service.as_ref() == Some(&purge.service);
            concerned && self.edition < Some(purge.edition) && asked > purge.acknowledged_ms + GRACE_MS
        };
        let purge = purged.iter().find(older)?;
        let ago = asked - purge.acknowledged_ms;
        Some(format!("edition {:?}, {} was purged in {ago} ms before", self.edition, purge.edition))
    }
}

/// Sends one request of a lane through an edge; with a key it is a keyed POST.
pub(crate) fn call(
    agent: &Agent,
    edge: Addr,
    share: &LaneShare,
    path: &str,
    key: Option<&str>,
    caller: &str,
) -> Answer {
    let uri = format!("http://{edge}/{}/{path}", share.lane);
    let sent = match key {
        Some(key) => {
            let request = agent.post(uri).header("Idempotency-Key", key);
            request.header(CALLER_HEADER, caller).send(path.as_bytes())
        }
        None => agent.get(uri).header(CALLER_HEADER, caller).call(),
    };
    match sent {
        Ok(response) => read_answer(response),
        Err(error) => Answer::without(error_outcome(error)),
    }
}

fn error_outcome(error: ureq::Error) -> String {
    match error {
        ureq::Error::ConnectionFailed => "not reached".into(),
        ureq::Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused => "not reached".into(),
        ureq::Error::Timeout(_) => "no answer in time".into(),
        error => format!("broken: {error}").chars().take(LONGEST_ERROR).collect(),
    }
}

fn header(response: &Response<Body>, name: &str) -> Option<String> {
    response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_string)
}

fn parsed_header<T: FromStr>(response: &Response<Body>, name: &str) -> Option<T> {
    header(response, name).and_then(|value| value.parse().ok())
}

fn read_answer(mut response: Response<Body>) -> Answer {
    let Ok(body) = response.body_mut().read_to_vec() else { return Answer::without("cut off") };
    let status = response.status().as_u16();
    let provenance = header(&response, "Lanewing-From").map(Provenance::from);
    let outcome = match &provenance {
        Some(provenance) => format!("{status} from {provenance}"),
        None if header(&response, "Retry-After").is_some() => format!("{status} {}", denial_reason(&body)),
        None => status.to_string(),
    };
    Answer {
        outcome,
        good: provenance.is_some() && status == 200,
        provenance,
        made: parsed_header(&response, "X-Made"),
        edition: parsed_header(&response, "X-Edition"),
        made_for: header(&response, "X-Echo"),
        service: service_of(&body),
        body,
    }
}
