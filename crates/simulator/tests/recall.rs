//! Stories of ledgers that lose their disks: they come back in seconds, and no key runs
//! twice by it.
mod common;
use common::*;
use control_state::*;
use primitives::{Addr, NodeId, Span};
use simulator::*;

fn running_fleet(losses: usize, ledgers: usize, seed: u64) -> (World, Fleet) {
    let plan = if seed.is_multiple_of(2) { Plan::trinacria() } else { Plan::bersatu() };
    World::running_fleet(Plan { losses, ledgers, drift: 0, ..plan }, seed)
}

/// The key's ledgers, in no order that matters.
fn named(w: &World, f: &Fleet, key: &str) -> Vec<Addr> {
    let roll = Roll::of(w.edge(f.edges[0]).unwrap().items());
    roll.named(&format!("pay/{key}"), w.plan.losses).remove(0)
}

/// Runs the key with no more than a quorum of its ledgers in reach; gives its ledgers, that
/// quorum first.
fn barely_granted(w: &mut World, f: &Fleet, key: &str) -> Vec<Addr> {
    let all = named(w, f, key);
    all[quorum(w.plan.losses)..].iter().for_each(|a| w.cut(f.edges[0], *a));
    pay(w, f.edges[0], key);
    w.run(Span::ms(120));
    assert_eq!(runs(w, key), 1);
    w.heal();
    all
}

#[test]
fn given_one_disk_lost_right_after_a_grant_then_its_ledger_is_back_in_seconds_and_the_key_runs_once() {
    for seed in 500..504 {
        let (mut w, f) = running_fleet(1, 4, seed);
        lose_answers(&mut w, &f, 1.0);
        let c = barely_granted(&mut w, &f, "k");
        lose_disk(&mut w, c[0]);
        w.start(c[0]);
        pay(&mut w, f.edges[1], "k");
        w.run(Span::secs(8));
        assert!(open(&w, &c[0]), "the ledger is not back");
        w.kill(c[1]);
        pay(&mut w, f.edges[2], "k");
        w.run(Span::secs(1));
        assert_eq!(runs(&w, "k"), 1);
        grants(&mut w, &f, "new");
        clean(&mut w);
    }
}

#[test]
fn given_two_disks_lost_right_after_a_grant_and_power_lost_by_all_then_the_key_runs_once() {
    for (ledgers, seed) in [(5, 510), (5, 511), (8, 512), (8, 513)] {
        let (mut w, f) = running_fleet(2, ledgers, seed);
        lose_answers(&mut w, &f, 1.0);
        let c = barely_granted(&mut w, &f, "k");
        f.ledgers.iter().for_each(|a| w.kill(*a));
        c[..2].iter().for_each(|a| w.wipe(*a));
        f.ledgers.iter().for_each(|a| w.start(*a));
        w.run(Span::ms(300));
        pay(&mut w, f.edges[1], "k");
        w.run(Span::secs(8));
        assert!(f.ledgers.iter().all(|a| open(&w, a)), "not all ledgers are back");
        // The one that knew of itself goes, and another one.
        [c[2], c[4]].iter().for_each(|a| w.kill(*a));
        pay(&mut w, f.edges[2], "k");
        w.run(Span::secs(1));
        assert_eq!(runs(&w, "k"), 1);
        grants(&mut w, &f, "new");
        clean(&mut w);
    }
}

/// A vote of the lost disk still counts at an edge, while the ledger's next life hears
/// from seats that the claim has not yet reached.
#[test]
fn given_a_claim_under_way_when_a_ledger_that_granted_it_loses_its_disk_then_the_key_runs_once() {
    for seed in (520..540).step_by(2) {
        let (mut w, f) = running_fleet(1, 4, seed);
        let c = named(&w, &f, "k");
        let (g1, g2) = (f.edges[0], f.edges[1]);
        [(g1, c[1]), (g1, c[2]), (g2, c[1])].iter().for_each(|(g, a)| w.cut(*g, *a));
        pay(&mut w, g1, "k");
        w.run(Span::ms(10));
        lose_disk(&mut w, c[0]);
        w.start(c[0]);
        w.run(Span::ms(280));
        pay(&mut w, g2, "k");
        w.run(Span::ms(30));
        w.cuts.retain(|(a, b)| (*a, *b) != (g1, c[1]) && (*a, *b) != (c[1], g1));
        w.run(Span::secs(8));
        assert_eq!(runs(&w, "k"), 1, "seed {seed}");
        clean(&mut w);
    }
}

/// The seats know two rounds of the key, and one of them is still asking.
#[test]
fn given_two_rounds_of_a_key_when_both_are_recalled_then_the_one_that_did_not_run_never_does() {
    for seed in 530..538 {
        let (mut w, f) = running_fleet(1, 4, seed);
        lose_answers(&mut w, &f, 1.0);
        let c = barely_granted(&mut w, &f, "k");
        let g2 = f.edges[1];
        lose_disk(&mut w, c[0]);
        w.start(c[0]);
        [c[0], c[1]].iter().for_each(|a| w.cut(g2, *a));
        w.run(Span::ms(5300));
        pay(&mut w, g2, "k");
        assert!(w.until(Span::ms(350), |w| open(w, &c[0])), "the ledger is not back");
        w.cuts.retain(|(a, b)| (*a, *b) != (g2, c[0]) && (*a, *b) != (c[0], g2));
        w.run(Span::secs(3));
        assert_eq!(runs(&w, "k"), 1, "seed {seed}");
        clean(&mut w);
    }
}

/// Each of the two hears from the other, and neither knows.
#[test]
fn given_two_disks_lost_and_the_ledger_that_knows_down_then_the_two_do_not_open_by_one_another() {
    for seed in 544..548 {
        let (mut w, f) = running_fleet(2, 5, seed);
        lose_answers(&mut w, &f, 1.0);
        let c = barely_granted(&mut w, &f, "k");
        w.kill(c[2]);
        c[..2].iter().for_each(|a| lose_disk(&mut w, *a));
        c[..2].iter().for_each(|a| w.start(*a));
        w.run(Span::secs(12));
        pay(&mut w, f.edges[1], "k");
        w.run(Span::secs(1));
        assert_eq!(runs(&w, "k"), 1, "seed {seed}");
        assert!(!c[..2].iter().any(|a| open(&w, a)), "grants by the word of one that lost as much");
        w.start(c[2]);
        w.run(Span::secs(1));
        assert!(c.iter().all(|a| open(&w, a)), "not all ledgers are back");
        grants(&mut w, &f, "new");
        clean(&mut w);
    }
}

#[test]
fn given_more_seats_unheard_than_may_be_then_the_ledger_waits_for_them_or_the_window() {
    for (losses, ledgers, seed) in [(1, 4, 540), (2, 5, 541), (2, 8, 542), (0, 4, 543)] {
        let (mut w, f) = running_fleet(losses, ledgers, seed);
        let version = |w: &World| w.edge(f.edges[0]).unwrap().items()[&Key::Roll].ver;
        let was = version(&w);
        let (lost, down) = (f.ledgers[0], &f.ledgers[1..1 + losses]);
        down.iter().for_each(|a| w.kill(*a));
        lose_disk(&mut w, lost);
        w.start(lost);
        w.run(Span::secs(30));
        assert!(!open(&w, &lost), "grants with {losses} seats unheard");
        if losses > 0 {
            w.start(down[0]);
            w.run(Span::secs(1));
            assert!(open(&w, &lost), "the ledger is not back");
        } else {
            w.run(Span::secs(75));
            assert!(open(&w, &lost), "the window is over");
        }
        assert_eq!(version(&w), was, "the roll changed for a disk at the same place");
        down.iter().for_each(|a| w.start(*a));
        grants(&mut w, &f, "new");
        clean(&mut w);
    }
}

/// Its seat in the older set is not its own: the disk that came with it is lost.
#[test]
fn given_a_ledger_with_another_number_at_a_lost_ones_place_then_the_key_runs_once() {
    for seed in 550..554 {
        let (mut w, f) = running_fleet(1, 4, seed);
        lose_answers(&mut w, &f, 1.0);
        let c = barely_granted(&mut w, &f, "k");
        lose_disk(&mut w, c[0]);
        let i = f.ledgers.iter().position(|a| *a == c[0]).unwrap();
        let op = Op::RemoveNode(NodeId(200 + i as u64));
        w.ask(f.controllers[1], Want::Change(Change { id: Some("rm".into()), op }));
        w.run(Span::ms(100));
        w.add_ledger(220, c[0], w.plan.zones[i], &f.controllers[1..]);
        w.start(c[0]);
        for g in 1..5 {
            w.run(Span::secs(2));
            pay(&mut w, f.edges[g], "k");
        }
        w.run(Span::secs(2));
        assert_eq!(runs(&w, "k"), 1, "seed {seed}");
        clean(&mut w);
    }
}
