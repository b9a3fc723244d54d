//! Scenarios that replace processes one after another, that end them all, or that purge.
use crate::error::*;
use crate::fleet::{node_name, origin_name, Fleet};
use crate::rehearse::Rehearsal;
use crate::scenarios::{edit, set_faults, ALL_READY_S, NODE_READY_S};
use control_state::{num, obj, text, Role};
use nix::sys::signal::Signal;
use runtime::settings::Place;
use snafu::ensure;
use stand_ins::load_client::PurgedEdition;
use stand_ins::stub_origin::wall_ms;
use std::time::Duration;
use tinyjson::JsonValue;

/// The machine that does not return.
const LOST_MACHINE: &str = "edge-3";
const EDITIONS: u64 = 9;

fn secs(took: Duration) -> String {
    format!("{:.1} s", took.as_secs_f64())
}

/// Each edge is told to stop and started anew, while callers follow readiness.
pub fn every_edge(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    rehearsal.pause(2000);
    for place in fleet.nodes(Role::Edge) {
        fleet.stop(&node_name(&place))?;
        fleet.start_node(&place)?;
        fleet.wait("its return", NODE_READY_S, || fleet.ready(&place))?;
        // Longer than callers take to notice.
        rehearsal.pause(300);
    }
    rehearsal.note("every edge was restarted in turn");
    Ok(())
}

/// Each origin says that it leaves, gets no more requests, ends, and returns as a new
/// incarnation.
pub fn every_origin(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    rehearsal.pause(2000);
    for origin in fleet.mix.origins.clone() {
        set_faults(origin.at, obj(vec![("mood", text("leaving"))]))?;
        rehearsal.pause(2200);
        rehearsal.retain_tally(fleet, origin.at);
        fleet.kill(&origin_name(origin.at))?;
        fleet.start_origin(origin.at)?;
        rehearsal.pause(1200);
    }
    rehearsal.note("every origin was replaced in turn");
    Ok(())
}

/// Two controllers are killed and stay away for longer than a lease.
pub fn two_controllers(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    rehearsal.pause(3000);
    let two: Vec<Place> = fleet.nodes(Role::Controller).into_iter().take(2).collect();
    two.iter().try_for_each(|place| fleet.kill(&node_name(place)))?;
    rehearsal.note("two controllers killed");
    // Past the lease, which two others go on renewing.
    rehearsal.pause(18_000);
    let edges = fleet.nodes(Role::Edge);
    let ready = edges.iter().filter(|place| fleet.ready(place)).count();
    ensure!(ready == edges.len(), NoFailureSnafu { why: format!("only {ready} edges are ready") });
    rehearsal.note(format!("all {ready} edges are ready without them"));
    two.iter().try_for_each(|place| fleet.start_node(place))?;
    let took = fleet.wait_ready(ALL_READY_S)?;
    rehearsal.note(format!("all ready {} after their return", secs(took)));
    edit(fleet, "after two were lost")
}

/// Every process of the fleet is killed right after a change was acknowledged.
pub fn closing_fault(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    rehearsal.pause(3000);
    edit(fleet, "just before the end")?;
    let names: Vec<String> = fleet.env.nodes.iter().map(node_name).collect();
    names.iter().try_for_each(|name| fleet.kill(name))?;
    rehearsal.note("every process of ours killed, right after a change was acknowledged");
    rehearsal.pause(2000);
    fleet.start_nodes()?;
    let took = fleet.wait_ready(NODE_READY_S)?;
    rehearsal.note(format!("all ready {} after the start", secs(took)));
    Ok(())
}

/// As the closing fault, and one machine with disks does not return with the others; later
/// it returns with empty disks.
pub fn closing_without(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    rehearsal.pause(3000);
    edit(fleet, "just before the end")?;
    let nodes = fleet.env.nodes.clone();
    let names: Vec<String> = nodes.iter().map(node_name).collect();
    names.iter().try_for_each(|name| fleet.signal(name, Signal::SIGKILL))?;
    names.iter().try_for_each(|name| fleet.wait_killed(name))?;
    let (lost, rest): (Vec<Place>, Vec<Place>) =
        nodes.into_iter().partition(|place| place.machine == LOST_MACHINE);
    rehearsal
        .note("every process of ours killed; one machine with a controller, an edge and a ledger is gone");
    rehearsal.pause(2000);
    rest.iter().try_for_each(|place| fleet.start_node(place))?;
    let all_ready = || rest.iter().all(|place| fleet.ready(place));
    let took = fleet.wait("the others' readiness", NODE_READY_S, all_ready)?;
    rehearsal.note(format!("all others ready {} after the start", secs(took)));
    rehearsal.pause(15_000);
    return_empty(fleet, rehearsal, &lost)?;
    edit(fleet, "with the replaced machine")
}

/// Starts the nodes of a machine on empty disks.
fn return_empty(fleet: &mut Fleet, rehearsal: &Rehearsal, lost: &[Place]) -> Result<()> {
    let mut with_disks = lost.iter().filter(|place| place.role != Role::Edge);
    with_disks.try_for_each(|place| fleet.wipe(place))?;
    lost.iter().try_for_each(|place| fleet.start_node(place))?;
    // Its ledger grants nothing before a window is over; the others go on.
    let expected: Vec<&Place> = lost.iter().filter(|place| place.role != Role::Ledger).collect();
    let ready = || expected.iter().all(|place| fleet.ready(place));
    let took = fleet.wait("the replaced machine", ALL_READY_S, ready)?;
    rehearsal.note(format!("its controller and edge ready {} after they came back empty", secs(took)));
    rehearsal.pause(500);
    Ok(())
}

/// Content changes and is purged, again and again; callers check whether earlier editions
/// are served, and whether copies outlive their lives.
pub fn purges(fleet: &mut Fleet, rehearsal: &mut Rehearsal) -> Result<()> {
    let service = fleet.mix.table[0].svc.clone();
    let of_service = fleet.mix.origins.iter().filter(|origin| origin.svc == service);
    let origins: Vec<_> = of_service.map(|origin| origin.at).collect();
    for edition in 1..=EDITIONS {
        rehearsal.pause(2000);
        origins.iter().try_for_each(|at| set_faults(*at, obj(vec![("edition", num(edition))])))?;
        let scope = obj(vec![("service", text(&service)), ("prefix", text(""))]);
        let id = text(format!("edition-{edition}"));
        fleet.change(&obj(vec![("id", id), ("purge", JsonValue::from(vec![scope]))]))?;
        let purged = PurgedEdition { service: service.clone(), edition, acknowledged_ms: wall_ms() };
        rehearsal.purged.lock().expect("not poisoned").push(purged);
    }
    rehearsal.note(format!("nine editions of {service} purged in"));
    Ok(())
}
