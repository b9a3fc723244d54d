//! Disks of ledgers lost again and again, at random. `LANEWING_SEEDS` and `LANEWING_SEED`
//! make it longer or start it elsewhere.
mod common;
use common::*;
use primitives::{Addr, Span};
use simulator::*;

/// Hot keys, claimed at several edges at once, while disks are lost and links break.
fn losing(seed: u64, losses: usize, ledgers: usize, power: bool) {
    let plan = if seed.is_multiple_of(2) { Plan::trinacria() } else { Plan::bersatu() };
    let (mut w, f) = World::running_fleet(Plan { losses, ledgers, drop: 0.03, dup: 0.02, ..plan }, seed);
    lose_answers(&mut w, &f, 0.8);
    for i in 0..24 * 30 {
        let (k, n) = (w.rng.u64(0..12), w.rng.usize(1..4));
        let edges: Vec<Addr> = (0..n).map(|_| f.edges[w.rng.usize(0..5)]).collect();
        w.later(Span::ms(i * 33), move |w| {
            edges.iter().for_each(|g| pay(w, *g, &format!("k{}-{k}", i / 350)));
        });
        let (g, c) = (f.edges[w.rng.usize(0..5)], f.ledgers[w.rng.usize(0..ledgers)]);
        w.later(Span::ms(i * 33), move |w| w.cut(g, c));
        w.later(Span::ms(i * 33 + 150), move |w| {
            w.cuts.remove(&(g, c));
            w.cuts.remove(&(c, g));
        });
    }
    for i in 0..3 {
        let at = i * 8000 + 1000 + w.rng.u64(0..500);
        let mut lost = f.ledgers.clone();
        w.rng.shuffle(&mut lost);
        lost.truncate(losses);
        let all = f.ledgers.clone();
        let down = w.rng.u64(1..60);
        w.later(Span::ms(at), move |w| {
            all.iter().filter(|a| power || lost.contains(a)).for_each(|a| w.kill(*a));
            lost.iter().for_each(|a| w.wipe(*a));
            w.later(Span::ms(down), move |w| all.iter().for_each(|a| w.start(*a)));
        });
    }
    w.run(Span::secs(30));
    assert!(f.ledgers.iter().all(|a| open(&w, a)), "seed {seed}: not all ledgers are back");
    w.plan.drop = 0.0;
    grants(&mut w, &f, "new");
    assert!(w.rules.violations.is_empty(), "seed {seed}: {:#?}", w.rules.violations);
}

#[test]
fn given_hot_keys_and_disks_lost_again_and_again_then_no_key_goes_to_two_rounds() {
    let (from, n) = (number("LANEWING_SEED", 560), number("LANEWING_SEEDS", 8));
    for seed in from..from + n {
        let (losses, ledgers) = [(1, 4), (2, 5), (2, 8), (1, 3)][seed as usize % 4];
        losing(seed, losses, ledgers, seed / 4 % 2 == 0);
    }
}
