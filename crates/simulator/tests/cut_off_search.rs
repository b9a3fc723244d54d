//! The seeded search over control machines that lose contact, one after the other and in any
//! way, amid orders at all nodes (`LANEWING_SEED`, `LANEWING_SEEDS`).
mod common;
#[path = "common/open.rs"]
mod open;
use common::{clean, number};
use control_state::*;
use open::*;
use primitives::{Addr, Span};
use simulator::*;

const TURN: Span = Span::secs(10);
const TURNS: u64 = 4;

/// In its turn some control machine is out of contact for a while, and confirms nothing.
fn lose_contact_in(w: &mut World, turn: u64) {
    let machine = [2, 3, 4, 6][w.rng.usize(0..4)];
    let trouble = CONTACT_LOSSES[w.rng.usize(0..4)];
    let at = Span(TURN.0 * turn + w.rng.u64(0..1_000_000));
    let long = Span::ms(w.rng.u64(1000..8000));
    w.later(at, move |w| {
        let lost = w.now;
        w.lose_contact(machine, trouble);
        w.later(long, move |w| {
            let back = w.now;
            w.regain_contact(machine, trouble);
            w.later(Span::ms(20), move |w| {
                for confirmed in w.confirmed_by(machine, lost, back) {
                    w.rules.violated("confirmed out of contact", format!("{trouble:?}: {confirmed}"));
                }
            });
        });
    });
}

/// Orders, readings and last words at any node.
fn orders(w: &mut World, f: &Fleet) {
    for i in 0..TURN.as_ms() * TURNS / 400 {
        let nodes: Vec<Addr> = f.edges.iter().chain(&f.controllers).copied().collect();
        let at = nodes[w.rng.usize(0..nodes.len())];
        let version = 10 + i + w.rng.u64(0..3);
        w.later(Span::ms(400 * i), move |w| {
            w.edit(at, next_edit(version));
            w.purge_by(at, PurgeBy::Tag("red".into()));
            w.ask(at, if at.0.port() == 2 { Want::Read } else { Want::Table });
            w.ask(at, Want::SignOff("nobody".into()));
            w.send_heartbeat(addr(50, 80), at);
        });
    }
}

fn drain_some(w: &mut World, f: &Fleet) {
    for origin in [f.desks[0], f.desks[1]] {
        let at = Span(w.rng.u64(0..TURN.0 * TURNS));
        let door = w.rng.usize(0..f.edges.len());
        w.later(at, move |w| {
            let origin = w.origins.get_mut(&origin).expect("is there");
            (origin.mood, origin.controller) = (Mood::Leaving, door);
        });
    }
}

/// None waits at a frozen edge: one that serves on goes by what it knew until it hears a
/// controller, see docs/in-force.md.
fn requests(w: &mut World, f: &Fleet) {
    for i in 0..TURN.as_ms() * TURNS / 50 {
        let edge = f.edges[w.rng.usize(0..f.edges.len())];
        w.later(Span::ms(50 * i), move |w| {
            if !w.procs[&edge].frozen {
                w.call(edge, "ask", &format!("{i}"));
            }
        });
    }
}

fn mixture(seed: u64) {
    let plan = Plan { drop: 0.002, dup: 0.01, drift: 20, cut_at: 48, ..Plan::open() };
    let (mut w, f) = World::running_open_fleet(plan, 71_000 + seed);
    let all = Span(TURN.0 * TURNS);
    (0..TURNS).for_each(|turn| lose_contact_in(&mut w, turn));
    orders(&mut w, &f);
    drain_some(&mut w, &f);
    requests(&mut w, &f);
    w.hold_drains(all);
    f.controllers.iter().for_each(|c| w.watch_origins(*c, all));
    w.run(all);
    w.plan.drop = 0.0;
    w.run(Span::secs(8));
    for (i, edge) in f.edges.iter().enumerate() {
        edited(&mut w, *edge, next_edit(5000 + i as u64));
    }
    common_configuration(&mut w, &f, &format!("seed {seed}"));
    assert!(w.signed_off.contains(&f.desks[0]), "seed {seed}: no node took the drain");
    println!("seed {seed}: {} changes done", common::done(&w));
    clean(&mut w);
}

#[test]
fn given_control_machines_that_lose_contact_in_any_way_then_nothing_false_is_confirmed_and_all_agree() {
    let (from, n) = (number("LANEWING_SEED", 0), number("LANEWING_SEEDS", 24));
    (from..from + n).for_each(mixture);
}
