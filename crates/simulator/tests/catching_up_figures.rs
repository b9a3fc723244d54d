//! What catching up costs on a slow link, printed for docs/CAPACITY.md:
//! `cargo test -p simulator --test catching_up_figures -- --ignored --nocapture`.
mod common;
#[path = "common/open.rs"]
mod open;
use common::lose_disk;
use control_state::*;
use open::*;
use primitives::{Addr, Span};
use simulator::*;

/// 9 Mbit/s in bytes a second.
const SLOW: u64 = 1_125_000;

/// As many items as operators of a large deployment change over and over.
const NAMES: u64 = 500;

fn changes(w: &mut World, f: &Fleet, salt: &str, n: u64) {
    for i in 0..n {
        let name = format!("{salt}{}", i % NAMES);
        let body = Some(Body::Service(service_entry(Some(i))));
        let ver = i / NAMES + 1;
        w.edit(f.edges[i as usize % f.edges.len()], vec![edit(Section::Services, &name, ver, body)]);
        w.run(Span::ms(20));
    }
    w.run(Span::secs(5));
}

#[test]
#[ignore = "a measurement of some minutes"]
fn figures_by_changes() {
    for n in [100, 1_000, 10_000] {
        let (mut w, f) = World::running_open_fleet(Plan { link: Some(SLOW), ..Plan::open() }, 55_000);
        let k = f.controllers[3];
        for wiped in [false, true] {
            w.kill(k);
            if wiped {
                w.wipe(k);
            }
            changes(&mut w, &f, &format!("{wiped}"), n);
            figure(&mut w, k, &format!("{n} changes, disk {}", if wiped { "lost" } else { "kept" }));
            w.run(Span::secs(3));
        }
    }
}

#[test]
#[ignore = "a measurement of some minutes"]
fn figures_by_routes() {
    for n in [1500, 5000] {
        // As on a platform machine with 64 MB of disk.
        let (controller_room, controller_disk) = (9 << 20, 24 << 20);
        let plan = Plan { link: Some(SLOW), controller_room, controller_disk, ..Plan::open() };
        let (mut w, f) = World::running_open_fleet(plan, 55_001);
        routes(&mut w, &f, n, 100);
        w.run(Span::secs(10));
        let k = f.controllers[3];
        lose_disk(&mut w, k);
        w.run(Span::secs(1));
        figure(&mut w, k, &format!("{n} routes, disk lost"));
    }
}

fn figure(w: &mut World, k: Addr, what: &str) {
    let before = w.procs[&k].bytes_to;
    w.start(k);
    let began = w.now;
    let done = w.until(Span::secs(120), |w| w.controller(k).is_some_and(|c| c.is_caught_up()));
    let (ms, bytes) = ((w.now - began).as_ms(), w.procs[&k].bytes_to - before);
    let state = w.controller(k).map_or(0, |c| postcard::to_stdvec(c.state()).map_or(0, |b| b.len()));
    let disk: usize = w.procs[&k].disk.iter().map(Vec::len).sum();
    println!("| {what} | {ms} | {} | {} | {} | {done} |", bytes / 1000, state / 1000, disk / 1000);
}
