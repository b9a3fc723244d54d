//! Executing a book. What it touches is behind `Hands`, so stories run it too.
use crate::book::{Book, Step, Until};
use crate::page::line;
use control_state::{obj, text};
use primitives::{Addr, Look, LookProblem};
use snafu::Snafu;
use std::collections::BTreeMap;
use tinyjson::JsonValue;

#[derive(Debug, Snafu)]
pub enum RunProblem {
    #[snafu(display("tell it with --set {name}=...: {what}"))]
    Untold { name: String, what: String },
    #[snafu(display("{name} is not asked for by this book"))]
    Unasked { name: String },
    #[snafu(display("step {step}: {source}"))]
    Invalid { step: usize, source: LookProblem },
    #[snafu(display("step {step}: {at} is no address"))]
    NoAddress { step: usize, at: String },
    #[snafu(display("step {step}: denied ({status}): {body}"))]
    Denied { step: usize, status: u16, body: String },
    #[snafu(display("step {step}: did not come about within {secs} s"))]
    Late { step: usize, secs: u64 },
    #[snafu(display("step {step}: not confirmed"))]
    Unconfirmed { step: usize },
    #[snafu(display("step {step}: nobody answers"))]
    Silent { step: usize },
}

/// What a run needs done for it.
pub trait Hands {
    fn say(&mut self, s: &str);
    fn confirm(&mut self, s: &str) -> bool;
    /// Posts to a controller: status and answer.
    fn post(&mut self, path: &str, v: &JsonValue) -> Option<(u16, JsonValue)>;
    fn get(&mut self, at: Addr, path: &str) -> Option<JsonValue>;
    /// Waits a little; false once that many seconds have gone by since `began`.
    fn pause(&mut self, began: u64, secs: u64) -> bool;
    /// Some clock in milliseconds.
    fn clock(&mut self) -> u64;
}

type Result<T> = std::result::Result<T, RunProblem>;

fn fill(s: &str, told: &BTreeMap<String, String>) -> String {
    told.iter().fold(s.to_string(), |s, (k, v)| s.replace(&format!("{{{k}}}"), v))
}

/// Fills in what was told; a text that is wholly a number becomes one.
fn fill_json(v: &JsonValue, told: &BTreeMap<String, String>) -> JsonValue {
    match v {
        JsonValue::String(s) => {
            let f = fill(s, told);
            let n = f.parse::<u32>().ok().filter(|_| f != *s);
            n.map(|n| JsonValue::from(n as f64)).unwrap_or(JsonValue::from(f))
        }
        JsonValue::Array(a) => JsonValue::from(a.iter().map(|x| fill_json(x, told)).collect::<Vec<_>>()),
        JsonValue::Object(m) => {
            let m = m.iter().map(|(k, x)| (k.clone(), fill_json(x, told))).collect();
            JsonValue::Object(m)
        }
        other => other.clone(),
    }
}

/// Runs all steps in order; stops at the first that does not come about.
pub fn run(b: &Book, id: &str, told: &BTreeMap<String, String>, h: &mut impl Hands) -> Result<()> {
    for (name, what) in &b.needs {
        if !told.contains_key(name) {
            return UntoldSnafu { name, what }.fail();
        }
    }
    for name in told.keys() {
        if !b.needs.contains_key(name) {
            return UnaskedSnafu { name }.fail();
        }
    }
    for (i, s) in b.steps.iter().enumerate() {
        let step = i + 1;
        h.say(&format!("{step}/{} {}", b.steps.len(), fill(&line(s), told)));
        match s {
            Step::Say(_) => (),
            Step::Confirm(t) => {
                if !h.confirm(&fill(t, told)) {
                    return UnconfirmedSnafu { step }.fail();
                }
            }
            Step::Change(v) => change(step, &fill_json(v, told), &format!("{id}-{step}"), h)?,
            Step::Replace(old, new) => {
                let v = obj(vec![("old", text(fill(old, told))), ("new", text(fill(new, told)))]);
                let got = h.post("lanewing/replace", &v);
                good(step, got)?;
            }
            Step::Until(u) => until(step, u, told, h)?,
        }
    }
    h.say("done");
    Ok(())
}

fn good(step: usize, got: Option<(u16, JsonValue)>) -> Result<()> {
    let (status, v) = got.ok_or(RunProblem::Silent { step })?;
    let body = v.stringify().unwrap_or_default();
    (status < 300).then_some(()).ok_or(RunProblem::Denied { step, status, body })
}

/// The same step of the same run is the same change, however often it is sent.
fn change(step: usize, v: &JsonValue, id: &str, h: &mut impl Hands) -> Result<()> {
    let JsonValue::Object(m) = v else { return Ok(()) };
    let mut m = m.clone();
    m.insert("id".into(), text(id));
    let v = JsonValue::Object(m);
    control_state::read_change(&Look::at(&v, "")).map_err(|source| RunProblem::Invalid { step, source })?;
    let got = h.post("lanewing/changes", &v);
    good(step, got)
}

fn until(step: usize, u: &Until, told: &BTreeMap<String, String>, h: &mut impl Hands) -> Result<()> {
    let at = fill(&u.at, told);
    let addr: Addr = at.parse().map_err(|_| RunProblem::NoAddress { step, at })?;
    let began = h.clock();
    loop {
        let v = h.get(addr, &u.path);
        let field = v.as_ref().and_then(|v| match v {
            JsonValue::Object(m) => m.get(&u.field).cloned(),
            _ => None,
        });
        if field.as_ref() == Some(&u.is) {
            return Ok(());
        }
        if !h.pause(began, u.within_s) {
            return LateSnafu { step, secs: u.within_s }.fail();
        }
    }
}
