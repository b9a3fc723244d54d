//! The named scenarios, and those that need few lines.
use crate::error::*;
use crate::fleet::{node_name, origin_name, Fleet};
use crate::rehearse::Rehearsal;
use crate::replacements;
use crate::wait::Fields;
use control_state::{num, obj, text, Role};
use nix::sys::signal::Signal;
use primitives::Addr;
use snafu::{ensure, OptionExt};
use stand_ins::web;
use std::time::Duration;
use tinyjson::JsonValue;

const FAULT_TIMEOUT: Duration = Duration::from_secs(2);
const TABLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest waits for one node and for all of them, in seconds.
pub(crate) const NODE_READY_S: u64 = 15;
pub(crate) const ALL_READY_S: u64 = 20;

/// What causes the failure while callers send their mix.
type Act = fn(&mut Fleet, &mut Rehearsal) -> Result<()>;

/// A failure and what callers may see of it.
pub struct Scenario {
    /// Its name at the command line.
    pub name: &'static str,
    /// How long callers send requests, in seconds.
    pub secs: u64,
    /// Percentage of the requests of the last five seconds that must be served.
    pub least: u64,
    /// How often a denied caller asks again at once.
    pub pushy: u64,
    /// How many times the deployment's rate is sent on top, to plain lanes alone, by callers
    /// who ask again at once.
    pub flood: u64,
    /// Callers follow readiness, and none of their requests may be lost.
    pub lossless: bool,
    /// Causes the failure.
    pub act: Act,
}

const fn scenario(name: &'static str, secs: u64, act: Act) -> Scenario {
    Scenario { name, secs, least: 90, pushy: 0, flood: 0, lossless: false, act }
}

static SCENARIOS: [Scenario; 15] = [
    scenario("calm", 20, |_, _| Ok(())),
    scenario("drain an origin", 15, drain_origin),
    scenario("an address in other hands", 20, reuse_address),
    scenario("origins misbehave", 15, misbehave),
    scenario("lose a controller's disk", 25, lose_disk),
    scenario("kill a machine", 20, kill_machine),
    scenario("freeze an edge", 25, freeze_edge),
    scenario("rolling restart", 60, rolling_restart),
    Scenario { least: 80, ..scenario("closing fault", 40, replacements::closing_fault) },
    Scenario { flood: 3, ..scenario("abusive clients", 20, eight_edits) },
    scenario("purges", 25, replacements::purges),
    Scenario { lossless: true, ..scenario("restart every edge", 80, replacements::every_edge) },
    scenario("replace every origin", 60, replacements::every_origin),
    scenario("two controllers lost", 35, replacements::two_controllers),
    Scenario { least: 75, ..scenario("closing fault without a machine", 60, replacements::closing_without) },
];

/// The names of all scenarios.
pub fn names() -> Vec<&'static str> {
    SCENARIOS.iter().map(|scenario| scenario.name).collect()
}

/// The scenario of this name.
pub fn find(name: &str) -> Result<&'static Scenario> {
    let found = SCENARIOS.iter().find(|scenario| scenario.name == name);
    found.context(NoScenarioSnafu { name, these: names().join(", ") })
}

/// Tells a stub origin which faults to show from now on.
pub(crate) fn set_faults(at: Addr, faults: JsonValue) -> Result<()> {
    let agent = web::agent(FAULT_TIMEOUT);
    let answer = web::post(&agent, at, "lanewing/fault", &faults);
    let taken = answer.is_some_and(|(status, _)| status == 200);
    ensure!(taken, NoFailureSnafu { why: format!("{at} did not take the fault") });
    Ok(())
}

fn drain_origin(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    rehearsal.pause(3000);
    let at = fleet.mix.origins[0].at;
    set_faults(at, obj(vec![("mood", text("leaving"))]))?;
    rehearsal.note(format!("{at} says it is leaving"));
    rehearsal.pause(2500);
    rehearsal.retain_tally(fleet, at);
    fleet.kill(&origin_name(at))?;
    rehearsal.note("and is gone");
    rehearsal.pause(4000);
    fleet.start_origin(at)?;
    rehearsal.note("and is back as a new life");
    Ok(())
}

/// An origin vanishes; seconds later another service has its address.
fn reuse_address(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    rehearsal.pause(3000);
    let at = fleet.mix.origins[0].at;
    let other = fleet.mix.origins.last().map(|origin| origin.svc.clone());
    rehearsal.retain_tally(fleet, at);
    fleet.kill(&origin_name(at))?;
    rehearsal.note(format!("{at} vanished"));
    rehearsal.pause(2000);
    fleet.start_origin_as(at, &other.unwrap_or_default())?;
    rehearsal.note("another service has its address");
    rehearsal.pause(6000);
    Ok(())
}

fn misbehave(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    rehearsal.pause(2000);
    let origins: Vec<Addr> = fleet.mix.origins.iter().map(|origin| origin.at).collect();
    for (i, at) in origins.iter().enumerate() {
        let fault = ["lose_every", "cut_every", "wrong_every"][i % 3];
        set_faults(*at, obj(vec![(fault, num(9))]))?;
    }
    rehearsal.note("every ninth answer is lost, cut or wrong, by origin");
    rehearsal.pause(6000);
    origins.iter().try_for_each(|at| set_faults(*at, obj(vec![])))?;
    set_faults(origins[0], obj(vec![("slow_ms", num(1500))]))?;
    rehearsal.note("now one origin is slow");
    Ok(())
}

fn lose_disk(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    rehearsal.pause(3000);
    let place = fleet.nodes(Role::Controller)[1].clone();
    let name = node_name(&place);
    fleet.kill(&name)?;
    fleet.wipe(&place)?;
    rehearsal.note(format!("{name} killed, its disk emptied"));
    edit(fleet, "while one is lost")?;
    rehearsal.note("a change was taken without it");
    fleet.start_node(&place)?;
    let what = "the controller's return under a new id";
    let took = fleet.wait(what, NODE_READY_S, || fleet.ready(&place))?;
    rehearsal.note(format!("ready again after {:.1} s", took.as_secs_f64()));
    Ok(())
}

/// Sends the last row of the table anew, at the version that it has.
pub(crate) fn edit(fleet: &Fleet, id: &str) -> Result<()> {
    let row = fleet.mix.table.last().cloned().expect("a table has rows");
    let agent = web::agent(TABLE_TIMEOUT);
    for place in fleet.nodes(Role::Controller) {
        let answer = web::get(&agent, place.http, "lanewing/table").filter(|(status, _)| *status == 200);
        let version = answer.and_then(|(_, table)| row_version(&table, &row.lane, &row.svc));
        if let Some(version) = version {
            return fleet.change_row(&id.replace(' ', "-"), &row, version);
        }
    }
    NoFailureSnafu { why: "no controller shows the table" }.fail()
}

fn row_version(table: &JsonValue, lane: &str, svc: &str) -> Option<u64> {
    let rows: &Vec<JsonValue> = table.get::<Fields>()?.get("rows")?.get()?;
    let has = |row: &Fields, name: &str, value: &str| {
        row.get(name).and_then(|field| field.get::<String>()).is_some_and(|field| field == value)
    };
    let mut rows = rows.iter().filter_map(|row| row.get::<Fields>());
    let row = rows.find(|row| has(row, "lane", lane) && has(row, "service", svc))?;
    row.get("version")?.get::<f64>().map(|version| *version as u64)
}

fn eight_edits(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    for i in 0..8 {
        rehearsal.pause(1500);
        edit(fleet, &format!("edit {i}"))?;
    }
    rehearsal.note("eight edits taken");
    Ok(())
}

fn kill_machine(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    rehearsal.pause(3000);
    let places = fleet.env.nodes.iter().filter(|place| place.machine == "edge-2").cloned();
    let places: Vec<_> = places.collect();
    places.iter().try_for_each(|place| fleet.kill(&node_name(place)))?;
    rehearsal.note("all of edge-2 killed");
    edit(fleet, "without a machine")?;
    rehearsal.note("a change was taken without it");
    rehearsal.pause(3000);
    places.iter().try_for_each(|place| fleet.start_node(place))?;
    let took = fleet.wait_ready(ALL_READY_S)?;
    rehearsal.note(format!("all ready {:.1} s after the start", took.as_secs_f64()));
    Ok(())
}

fn freeze_edge(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    rehearsal.pause(3000);
    let name = node_name(&fleet.nodes(Role::Edge)[5]);
    fleet.signal(&name, Signal::SIGSTOP)?;
    rehearsal.note(format!("{name} frozen"));
    edit(fleet, "while one is frozen")?;
    rehearsal.note("a change was taken; it had to wait for the frozen edge's lease");
    fleet.signal(&name, Signal::SIGCONT)?;
    rehearsal.note("thawed");
    Ok(())
}

fn rolling_restart(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    for role in [Role::Controller, Role::Edge, Role::Ledger] {
        for place in fleet.nodes(role).into_iter().take(4) {
            fleet.stop(&node_name(&place))?;
            fleet.start_node(&place)?;
            fleet.wait("its return", NODE_READY_S, || fleet.ready(&place))?;
        }
        rehearsal.note(format!("four of {role:?} restarted in turn"));
    }
    Ok(())
}
