//! Stories of versions: read-back at a controller that lags, and edges that start anew.
mod common;
use common::*;
use control_state::*;
use primitives::{Mono, Span};
use simulator::*;

#[test]
fn given_a_controller_that_missed_an_acknowledged_change_when_it_is_read_then_it_shows_it_or_nothing() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 11);
    // It hears nobody for a moment, others hear it; then it is asked at once.
    let lag = f.controllers[3];
    for k in &f.controllers[..3] {
        w.cuts.insert((*k, lag));
    }
    let n = done(&w);
    w.set_row(f.controllers[0], "a", "ask", "desk", 1, row(90, Kind::Plain, Span(0)));
    assert!(w.until(Span::secs(15), |w| done(w) > n));
    w.heal();
    w.ask(lag, Want::Table);
    w.run(Span::secs(3));
    assert!(w.exchanges.iter().any(|s| matches!(s.receipt, NodeReply::Table(..))));
    clean(&mut w);
}

#[test]
fn given_a_edge_that_showed_a_change_only_one_controller_applied_when_it_starts_anew_then_it_does_not_go_back(
) {
    for seed in 0..10 {
        let (mut w, f) = World::running_fleet(Plan::bersatu(), 20 + seed);
        let (one, g) = (f.controllers[0], f.edges[0]);
        w.rules.acked.insert(Key::Row("ask".into(), "desk".into()), (primitives::Version(1), Mono(0)));
        w.run(Span::ms(500));
        let known = |w: &World, k: &primitives::Addr| w.controller(*k).unwrap().known();
        let before: Vec<usize> = f.controllers.iter().map(|k| known(&w, k)).collect();
        w.set_row(one, "a", "ask", "desk", 1, row(90, Kind::Plain, Span(0)));
        // Its votes come back, but nobody hears that it was decided.
        while f.controllers.iter().zip(&before).any(|(k, n)| known(&w, k) == *n) {
            w.run(Span(100));
        }
        for k in &f.controllers[1..] {
            w.cuts.insert((one, *k));
        }
        w.run(Span::ms(100));
        w.kill(g);
        for k in &f.controllers {
            w.cuts.insert((*k, one));
        }
        w.cut(one, g);
        w.start(g);
        w.run(Span::secs(8));
        clean(&mut w);
    }
}

#[test]
fn given_a_edge_restarted_while_renewals_for_its_last_life_are_on_their_way_then_they_lend_it_nothing() {
    let plan = Plan { dup: 1.0, one_way_us: [17_500; 3], ..Plan::bersatu() };
    let (mut w, f) = World::running_fleet(plan, 31);
    for i in 0..20u64 {
        let g = f.edges[i as usize % 5];
        w.kill(g);
        w.start(g);
        w.run(Span::ms(137));
    }
    w.run(Span::secs(2));
    clean(&mut w);
}
