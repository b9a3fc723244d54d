//! Stories of a changing set of ledgers where two lost disks are borne.
mod common;
use common::*;
use control_state::*;
use primitives::{NodeId, Span};
use simulator::*;

fn remove(w: &mut World, f: &Fleet, id: u16) {
    let c = Change { id: Some(format!("rm{id}").as_str().into()), op: Op::RemoveNode(NodeId(id as u64)) };
    w.ask(f.controllers[1], Want::Change(c));
}

fn sets(w: &World, f: &Fleet) -> usize {
    Roll::of(w.edge(f.edges[0]).unwrap().items()).sets.len()
}

/// Keys again and again through any edge, while half the answers are lost.
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

#[test]
fn given_ledgers_that_join_and_go_and_a_disk_lost_while_the_set_changes_then_no_key_runs_twice() {
    for (ledgers, seed) in [(5, 610), (5, 611), (8, 612), (8, 613)] {
        let plan = if seed % 2 == 0 { Plan::trinacria() } else { Plan::bersatu() };
        let plan = Plan { losses: 2, ledgers, window: Span::secs(75), ..plan };
        let (mut w, f) = World::running_fleet(plan, seed);
        keyed_load(&mut w, &f, 30);
        w.run(Span::secs(3));
        let (new, zone) = (addr(30, 3), w.plan.zones[1]);
        w.add_ledger(230, new, zone, &f.controllers[1..]);
        w.start(new);
        w.kill(f.ledgers[0]);
        remove(&mut w, &f, 200);
        w.run(Span::secs(3));
        assert_eq!(sets(&w, &f), 2, "the set changes");
        // The one that left stays in the older set: with it one more disk may go.
        let lost = f.ledgers[2];
        w.kill(lost);
        w.wipe(lost);
        w.start(lost);
        w.run(Span::secs(8));
        assert!(w.ledger(lost).unwrap().is_open(), "not back");
        w.run(Span::secs(100));
        assert_eq!(sets(&w, &f), 1, "the set has settled");
        f.desks.iter().for_each(|a| w.origins.get_mut(a).unwrap().lose = 0.0);
        // Two down: each key has a quorum left.
        [f.ledgers[1], new].iter().for_each(|a| w.kill(*a));
        let since = w.now;
        (0..50).for_each(|i| {
            w.post(f.edges[i % 5], "pay", "sum", Some(&format!("last{i}")));
        });
        w.run(Span::secs(3));
        assert_eq!(lately(&w, since), (50, 50));
        clean(&mut w);
    }
}
