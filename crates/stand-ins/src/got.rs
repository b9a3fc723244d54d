//! One request of a load_client, and what is odd about its answer.
use crate::load_client::LoadClientEnv;
use crate::mix::Share;
use primitives::Addr;
use std::collections::HashMap;
use std::io::ErrorKind;
use tinyjson::JsonValue;
use ureq::Agent;

pub(crate) struct Got {
    pub what: String,
    /// A whole answer.
    pub good: bool,
    pub body: Vec<u8>,
    from: Option<String>,
    /// As its origin said: when it was made, of which edition, and for whom.
    made: Option<u64>,
    edition: Option<u64>,
    echo: Option<String>,
    /// Of the services there are, which one served it.
    svc: Option<String>,
}

fn none(what: impl Into<String>) -> Got {
    let (from, made, edition, echo, svc) = (None, None, None, None, None);
    Got { what: what.into(), good: false, body: vec![], from, made, edition, echo, svc }
}

/// Two seconds, as the brief has it.
const GRACE: u64 = 2000;

/// Why it was denied, in the edge's own words.
fn reason(body: &[u8]) -> String {
    let v = std::str::from_utf8(body).ok().and_then(|s| s.parse::<JsonValue>().ok());
    let m = v.and_then(|v| v.get::<HashMap<String, JsonValue>>().cloned()).unwrap_or_default();
    m.get("reason").and_then(|r| r.get::<String>().cloned()).unwrap_or("come back later".into())
}

impl Got {
    /// What must not be: a copy past its life, content purged before, an answer made
    /// for somebody else.
    pub fn odd(&self, env: &LoadClientEnv, s: &Share, asked: u64, tag: &str) -> Option<String> {
        let made = self.made.filter(|_| self.good)?;
        let copy = self.from.as_deref() == Some("copy");
        let ttl = env.mix.table.iter().filter(|c| c.lane == s.lane).map(|c| c.row.ttl.as_ms()).max()?;
        if copy && asked > made + ttl + GRACE {
            return Some(format!("a copy of {} ms, its life is {ttl}", asked - made));
        }
        if self.from.as_deref() == Some("origin") && s.kind != control_state::Kind::Read {
            let other = self.echo.as_deref().filter(|e| *e != tag);
            return other.map(|e| format!("made for {e}, asked by {tag}"));
        }
        let purged = env.purged.lock().expect("sound");
        let old = |(svc, e, at): &&(String, u64, u64)| {
            self.svc.as_ref() == Some(svc) && self.edition < Some(*e) && asked > at + GRACE
        };
        let hit = purged.iter().find(old).filter(|_| self.from.as_deref() != Some("record"));
        hit.map(|(_, e, at)| {
            format!("edition {:?}, {e} was purged in {} ms before", self.edition, asked - at)
        })
    }
}

pub(crate) fn call(a: &Agent, edge: Addr, s: &Share, path: &str, key: Option<&str>, tag: &str) -> Got {
    let uri = format!("http://{edge}/{}/{path}", s.lane);
    let got = match key {
        Some(k) => a.post(uri).header("Idempotency-Key", k).header("X-LoadClient", tag).send(path.as_bytes()),
        None => a.get(uri).header("X-LoadClient", tag).call(),
    };
    let mut r = match got {
        Ok(r) => r,
        Err(ureq::Error::ConnectionFailed) => return none("not reached"),
        Err(ureq::Error::Io(e)) if e.kind() == ErrorKind::ConnectionRefused => return none("not reached"),
        Err(ureq::Error::Timeout(_)) => return none("no answer in time"),
        Err(e) => return none(format!("broken: {e}").chars().take(40).collect::<String>()),
    };
    let status = r.status().as_u16();
    let head = |n: &str| r.headers().get(n).and_then(|v| v.to_str().ok()).map(str::to_string);
    let num = |n: &str| head(n).and_then(|v| v.parse().ok());
    let (from, again) = (head("Lanewing-From"), head("Retry-After").is_some());
    let (made, edition, echo) = (num("X-Made"), num("X-Edition"), head("X-Echo"));
    let Ok(body) = r.body_mut().read_to_vec() else { return none("cut off") };
    let what = match &from {
        Some(f) => format!("{status} from {f}"),
        None if again => format!("{status} {}", reason(&body)),
        None => status.to_string(),
    };
    let svc = body.split(|b| *b == b'|').next().and_then(|b| String::from_utf8(b.to_vec()).ok());
    let good = from.is_some() && status == 200;
    Got { what, good, body, from, made, edition, echo, svc }
}
