//! Stories of a deployment whose controllers nobody counted: founding, joining, loss.
mod common;
use control_state::*;
use primitives::{Addr, Span};
use simulator::*;

fn plan() -> Plan {
    let open = Some(controller::Open { initial: true, keeps: true, losses: 1 });
    Plan { open, serve_without_lease: true, lease: Span::ms(600), ..Plan::trinacria() }
}

/// Controllers, porters and edges that know three seeds, the same for all; none started.
fn planted(seed: u64, seeds: [u8; 3]) -> (World, Vec<Addr>, Vec<Addr>) {
    let mut w = World::empty(plan(), seed);
    let controllers: Vec<Addr> = [2, 3, 5, 6].map(|m| addr(m, 1)).to_vec();
    let seeds = seeds.map(|m| addr(m, 1)).to_vec();
    let z = w.plan.zones;
    [1, 4, 7].into_iter().for_each(|m| w.add_diskless_controller(addr(m, 1), z[0], seeds.clone()));
    controllers.iter().enumerate().for_each(|(i, k)| w.add_controller(*k, z[i], seeds.clone(), false));
    let edges: Vec<Addr> = (0..5).map(|i| addr(i + 1, 2)).collect();
    edges.iter().enumerate().for_each(|(i, g)| w.add_edge(100 + i as u16, *g, z[i % 4], &seeds));
    for (i, m) in [2, 3, 5, 6].into_iter().enumerate() {
        w.add_ledger(200 + i as u16, addr(m, 3), z[i], &seeds);
    }
    (w, controllers, edges)
}

fn members(w: &World, k: Addr) -> usize {
    w.controller(k).map_or(0, |k| k.state().members.len())
}

fn whole(w: &World, ks: &[Addr]) -> bool {
    ks.iter().all(|k| members(w, *k) == 4)
}

fn ready(w: &mut World, g: Addr) -> Health {
    w.ask(g, Want::Ready);
    w.run(Span::ms(20));
    let said = w.exchanges.iter().rev().find(|s| s.at == g).map(|s| s.receipt.clone());
    let Some(NodeReply::Health(h)) = said else { panic!("{g}: {said:?}") };
    h
}

/// Seeds that keep, that do not, and the first of which does not.
const SEEDS: [[u8; 3]; 4] = [[2, 3, 5], [1, 2, 3], [1, 4, 7], [4, 5, 6]];

#[test]
fn given_three_common_seeds_then_one_founds_and_all_that_keep_join_and_edges_are_in_touch() {
    for (seed, seeds) in (900..920).zip(SEEDS.into_iter().cycle()) {
        let (mut w, ks, gs) = planted(seed, seeds);
        w.start_all();
        assert!(w.until(Span::secs(5), |w| whole(w, &ks)), "not all have a seat, seed {seed}");
        w.run(Span::secs(2));
        for g in &gs {
            let h = ready(&mut w, *g);
            assert!(h.ready, "{g} is not ready: {}, seed {seed}", h.why);
        }
    }
}

/// Whoever is late, killed or without a disk meanwhile, there is one deployment.
#[test]
fn given_mishaps_while_founding_then_there_is_never_a_second_deployment() {
    for (seed, seeds) in (930..990).zip(SEEDS.into_iter().cycle()) {
        let (mut w, ks, _) = planted(seed, seeds);
        let all: Vec<Addr> = w.procs.keys().copied().collect();
        for a in &all {
            let late = Span::ms(w.rng.u64(0..1500));
            let a = *a;
            w.later(late, move |w| w.start(a));
        }
        for n in 0..3 {
            let a = ks[w.rng.usize(0..ks.len())];
            let at = Span::ms(w.rng.u64(100..3500));
            // Before others joined, a founder's disk is all there is, and nothing was taken
            // yet; later one loss at a time is borne.
            let all = ks.clone();
            w.later(at, move |w| {
                let wiped = n == 0 && whole(w, &all);
                w.kill(a);
                if wiped {
                    w.wipe(a);
                }
            });
            w.later(at + Span::ms(300), move |w| w.start(a));
        }
        w.run(Span::secs(12));
        let eras: std::collections::BTreeSet<_> =
            ks.iter().filter_map(|k| w.controller(*k)).map(|k| k.state().members.clone()).collect();
        assert_eq!(eras.len(), 1, "seed {seed}: {eras:#?}");
        assert!(whole(&w, &ks), "seed {seed}: {eras:#?}");
    }
}
