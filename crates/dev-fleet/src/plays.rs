//! The named failures.
use crate::fleet::{node_name, origin_name, Fleet, NoFailureSnafu, NoPlaySnafu, Result};
use crate::rehearse::Scene;
use crate::turns;
use control_state::{num, obj, text, Role};
use nix::sys::signal::Signal;
use primitives::Addr;
use snafu::{ensure, OptionExt};
use stand_ins::web;
use std::time::Duration;
use tinyjson::JsonValue;

pub struct Play {
    pub name: &'static str,
    pub secs: u64,
    /// Of a hundred requests of the last five seconds, how many must be served.
    pub least: u64,
    /// How often denied callers ask again at once.
    pub pushy: u64,
    /// How many times the deployment's rate is sent on top, to one lane alone, by
    /// callers who ask again at once.
    pub flood: u64,
    /// Callers follow readiness, and nothing of theirs may be lost.
    pub lossless: bool,
    pub act: fn(&mut Fleet, &mut Scene) -> Result<()>,
}

const fn play(name: &'static str, secs: u64, act: fn(&mut Fleet, &mut Scene) -> Result<()>) -> Play {
    Play { name, secs, least: 90, pushy: 0, flood: 0, lossless: false, act }
}

static PLAYS: [Play; 15] = [
    play("calm", 20, |_, _| Ok(())),
    play("drain an origin", 15, drain_origin),
    play("an address in other hands", 20, other_hands),
    play("origins misbehave", 15, misbehave),
    play("lose a controller's disk", 25, lose_disk),
    play("kill a machine", 20, kill_machine),
    play("freeze an edge", 25, freeze_edge),
    play("rolling restart", 60, rolling),
    Play { least: 80, ..play("closing fault", 40, closing) },
    Play { flood: 3, ..play("abusive clients", 20, edits) },
    play("purges", 25, turns::purges),
    Play { lossless: true, ..play("restart every edge", 80, turns::every_edge) },
    play("replace every origin", 60, turns::every_origin),
    play("two controllers lost", 35, turns::two_controllers),
    Play { least: 75, ..play("closing fault without a machine", 60, turns::closing_without) },
];

pub fn names() -> Vec<&'static str> {
    PLAYS.iter().map(|p| p.name).collect()
}

pub fn find(name: &str) -> Result<&'static Play> {
    PLAYS.iter().find(|p| p.name == name).context(NoPlaySnafu { name, these: names().join(", ") })
}

pub(crate) fn fault(at: Addr, v: JsonValue) -> Result<()> {
    let a = web::agent(Duration::from_secs(2));
    let ok = web::post(&a, at, "lanewing/fault", &v).is_some_and(|(s, _)| s == 200);
    ensure!(ok, NoFailureSnafu { why: format!("{at} did not take the fault") });
    Ok(())
}

fn drain_origin(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    s.pause(3000);
    let at = f.mix.origins[0].at;
    fault(at, obj(vec![("mood", text("leaving"))]))?;
    s.note(format!("{at} says it is leaving"));
    s.pause(2500);
    s.ledger.save(f, at);
    f.kill9(&origin_name(at))?;
    s.note("and is gone");
    s.pause(4000);
    f.start_origin(at)?;
    s.note("and is back as a new life");
    Ok(())
}

/// An origin is emptied and removed; seconds later another service has its address.
fn other_hands(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    s.pause(3000);
    let (at, other) = (f.mix.origins[0].at, f.mix.origins.last().map(|o| o.svc.clone()));
    s.ledger.save(f, at);
    f.kill9(&origin_name(at))?;
    s.note(format!("{at} vanished"));
    s.pause(2000);
    f.start_origin_as(at, &other.unwrap_or_default())?;
    s.note("another service has its address");
    s.pause(6000);
    Ok(())
}

fn misbehave(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    s.pause(2000);
    let all: Vec<Addr> = f.mix.origins.iter().map(|o| o.at).collect();
    for (i, at) in all.iter().enumerate() {
        let what = ["lose_every", "cut_every", "wrong_every"][i % 3];
        fault(*at, obj(vec![(what, num(9))]))?;
    }
    s.note("every ninth answer is lost, cut or wrong, by origin");
    s.pause(6000);
    for at in &all {
        fault(*at, obj(vec![]))?;
    }
    fault(all[0], obj(vec![("slow_ms", num(1500))]))?;
    s.note("now one origin is slow");
    Ok(())
}

fn lose_disk(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    s.pause(3000);
    let p = f.nodes(Role::Controller)[1].clone();
    f.kill9(&node_name(&p))?;
    f.wipe(&p)?;
    s.note(format!("{} killed, its disk emptied", node_name(&p)));
    edit(f, "while one is lost")?;
    s.note("a change was taken without it");
    f.start_node(&p)?;
    let t = f.wait("the controller's return under a new id", 15, || f.ready(&p))?;
    s.note(format!("ready again after {:.1} s", t.as_secs_f64()));
    Ok(())
}

/// One change of a row's weight, at the version it now has.
pub(crate) fn edit(f: &Fleet, id: &str) -> Result<()> {
    let c = f.mix.table.last().cloned().expect("a table has rows");
    let a = web::agent(Duration::from_secs(5));
    for p in f.nodes(Role::Controller) {
        let got = web::get(&a, p.http, "lanewing/table").filter(|(s, _)| *s == 200).map(|(_, v)| v);
        let ver = got.and_then(|v| version(&v, &c.lane, &c.svc));
        let Some(ver) = ver else { continue };
        let mut row: std::collections::HashMap<String, JsonValue> = c.json.get().cloned().unwrap_or_default();
        row.insert("expect".into(), num(ver));
        f.change(&obj(vec![("id", text(id.replace(' ', "-"))), ("row", JsonValue::from(row))]))?;
        return Ok(());
    }
    NoFailureSnafu { why: "no controller shows the table" }.fail()
}

fn version(v: &JsonValue, lane: &str, svc: &str) -> Option<u64> {
    type Map = std::collections::HashMap<String, JsonValue>;
    let m: &Map = v.get()?;
    let rows: &Vec<JsonValue> = m.get("rows")?.get()?;
    let is = |r: &&JsonValue| {
        let m = r.get::<Map>();
        let t = |n: &str| m.and_then(|m| m.get(n)).and_then(|v| v.get::<String>());
        t("lane").is_some_and(|l| l == lane) && t("service").is_some_and(|s| s == svc)
    };
    let row: &Map = rows.iter().find(is)?.get()?;
    row.get("version")?.get::<f64>().map(|n| *n as u64)
}

fn edits(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    for i in 0..8 {
        s.pause(1500);
        edit(f, &format!("edit {i}"))?;
    }
    s.note("eight edits taken");
    Ok(())
}

fn kill_machine(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    s.pause(3000);
    let on: Vec<_> = f.env.nodes.iter().filter(|p| p.machine == "edge-2").cloned().collect();
    for p in &on {
        f.kill9(&node_name(p))?;
    }
    s.note("all of edge-2 killed");
    edit(f, "without a machine")?;
    s.note("a change was taken without it");
    s.pause(3000);
    on.iter().try_for_each(|p| f.start_node(p))?;
    let t = f.wait_ready(20)?;
    s.note(format!("all ready {:.1} s after the start", t.as_secs_f64()));
    Ok(())
}

fn freeze_edge(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    s.pause(3000);
    let p = f.nodes(Role::Edge)[5].clone();
    f.signal(&node_name(&p), Signal::SIGSTOP)?;
    s.note(format!("{} frozen", node_name(&p)));
    edit(f, "while one is frozen")?;
    s.note("a change was taken; it had to wait for the frozen edge's lease");
    f.signal(&node_name(&p), Signal::SIGCONT)?;
    s.note("thawed");
    Ok(())
}

fn rolling(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    for r in [Role::Controller, Role::Edge, Role::Ledger] {
        for p in f.nodes(r).into_iter().take(4) {
            f.stop(&node_name(&p))?;
            f.start_node(&p)?;
            f.wait("its return", 15, || f.ready(&p))?;
        }
        s.note(format!("four of {r:?} restarted in turn"));
    }
    Ok(())
}

fn closing(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    s.pause(3000);
    edit(f, "just before the end")?;
    let all: Vec<String> = f.env.nodes.iter().map(node_name).collect();
    all.iter().try_for_each(|n| f.kill9(n))?;
    s.note("every process of ours killed, right after a change was acknowledged");
    s.pause(2000);
    f.start_all()?;
    let t = f.wait_ready(15)?;
    s.note(format!("all ready {:.1} s after the start", t.as_secs_f64()));
    Ok(())
}
