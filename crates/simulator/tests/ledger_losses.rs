//! Stories of ledgers lost one after the other: as soon as the set is whole again, one
//! more may go, and keyed requests are served all the while.
mod common;
#[path = "common/ledgers.rs"]
mod ledgers;
use common::*;
use ledgers::*;
use primitives::{Mono, Span};
use simulator::*;

/// How long after one loss is made up for the next one may come.
const CATCH_UP: Span = Span::secs(4);

/// A replacement, a lost disk, a planned replacement, another lost disk.
fn day(w: &mut World, f: &Fleet, apart: Span) -> Mono {
    let begin = w.now;
    let zones = w.plan.zones;
    let old: Vec<_> = f.ledgers.iter().copied().take(4).collect();
    w.run(Span::secs(4));
    replace(w, f, old[0], 22, zones[1]);
    w.run(Span::secs(1) + apart);
    wipe_disk(w, old[1]);
    w.run(Span::secs(2) + apart);
    replace_in_order(w, f, old[2], 24, zones[0]);
    w.run(Span::secs(1) + apart);
    wipe_disk(w, old[3]);
    w.run(Span::secs(2) + apart);
    begin
}

/// The least that any second's keyed requests were served, and all together.
fn shares(w: &World, begin: Mono, secs: u64) -> (f64, f64) {
    let each = (0..secs).map(|s| keyed_share(w, begin + Span::secs(s), begin + Span::secs(s + 1)));
    (each.fold(1.0, f64::min), keyed_share(w, begin, begin + Span::secs(secs)))
}

#[test]
fn given_ledgers_lost_one_after_the_other_where_nobody_counts_them_then_keys_are_served_all_the_while() {
    for seed in 700..708 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        keyed_traffic(&mut w, &f, 30, 60);
        let begin = day(&mut w, &f, CATCH_UP);
        w.run(Span::secs(7));
        let (least, all) = shares(&w, begin, 25);
        println!("seed {seed}: served {all:.3} of the keyed requests, in the worst second {least:.3}");
        assert!(all > 0.99 && least > 0.9, "seed {seed}: served {all:.3}, {least:.3}");
        clean(&mut w);
    }
}

#[test]
fn given_the_same_while_answers_are_lost_then_no_key_runs_twice() {
    for seed in 710..722 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        lose_answers(&mut w, &f, 0.5);
        keyed_traffic(&mut w, &f, 40, 60);
        day(&mut w, &f, CATCH_UP);
        w.run(Span::secs(20));
        clean(&mut w);
    }
}

/// Where operators count them, a change waits for the lease of whoever is lost without a word.
#[test]
fn given_ledgers_lost_one_after_the_other_and_removed_by_command_then_keys_are_served_all_the_while() {
    for seed in 730..734 {
        let plan = if seed % 2 == 0 { Plan::trinacria() } else { Plan::bersatu() };
        let plan = Plan { ledgers: 4, ..plan };
        let apart = plan.lease.padded() + CATCH_UP;
        let (mut w, f) = World::running_fleet(plan, seed);
        keyed_traffic(&mut w, &f, 75, 30);
        let begin = day(&mut w, &f, apart);
        w.run(Span::secs(7));
        let (least, all) = shares(&w, begin, 70);
        println!("seed {seed}: served {all:.3} of the keyed requests, in the worst second {least:.3}");
        assert!(all > 0.99 && least > 0.9, "seed {seed}: served {all:.3}, {least:.3}");
        clean(&mut w);
    }
}

/// The successor is lost before the set has settled: another takes its place at once.
#[test]
fn given_a_successor_lost_in_its_turn_then_the_next_one_takes_its_seat_without_waiting() {
    for seed in 740..744 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        keyed_traffic(&mut w, &f, 30, 60);
        let (begin, zone) = (w.now, w.plan.zones[1]);
        replace(&mut w, &f, f.ledgers[0], 22, zone);
        assert!(w.until(Span::secs(6), |w| sets(w, &f).len() == 2), "the set does not change");
        replace(&mut w, &f, addr(22, 3), 23, zone);
        w.run(Span::secs(7));
        let now = sets(&w, &f);
        assert_eq!(now.len(), 1, "seed {seed}: not settled");
        assert!(now[0].contains(&addr(23, 3)) && !now[0].contains(&addr(22, 3)), "seed {seed}: {now:?}");
        w.run(Span::secs(8));
        let (least, all) = shares(&w, begin, 15);
        println!("seed {seed}: served {all:.3} of the keyed requests, in the worst second {least:.3}");
        assert!(all > 0.99, "seed {seed}: served {all:.3}");
        clean(&mut w);
    }
}
