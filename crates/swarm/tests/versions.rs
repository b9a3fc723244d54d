//! Stories of versions: read-back at a keeper that lags, and gates that start anew.
mod common;
use brood::*;
use common::*;
use swarm::*;
use wax::{Mono, Span};

#[test]
fn given_a_keeper_that_missed_an_acknowledged_change_when_it_is_read_then_it_shows_it_or_nothing() {
    let (mut w, f) = World::standing(Plan::bersatu(), 11);
    // It hears nobody for a moment, others hear it; then it is asked at once.
    let lag = f.keepers[3];
    for k in &f.keepers[..3] {
        w.cuts.insert((*k, lag));
    }
    let n = done(&w);
    w.set_row(f.keepers[0], "a", "ask", "desk", 1, row(90, Kind::Plain, Span(0)));
    assert!(w.until(Span::secs(15), |w| done(w) > n));
    w.heal();
    w.ask(lag, Want::Table);
    w.run(Span::secs(3));
    assert!(w.seen.iter().any(|s| matches!(s.receipt, Receipt::Table(..))));
    clean(&mut w);
}

#[test]
fn given_a_gate_that_showed_a_change_only_one_keeper_applied_when_it_starts_anew_then_it_does_not_go_back() {
    for seed in 0..10 {
        let (mut w, f) = World::standing(Plan::bersatu(), 20 + seed);
        let (one, g) = (f.keepers[0], f.gates[0]);
        w.rules.acked.insert(Key::Row("ask".into(), "desk".into()), (wax::Version(1), Mono(0)));
        w.set_row(one, "a", "ask", "desk", 1, row(90, Kind::Plain, Span(0)));
        // As soon as the first keeper has applied it, nobody hears it any more
        // but that one gate.
        let key = Key::Row("ask".into(), "desk".into());
        let k = key.clone();
        let showed = w.until(Span::secs(3), move |w| {
            w.gate(g).is_some_and(|x| x.items().get(&k).is_some_and(|i| i.ver.0 == 2))
        });
        for k in &f.keepers[1..] {
            w.cuts.insert((one, *k));
        }
        assert!(showed);
        w.kill(g);
        for k in &f.keepers {
            w.cuts.insert((*k, one));
        }
        w.cut(one, g);
        w.start(g);
        w.run(Span::secs(8));
        clean(&mut w);
    }
}
