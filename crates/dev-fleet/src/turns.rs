//! Plays of things done in turn, and of machines that do not come back.
use crate::fleet::{node_name, origin_name, Fleet, NoFailureSnafu, Result};
use crate::plays::{edit, fault};
use crate::rehearse::Scene;
use control_state::{num, obj, text, Role};
use nix::sys::signal::Signal;
use runtime::env::Place;
use snafu::ensure;
use std::time::Duration;
use tinyjson::JsonValue;

/// Each edge is told to stop and started anew, while callers follow readiness.
pub fn every_edge(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    s.pause(2000);
    for p in f.nodes(Role::Edge) {
        f.stop(&node_name(&p))?;
        f.start_node(&p)?;
        f.wait("its return", 15, || f.ready(&p))?;
        // Callers look again every now and then.
        s.pause(300);
    }
    s.note("every edge was restarted in turn");
    Ok(())
}

/// Each origin says that it leaves, is emptied, goes, and is back as a new life.
pub fn every_origin(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    s.pause(2000);
    for o in f.mix.origins.clone() {
        fault(o.at, obj(vec![("mood", text("leaving"))]))?;
        s.pause(2200);
        s.ledger.save(f, o.at);
        f.kill9(&origin_name(o.at))?;
        f.start_origin(o.at)?;
        s.pause(1200);
    }
    s.note("every origin was replaced in turn");
    Ok(())
}

pub fn two_controllers(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    s.pause(3000);
    let two: Vec<Place> = f.nodes(Role::Controller).into_iter().take(2).collect();
    two.iter().try_for_each(|p| f.kill9(&node_name(p)))?;
    s.note("two controllers killed");
    // Past the lease, which two others go on renewing.
    s.pause(18_000);
    let ready = f.nodes(Role::Edge).iter().filter(|p| f.ready(p)).count();
    ensure!(
        ready == f.nodes(Role::Edge).len(),
        NoFailureSnafu { why: format!("only {ready} edges are ready") }
    );
    s.note(format!("all {ready} edges are ready without them"));
    two.iter().try_for_each(|p| f.start_node(p))?;
    let t = f.wait_ready(20)?;
    s.note(format!("all ready {:.1} s after their return", t.as_secs_f64()));
    edit(f, "after two were lost")
}

/// All is killed and one disk machine never returns; later it comes back empty.
pub fn closing_without(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    s.pause(3000);
    edit(f, "just before the end")?;
    let all: Vec<String> = f.env.nodes.iter().map(node_name).collect();
    all.iter().try_for_each(|n| f.signal(n, Signal::SIGKILL))?;
    all.iter().try_for_each(|n| f.reaped(n))?;
    let (lost, rest): (Vec<Place>, Vec<Place>) =
        f.env.nodes.clone().into_iter().partition(|p| p.machine == "edge-3");
    s.note("every process of ours killed; one machine with a controller, an edge and a ledger is gone");
    s.pause(2000);
    rest.iter().try_for_each(|p| f.start_node(p))?;
    let t = f.wait("the others' readiness", 15, || rest.iter().all(|p| f.ready(p)))?;
    s.note(format!("all others ready {:.1} s after the start", t.as_secs_f64()));
    s.pause(15_000);
    let disks = lost.iter().filter(|p| p.role != Role::Edge);
    disks.clone().try_for_each(|p| f.wipe(p))?;
    lost.iter().try_for_each(|p| f.start_node(p))?;
    let keeps: Vec<&Place> = lost.iter().filter(|p| p.role != Role::Ledger).collect();
    let t = f.wait("the replaced machine", 20, || keeps.iter().all(|p| f.ready(p)))?;
    s.note(format!("its controller and edge ready {:.1} s after they came back empty", t.as_secs_f64()));
    // Its ledger holds its grants back for a window; the others go on.
    std::thread::sleep(Duration::from_millis(500));
    edit(f, "with the replaced machine")
}

/// Content changes and is purged, again and again; callers look whether old editions
/// are served, and whether copies outlive their lives.
pub fn purges(f: &mut Fleet, s: &mut Scene) -> Result<()> {
    let svc = f.mix.table[0].svc.clone();
    let all: Vec<_> = f.mix.origins.iter().filter(|o| o.svc == svc).map(|o| o.at).collect();
    for n in 1..=9u64 {
        s.pause(2000);
        all.iter().try_for_each(|at| fault(*at, obj(vec![("edition", num(n))])))?;
        let scope = obj(vec![("service", text(&svc)), ("prefix", text(""))]);
        let id = text(format!("edition-{n}"));
        f.change(&obj(vec![("id", id), ("purge", JsonValue::from(vec![scope]))]))?;
        s.purged.lock().expect("sound").push((svc.clone(), n, stand_ins::stub_origin::wall_ms()));
    }
    s.note(format!("nine editions of {svc} purged in"));
    Ok(())
}
