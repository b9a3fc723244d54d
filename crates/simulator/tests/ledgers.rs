//! Stories of a changing set of ledgers: no key is ever freed by it.
mod common;
use common::*;
use control_state::*;
use primitives::{Addr, NodeId, Span};
use simulator::*;

/// The same keys again and again through any edge, while half the answers are lost.
fn keyed_load(w: &mut World, f: &Fleet, secs: u64) {
    f.desks.iter().for_each(|a| w.origins.get_mut(a).unwrap().lose = 0.5);
    for i in 0..secs * 40 {
        let g = f.edges[w.rng.usize(0..f.edges.len())];
        let k = format!("k{}-{}", i / 800, w.rng.u64(0..60));
        w.later(Span::ms(i * 25), move |w| {
            w.post(g, "pay", "sum", Some(&k));
        });
    }
}

fn remove(w: &mut World, f: &Fleet, id: u16) {
    let op = Op::RemoveNode(NodeId(id as u64));
    let c = Change { id: Some(format!("rm{id}-{}", w.now.0).as_str().into()), op };
    w.ask(f.controllers[1], Want::Change(c));
}

fn newcomer(w: &mut World, f: &Fleet, id: u16, machine: u8, zone: usize) -> Addr {
    let zone = w.plan.zones[zone];
    let a = addr(machine, 3);
    w.add_ledger(id, a, zone, &f.controllers[1..]);
    w.start(a);
    a
}

fn served_keyed(w: &World) -> usize {
    let keyed = |s: &Exchange| matches!(&s.want, Want::Request(q) if q.key.is_some());
    w.steps().filter(|(s, x)| keyed(s) && matches!(x, Step::Serve(..))).count()
}

/// The set changes under keyed load, from several seeds.
fn changing(seeds: std::ops::Range<u64>, change: impl Fn(&mut World, &Fleet)) {
    for seed in seeds {
        let plan = if seed % 2 == 0 { Plan::trinacria() } else { Plan::bersatu() };
        let (mut w, f) = World::running_fleet(plan, seed);
        keyed_load(&mut w, &f, 20);
        w.run(Span::secs(4));
        change(&mut w, &f);
        w.run(Span::secs(20));
        assert!(served_keyed(&w) > 100);
        clean(&mut w);
    }
}

#[test]
fn given_ledgers_that_join_under_keyed_load_then_no_key_runs_twice() {
    changing(300..304, |w, f| {
        for (i, zone) in [0, 1, 3].into_iter().enumerate() {
            newcomer(w, f, 210 + i as u16, 20 + i as u8, zone);
            w.run(Span::secs(3));
        }
    });
}

#[test]
fn given_ledgers_that_are_removed_under_keyed_load_then_no_key_runs_twice() {
    changing(310..314, |w, f| {
        for i in 0..2u16 {
            w.kill(f.ledgers[i as usize]);
            remove(w, f, 200 + i);
            w.run(Span::secs(4));
        }
    });
}

#[test]
fn given_a_ledger_replaced_by_another_under_keyed_load_then_no_key_runs_twice() {
    changing(320..324, |w, f| {
        w.kill(f.ledgers[2]);
        remove(w, f, 202);
        newcomer(w, f, 220, 22, 2);
    });
}

/// It ran alone for longer than the window before the controllers ever heard of it.
#[test]
fn given_ledgers_whose_joining_is_delayed_past_the_window_then_no_key_runs_twice() {
    for seed in 330..333 {
        let (mut w, f) = World::running_fleet(Plan::bersatu(), seed);
        let late: Vec<Addr> =
            (0..3u16).map(|i| newcomer(&mut w, &f, 230 + i, 30 + i as u8, i as usize)).collect();
        w.isolate(&late);
        w.run(Span::secs(110));
        keyed_load(&mut w, &f, 20);
        w.run(Span::secs(5));
        w.heal();
        w.run(Span::secs(20));
        assert!(served_keyed(&w) > 100);
        clean(&mut w);
    }
}

/// Each change is over before the next one, and in the end all that joined grant.
#[test]
fn given_changes_in_a_row_then_each_waits_for_the_last_and_in_the_end_the_newcomers_grant_alone() {
    let plan = Plan { window: Span::secs(75), ..Plan::trinacria() };
    let (mut w, f) = World::running_fleet(plan, 340);
    keyed_load(&mut w, &f, 300);
    let new: Vec<Addr> = (0..3u16).map(|i| newcomer(&mut w, &f, 240 + i, 40 + i as u8, i as usize)).collect();
    w.run(Span::secs(5));
    for (i, c) in f.ledgers.iter().enumerate() {
        w.kill(*c);
        if i > 2 {
            w.start(*c);
        }
    }
    (0..3).for_each(|i| remove(&mut w, &f, 200 + i));
    w.run(Span::secs(200));
    (3..6).for_each(|i| w.kill(f.ledgers[i]));
    (3..6).for_each(|i| remove(&mut w, &f, 200 + i as u16));
    w.run(Span::secs(130));
    let since = w.now;
    f.desks.iter().for_each(|a| w.origins.get_mut(a).unwrap().lose = 0.0);
    (0..50).for_each(|i| {
        w.post(f.edges[i % 5], "pay", "sum", Some(&format!("last{i}")));
    });
    w.run(Span::secs(3));
    let (ok, n) = lately(&w, since);
    assert_eq!((ok, n), (50, 50), "keys are not granted by {} newcomers", new.len());
    clean(&mut w);
}
