//! What operators ask of a running deployment.
use clap::ArgMatches;
use control_state::{num, obj, text};
use primitives::{parse, Addr, Look, LookProblem};
use runtime::env::{Env, EnvProblem};
use snafu::Snafu;
use stand_ins::web;
use std::path::PathBuf;
use std::time::Duration;
use tinyjson::JsonValue;

#[derive(Debug, Snafu)]
pub enum OpsProblem {
    #[snafu(display("{source}"), context(false))]
    Env { source: EnvProblem },
    #[snafu(display("{source}"), context(false))]
    Invalid { source: LookProblem },
    #[snafu(display("{path}: {source}"))]
    File { path: String, source: std::io::Error },
    #[snafu(display("{path}, line {line}: {source}"))]
    Line { path: String, line: usize, source: LookProblem },
    #[snafu(display("{source}"), context(false))]
    Book { source: runbooks::RunProblem },
    #[snafu(display("patch: {reason}"))]
    Patch { reason: String },
    #[snafu(display("--set {set} should be NAME=VALUE"))]
    NoPair { set: String },
    #[snafu(display("none of the addresses answers"))]
    Silent,
    #[snafu(display("denied ({status}): {body}"))]
    Denied { status: u16, body: String },
    #[snafu(display("in doubt: send it again with --id {id}"))]
    Doubt { id: String },
    #[snafu(display("--{flag} should be a whole number, not {value}"))]
    NotNumber { flag: &'static str, value: String },
}

impl OpsProblem {
    pub fn code(&self) -> u8 {
        match self {
            OpsProblem::Book { .. } | OpsProblem::Denied { .. } | OpsProblem::Silent => 1,
            OpsProblem::Doubt { .. } => 3,
            _ => 2,
        }
    }
}

type Result<T> = std::result::Result<T, OpsProblem>;

fn show(v: &JsonValue) {
    println!("{}", v.format().unwrap_or_default());
}

pub fn controllers(m: &ArgMatches) -> Vec<Addr> {
    m.get_many("at").map(|a| a.copied().collect()).unwrap_or_default()
}

/// The first address that answers with anything but "not now".
fn call(
    m: &ArgMatches,
    f: impl Fn(&ureq::Agent, Addr) -> Option<(u16, JsonValue)>,
) -> Result<(u16, JsonValue)> {
    let a = web::agent(Duration::from_secs(30));
    let mut last = None;
    for at in controllers(m) {
        let got = f(&a, at);
        if got.as_ref().is_some_and(|(s, _)| *s != 503) {
            return got.ok_or(OpsProblem::Silent);
        }
        last = got.or(last);
    }
    last.ok_or(OpsProblem::Silent)
}

fn good((status, v): (u16, JsonValue)) -> Result<JsonValue> {
    let body = v.stringify().unwrap_or_default();
    (status < 300).then_some(v).ok_or(OpsProblem::Denied { status, body })
}

pub fn fetch(m: &ArgMatches, path: &str) -> Result<JsonValue> {
    good(call(m, |a, at| web::get(a, at, path))?)
}

/// As sheets, or as JSON for other programs.
fn get(m: &ArgMatches, path: &str) -> Result<()> {
    let v = fetch(m, path)?;
    match crate::sheet::sheets(&v).filter(|_| !m.get_flag("json")) {
        Some(s) => print!("{s}"),
        None => show(&v),
    }
    Ok(())
}

fn number(m: &ArgMatches, flag: &'static str) -> Result<JsonValue> {
    let s: &String = m.get_one(flag).expect("required or has a default");
    s.parse::<u32>().map(|n| num(n as u64)).map_err(|_| OpsProblem::NotNumber { flag, value: s.clone() })
}

fn word(m: &ArgMatches, name: &str) -> JsonValue {
    text(m.get_one::<String>(name).expect("required"))
}

pub fn change_id(m: &ArgMatches) -> String {
    m.get_one::<String>("id").cloned().unwrap_or_else(|| format!("c-{:x}", runtime::life()))
}

/// Sends one change; the same id again is safe.
pub fn send(m: &ArgMatches, id: &str, v: &JsonValue) -> Result<()> {
    let (status, got) = call(m, |a, at| web::post(a, at, "lanewing/changes", v))?;
    if status == 504 {
        return Err(OpsProblem::Doubt { id: id.to_string() });
    }
    show(&good((status, got))?);
    Ok(())
}

fn change(m: &ArgMatches, name: &'static str, op: JsonValue) -> Result<()> {
    let id = change_id(m);
    let v = obj(vec![("id", text(&id)), (name, op)]);
    // What is plainly invalid need not travel.
    control_state::read_change(&Look::at(&v, ""))?;
    send(m, &id, &v)
}

fn row(m: &ArgMatches) -> Result<JsonValue> {
    Ok(obj(vec![
        ("lane", word(m, "lane")),
        ("service", word(m, "service")),
        ("expect", number(m, "expect")?),
        ("weight", number(m, "weight")?),
        ("ceiling", number(m, "ceiling")?),
        ("rank", number(m, "rank")?),
        ("kind", word(m, "kind")),
        ("ttl_ms", number(m, "ttl-ms")?),
    ]))
}

/// Checks every line first: one that is invalid stops all of them.
fn apply(m: &ArgMatches) -> Result<()> {
    let path = m.get_one::<String>("file").expect("required").clone();
    let s =
        std::fs::read_to_string(&path).map_err(|source| OpsProblem::File { path: path.clone(), source })?;
    let mut all = vec![];
    for (i, l) in s.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        let v = parse(l).and_then(|v| control_state::read_change(&Look::at(&v, "")).map(|c| (c, v)));
        all.push(v.map_err(|source| OpsProblem::Line { path: path.clone(), line: i + 1, source })?);
    }
    for (c, v) in &all {
        send(m, &c.id.clone().map_or(String::new(), |i| i.0), v)?;
    }
    Ok(())
}

fn check(m: &ArgMatches) -> Result<()> {
    let path = m.get_one::<PathBuf>("file").expect("required");
    let env = Env::load(path)?;
    if let Some(r) = &env.rehearsal {
        stand_ins::mix::read_mix(&Look::at(r, "rehearsal"))?;
    }
    println!("{}: {} nodes, in order", env.deployment, env.nodes.len());
    Ok(())
}

pub fn run(name: &str, m: &ArgMatches) -> Result<()> {
    let node = || num(*m.get_one::<u16>("node").expect("required") as u64);
    match name {
        "table" => get(m, "lanewing/table"),
        "origins" => get(m, "lanewing/origins"),
        "nodes" => get(m, "lanewing/nodes"),
        "health" => {
            let (status, v) = call(m, |a, at| web::get(a, at, "lanewing/ready"))?;
            show(&v);
            (status == 200).then_some(()).ok_or(OpsProblem::Denied { status, body: "not ready".into() })
        }
        "set" => change(m, "row", row(m)?),
        "delete" => change(
            m,
            "delete",
            obj(vec![
                ("lane", word(m, "lane")),
                ("service", word(m, "service")),
                ("expect", number(m, "expect")?),
            ]),
        ),
        "purge" => {
            let scope = obj(vec![("service", word(m, "service")), ("prefix", word(m, "prefix"))]);
            change(m, "purge", JsonValue::from(vec![scope]))
        }
        "drain" => change(m, "drain_node", node()),
        "remove" => change(m, "remove_node", node()),
        "replace" => {
            let a = |n: &str| text(m.get_one::<Addr>(n).expect("required"));
            let v = obj(vec![("old", a("old")), ("new", a("new"))]);
            show(&good(call(m, |ag, at| web::post(ag, at, "lanewing/replace", &v))?)?);
            Ok(())
        }
        "apply" => apply(m),
        _ => check(m),
    }
}
