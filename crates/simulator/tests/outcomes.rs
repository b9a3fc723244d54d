//! Stories of outcomes kept by one ledger only, near whoever asked first.
mod common;
#[path = "common/open.rs"]
mod open;
use common::{clean, runs};
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token};
use simulator::*;
use std::sync::Arc;

fn body(w: &World, t: Token) -> Option<(Arc<Vec<u8>>, Shared)> {
    match step(w, t)? {
        Step::Serve(x, from, _) => Some((x.body.clone(), *from)),
        _ => None,
    }
}

/// Keys that ran, with their answers.
fn ran(w: &mut World, f: &Fleet, n: usize) -> Vec<(String, Arc<Vec<u8>>)> {
    let keys: Vec<String> = (0..n).map(|i| format!("k{i}")).collect();
    let all: Vec<Token> = keys.iter().enumerate().map(|(i, k)| w.charge(f.edges[i % 6], k, k)).collect();
    w.run(Span::secs(1));
    let answers = all.iter().map(|t| body(w, *t).expect("served").0);
    keys.iter().cloned().zip(answers.collect::<Vec<_>>()).collect()
}

fn once(w: &mut World, all: &[(String, Arc<Vec<u8>>)]) {
    for (k, _) in all {
        assert_eq!(runs(w, &format!("/pay/{k}")), 1, "{k}");
    }
    clean(w);
}

#[test]
fn given_a_key_that_ran_then_a_repeat_at_any_edge_of_any_zone_gets_the_first_answer() {
    for seed in 2800..2804 {
        let (mut w, f) = World::standing_open(Plan::open(), seed);
        let all = ran(&mut w, &f, 24);
        for (k, first) in &all {
            let again: Vec<Token> = f.edges.iter().map(|g| w.charge(*g, k, k)).collect();
            w.run(Span::ms(200));
            for t in again {
                let got = body(&w, t);
                assert_eq!(got, Some((first.clone(), Shared::Record)), "{:?}, seed {seed}", told(&w, t));
            }
        }
        once(&mut w, &all);
    }
}

#[test]
fn given_the_ledger_that_keeps_an_outcome_down_then_a_repeat_waits_and_is_never_run_again() {
    type Deed = fn(&mut World, Addr);
    let troubles: [(Deed, Deed); 3] = [
        (|w, c| w.kill(c), |w, c| w.start(c)),
        (|w, c| w.freeze(c), |w, c| w.thaw(c)),
        (|w, c| w.isolate(&[c]), |w, _| w.heal()),
    ];
    for (seed, (begin, end)) in (2810..).zip(troubles) {
        let (mut w, f) = World::standing_open(Plan::open(), seed);
        let all = ran(&mut w, &f, 24);
        let (mut held, mut known) = (vec![0; 24], vec![0; 24]);
        for c in f.ledgers.clone() {
            begin(&mut w, c);
            w.run(Span::secs(1));
            let ask = |w: &mut World, k: &str| f.edges.iter().map(|g| w.charge(*g, k, k)).collect();
            let again: Vec<Vec<Token>> = all.iter().map(|(k, _)| ask(&mut w, k)).collect();
            w.run(Span::secs(1));
            for (i, t) in again.iter().enumerate().flat_map(|(i, ts)| ts.iter().map(move |t| (i, *t))) {
                match step(&w, t) {
                    Some(Step::Deny(Denied::KeyAtWork, _)) => held[i] += 1,
                    _ => {
                        let got = body(&w, t);
                        assert_eq!(got, Some((all[i].1.clone(), Shared::Record)), "{:?}", told(&w, t));
                        known[i] += 1;
                    }
                }
            }
            end(&mut w, c);
            w.run(Span::secs(2));
        }
        // One ledger of four has each outcome: six edges wait while it is gone.
        assert_eq!((held, known), (vec![6; 24], vec![18; 24]), "seed {seed}");
        for (k, first) in &all {
            let t = w.charge(f.edges[5], k, k);
            w.run(Span::ms(200));
            assert_eq!(body(&w, t), Some((first.clone(), Shared::Record)), "{:?}", told(&w, t));
        }
        once(&mut w, &all);
    }
}

/// The outcome is lost with its disk, but not that it ran.
#[test]
fn given_the_disk_of_any_ledger_lost_then_no_key_of_before_is_run_again() {
    for seed in 2820..2824 {
        let (mut w, f) = World::standing_open(Plan::open(), seed);
        let all = ran(&mut w, &f, 24);
        let lost = f.ledgers[seed as usize % 4];
        common::lose_disk(&mut w, lost);
        w.start(lost);
        for at in [0, 3, 8] {
            w.run(Span::secs(at));
            for (i, (k, first)) in all.iter().enumerate() {
                let t = w.charge(f.edges[(i + 1) % 6], k, k);
                w.run(Span::ms(500));
                match step(&w, t) {
                    Some(Step::Deny(Denied::KeyAtWork, _)) => (),
                    _ => assert_eq!(body(&w, t).map(|b| b.0), Some(first.clone()), "{:?}", told(&w, t)),
                }
            }
        }
        assert!(common::open(&w, &lost), "not back, seed {seed}");
        once(&mut w, &all);
    }
}
