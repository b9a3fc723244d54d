//! Stories of machines, disks and nets that fail.
mod common;
use common::*;
use control_state::*;
use primitives::{Addr, Span};
use simulator::*;

fn edit(w: &mut World, k: Addr, n: u64) {
    w.set_row(k, &format!("edit{n}"), "ask", "desk", n, row(400, Kind::Plain, Span(0)));
}

fn taken(w: &mut World, k: Addr, n: u64, most: Span) -> Span {
    let (was, at) = (done(w), w.now);
    edit(w, k, n);
    assert!(w.until(most, |w| done(w) > was), "the change was not acknowledged");
    w.now - at
}

#[test]
fn given_a_closing_fault_right_after_an_acknowledgement_then_all_serves_again_and_nothing_is_missing() {
    for seed in 30..36 {
        let plan = if seed % 2 == 0 { Plan::trinacria() } else { Plan::bersatu() };
        let (mut w, f) = World::running_fleet(plan, seed);
        traffic(&mut w, &f, 40, 50);
        taken(&mut w, f.controllers[(seed % 4) as usize], 1, Span::secs(5));
        let all: Vec<Addr> = w.procs.keys().copied().collect();
        all.iter().for_each(|a| w.kill(*a));
        w.run(Span::secs(3));
        w.start_all();
        let back = w.now;
        w.run(Span::secs(15));
        let since = w.now;
        w.run(Span::secs(10));
        let (ok, n) = lately(&w, since);
        assert!(ok * 10 >= n * 9, "{ok} of {n} served 15 s after {back:?}");
        whole(&mut w, &f);
        clean(&mut w);
    }
}

/// One machine with a disk, controller and edge and ledger together, never returns.
#[test]
fn given_a_closing_fault_from_which_one_disk_machine_never_returns_then_all_else_serves_and_nothing_is_missing(
) {
    for (i, m) in [1, 2, 3, 4, 14, 15].into_iter().enumerate() {
        let plan = if i % 2 == 0 { Plan::trinacria() } else { Plan::bersatu() };
        let (mut w, f) = World::running_fleet(plan, 360 + i as u64);
        let keyed = |w: &mut World, edges: &[Addr], secs: u64| {
            let (edges, n) = (edges.to_vec(), w.rng.u64(0..1000));
            for i in 0..secs * 20 {
                let (g, k) = (edges[w.rng.usize(0..edges.len())], format!("c{n}-{}", w.rng.u64(0..secs * 8)));
                w.later(Span::ms(i * 50), move |w| {
                    w.post(g, "pay", "sum", Some(&k));
                });
            }
        };
        keyed(&mut w, &f.edges, 4);
        traffic(&mut w, &f, 4, 50);
        w.run(Span::secs(4));
        let k = f.controllers.iter().position(|k| *k != addr(m, 1)).unwrap();
        taken(&mut w, f.controllers[k], 1, Span::secs(5));
        let all: Vec<Addr> = w.procs.keys().copied().collect();
        all.iter().for_each(|a| w.kill(*a));
        w.run(Span::secs(3));
        let (lost, rest): (Vec<Addr>, Vec<Addr>) =
            all.into_iter().partition(|a| (1..4).any(|p| *a == addr(m, p)));
        rest.iter().for_each(|a| w.start(*a));
        let edges: Vec<Addr> = f.edges.iter().filter(|g| rest.contains(g)).copied().collect();
        // The same keys again, as callers do who had no answer.
        keyed(&mut w, &edges, 30);
        for i in 0..1500u64 {
            let g = edges[i as usize % edges.len()];
            w.later(Span::ms(i * 20), move |w| {
                w.get(g, if i % 3 == 0 { "ask" } else { "read" }, &format!("o{}", i % 20));
            });
        }
        w.run(Span::secs(15));
        let since = w.now;
        f.controllers.iter().filter(|k| rest.contains(k)).for_each(|k| {
            w.ask(*k, Want::Table);
        });
        w.run(Span::secs(10));
        let (ok, n) = lately(&w, since);
        println!("without machine {m}: {ok} of {n} served from 15 s on");
        assert!(ok * 100 >= n * 95, "{ok} of {n} served without machine {m}");
        let read = w.exchanges.iter().filter(|s| matches!(s.receipt, NodeReply::Table(..))).count();
        assert_eq!(read, f.controllers.iter().filter(|k| rest.contains(k)).count());
        // Replaced from an empty disk.
        lost.iter().for_each(|a| w.wipe(*a));
        lost.iter().for_each(|a| w.start(*a));
        w.run(Span::secs(8));
        taken(&mut w, f.controllers[m as usize % 4], 2, Span::secs(12));
        whole(&mut w, &f);
        clean(&mut w);
    }
}

#[test]
fn given_a_controller_whose_disk_is_lost_then_it_returns_under_a_new_id_and_changes_go_on() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 40);
    let lost = f.controllers[2];
    let old = w.controller(lost).unwrap().member_id();
    taken(&mut w, f.controllers[0], 1, Span::secs(5));
    w.kill(lost);
    w.wipe(lost);
    taken(&mut w, f.controllers[0], 2, Span::secs(5));
    w.start(lost);
    assert!(w.until(Span::secs(10), |w| w.controller(lost).unwrap().member_id().is_some()), "it got no seat");
    let new = w.controller(lost).unwrap().member_id();
    assert!(new > old && new.unwrap().0 >= 4, "{old:?} became {new:?}");
    w.run(Span::secs(1));
    taken(&mut w, lost, 3, Span::secs(5));
    // Now another one may be lost: the new one counts fully.
    w.kill(f.controllers[0]);
    taken(&mut w, f.controllers[1], 4, Span::secs(5));
    w.start(f.controllers[0]);
    w.run(Span::secs(3));
    whole(&mut w, &f);
    clean(&mut w);
}

#[test]
fn given_a_dead_controller_when_an_operator_gives_its_seat_to_a_new_machine_then_that_one_decides_too() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 41);
    w.kill(f.controllers[3]);
    let new = addr(9, 1);
    w.add_controller(new, "sicilia/d", f.controllers[..3].to_vec(), false);
    w.start(new);
    w.run(Span::secs(1));
    let t = w.ask(f.controllers[0], Want::Ready);
    assert!(t.0 > 0);
    w.at(Span(0), Event::Ask(f.controllers[0], t, Ask::Replace { old: f.controllers[3], new }));
    assert!(w.until(Span::secs(10), |w| w.controller(new).unwrap().member_id().is_some()));
    w.kill(f.controllers[1]);
    taken(&mut w, new, 1, Span::secs(15));
    clean(&mut w);
}

#[test]
fn given_the_core_cut_off_then_edges_serve_for_their_lease_and_then_deny() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 42);
    traffic(&mut w, &f, 40, 50);
    w.run(Span::secs(2));
    w.isolate(&f.controllers);
    let cut = w.now;
    w.run(Span::secs(3));
    // The edges' own probes keep them informed: this one dies unannounced.
    w.crash_origin(f.desks[0]);
    w.run(Span::secs(5));
    let (ok, n) = lately(&w, cut);
    assert!(ok * 10 >= n * 9, "{ok} of {n} served within the lease");
    w.run(Span::secs(5));
    let gone = w.now;
    w.run(Span::secs(5));
    let (ok, n) = lately(&w, gone);
    assert_eq!(ok, 0, "{ok} of {n} served without a lease");
    w.heal();
    w.run(Span::secs(4));
    let back = w.now;
    w.run(Span::secs(5));
    let (ok, n) = lately(&w, back);
    assert!(ok * 10 >= n * 9, "{ok} of {n} served after the cut");
    clean(&mut w);
}

#[test]
fn given_one_edge_isolated_then_a_change_waits_for_its_lease_and_no_longer() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 43);
    traffic(&mut w, &f, 30, 50);
    w.run(Span::secs(1));
    w.isolate(&f.edges[1..2]);
    let took = taken(&mut w, f.controllers[0], 1, Span::secs(15));
    println!("acknowledged after {} ms", took.as_ms());
    assert!(took > Span::secs(8) && took < Span::ms(11_800), "{} ms", took.as_ms());
    w.run(Span::secs(2));
    w.heal();
    w.run(Span::secs(10));
    clean(&mut w);
}

#[test]
fn given_a_edge_frozen_over_a_change_when_it_thaws_then_it_serves_nothing_old() {
    for (seed, secs) in [(44, 3), (45, 12), (46, 25)] {
        let (mut w, f) = World::running_fleet(Plan::trinacria(), seed);
        traffic(&mut w, &f, 40, 80);
        w.run(Span::secs(1));
        w.freeze(f.edges[0]);
        edit(&mut w, f.controllers[0], 1);
        w.crash_origin(f.pages[0]);
        w.run(Span::secs(secs));
        w.thaw(f.edges[0]);
        w.run(Span::secs(20));
        assert_eq!(done(&w), 4);
        clean(&mut w);
    }
}

#[test]
fn given_two_controllers_parted_from_two_then_nothing_is_decided_and_all_agree_afterwards() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 47);
    for a in &f.controllers[..2] {
        f.controllers[2..].iter().for_each(|b| w.cut(*a, *b));
    }
    edit(&mut w, f.controllers[0], 1);
    edit(&mut w, f.controllers[3], 1);
    w.run(Span::secs(8));
    assert_eq!(done(&w), 3);
    w.heal();
    w.run(Span::secs(15));
    whole(&mut w, &f);
    clean(&mut w);
}

#[test]
fn given_a_member_long_absent_when_eras_are_cut_meanwhile_then_memory_is_bounded_and_it_catches_up() {
    let plan = Plan { cut_at: 40, ..Plan::trinacria() };
    let (mut w, f) = World::running_fleet(plan, 48);
    let away = f.controllers[3];
    w.kill(away);
    for n in 1..=200u64 {
        taken(&mut w, f.controllers[n as usize % 3], n, Span::secs(5));
        let most = f.controllers[..3].iter().map(|k| w.controller(*k).unwrap().known()).max();
        assert!(most < Some(80), "{most:?} commands held");
    }
    let era = w.controller(f.controllers[0]).unwrap().state().era;
    assert!(era.0 > 4, "{era:?}");
    w.start(away);
    w.run(Span::secs(3));
    assert_eq!(w.controller(away).unwrap().state().era, w.controller(f.controllers[0]).unwrap().state().era);
    whole(&mut w, &f);
    clean(&mut w);
}

#[test]
fn given_a_controller_whose_disk_stalls_then_the_others_decide_without_it() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 49);
    let slow = f.controllers[1];
    w.procs.get_mut(&slow).unwrap().stalled = true;
    w.run(Span::secs(2));
    // It cannot renew leases either; three others can.
    let took = taken(&mut w, f.controllers[0], 1, Span::secs(16));
    println!("acknowledged after {} ms with one disk stalled", took.as_ms());
    w.unstall(slow);
    w.run(Span::secs(3));
    whole(&mut w, &f);
    clean(&mut w);
}
