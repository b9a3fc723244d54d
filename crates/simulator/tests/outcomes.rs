//! Stories of outcomes kept by as few ledgers as losses allow, near whoever asked first.
mod common;
#[path = "common/disks.rs"]
mod disks;
#[path = "common/open.rs"]
mod open;
use common::{clean, runs};
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token};
use simulator::*;
use std::sync::Arc;

/// The plan of a seed. Ledgers with odd seeds have the contents of outcomes in their logs only.
fn plan(seed: u64) -> Plan {
    let open = Plan::open();
    Plan { ledger_contents: if seed % 2 == 1 { 0 } else { open.ledger_contents }, ..open }
}

fn body(w: &World, t: Token) -> Option<(Arc<Vec<u8>>, AnswerSource)> {
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
        let (mut w, f) = World::running_open_fleet(plan(seed), seed);
        let all = ran(&mut w, &f, 24);
        for (k, first) in &all {
            let again: Vec<Token> = f.edges.iter().map(|g| w.charge(*g, k, k)).collect();
            w.run(Span::ms(200));
            for t in again {
                let got = body(&w, t);
                assert_eq!(
                    got,
                    Some((first.clone(), AnswerSource::Record)),
                    "{:?}, seed {seed}",
                    reply_to(&w, t)
                );
            }
        }
        once(&mut w, &all);
    }
}

/// Every key is repeated at every edge, and gets the first answer.
fn all_known(w: &mut World, f: &Fleet, all: &[(String, Arc<Vec<u8>>)], what: &str) {
    let again: Vec<Vec<Token>> =
        all.iter().map(|(k, _)| f.edges.iter().map(|g| w.charge(*g, k, k)).collect()).collect();
    w.run(Span::secs(1));
    for ((k, first), tokens) in all.iter().zip(again) {
        for t in tokens {
            assert_eq!(
                body(w, t),
                Some((first.clone(), AnswerSource::Record)),
                "{k}: {:?}, {what}",
                reply_to(w, t)
            );
        }
    }
}

#[test]
fn given_any_ledger_down_then_repeats_get_the_first_answer_from_another() {
    type Deed = fn(&mut World, Addr);
    let troubles: [(Deed, Deed); 3] = [
        (|w, c| w.kill(c), |w, c| w.start(c)),
        (|w, c| w.freeze(c), |w, c| w.thaw(c)),
        (|w, c| w.isolate(&[c]), |w, _| w.heal()),
    ];
    for (seed, (begin, end)) in (2810..).zip(troubles) {
        let (mut w, f) = World::running_open_fleet(plan(seed), seed);
        let all = ran(&mut w, &f, 24);
        for c in f.ledgers.clone() {
            begin(&mut w, c);
            w.run(Span::secs(1));
            all_known(&mut w, &f, &all, &format!("{c} down, seed {seed}"));
            end(&mut w, c);
            w.run(Span::secs(2));
        }
        once(&mut w, &all);
    }
}

// Guards against outcomes that are gone with one disk: their repeats were denied until the
// window of their keys was over.
#[test]
fn given_the_disk_of_any_ledger_lost_then_repeats_get_the_first_answer_at_once() {
    for seed in 2820..2824 {
        let (mut w, f) = World::running_open_fleet(plan(seed), seed);
        let all = ran(&mut w, &f, 24);
        let lost = f.ledgers[seed as usize % 4];
        common::lose_disk(&mut w, lost);
        w.start(lost);
        for at in [0, 3, 8] {
            w.run(Span::secs(at));
            all_known(&mut w, &f, &all, &format!("{at} s after the loss, seed {seed}"));
        }
        assert!(common::open(&w, &lost), "not back, seed {seed}");
        once(&mut w, &all);
    }
}

// Guards against a single copy that is left of an outcome after a first loss: the next one,
// within the window and within what is to be borne, took it.
#[test]
fn given_disks_lost_one_after_the_other_within_a_window_then_repeats_get_the_first_answer() {
    for seed in 2830..2836 {
        let (mut w, f) = World::running_open_fleet(plan(seed), seed);
        let all = ran(&mut w, &f, 24);
        for i in 0..4 {
            let lost = f.ledgers[(seed as usize + i) % 4];
            common::lose_disk(&mut w, lost);
            w.run(Span::secs(1));
            w.start(lost);
            w.run(Span::secs(9));
            all_known(&mut w, &f, &all, &format!("{} losses, seed {seed}", i + 1));
        }
        once(&mut w, &all);
    }
}

// The same where the second disk goes while all machines lose their power.
#[test]
fn given_a_disk_lost_and_later_another_while_all_lose_power_then_repeats_get_the_first_answer() {
    for seed in 2840..2844 {
        let (mut w, f) = World::running_open_fleet(plan(seed), seed);
        let all = ran(&mut w, &f, 24);
        let (first, second) = (f.ledgers[seed as usize % 4], f.ledgers[(seed as usize + 1) % 4]);
        common::lose_disk(&mut w, first);
        w.start(first);
        w.run(Span::secs(9));
        f.ledgers.iter().for_each(|l| w.kill(*l));
        w.wipe(second);
        f.ledgers.iter().for_each(|l| w.start(*l));
        w.run(Span::secs(9));
        all_known(&mut w, &f, &all, &format!("seed {seed}"));
        once(&mut w, &all);
    }
}

// The same where two losses at once are to be borne, and a third comes later.
#[test]
fn given_two_losses_borne_then_repeats_get_the_first_answer_after_two_at_once_and_one_later() {
    for seed in 2870..2874 {
        let open = Plan::open().open.map(|o| controller::Open { losses: 2, ..o });
        let (mut w, f) = World::running_open_fleet(Plan { open, losses: 2, ..plan(seed) }, seed);
        let all = ran(&mut w, &f, 24);
        let ledger = |i: u64| f.ledgers[((seed + i) % 4) as usize];
        for lost in [ledger(0), ledger(1)] {
            common::lose_disk(&mut w, lost);
            w.start(lost);
        }
        w.run(Span::secs(10));
        all_known(&mut w, &f, &all, &format!("two lost, seed {seed}"));
        for lost in [ledger(2), ledger(3)] {
            common::lose_disk(&mut w, lost);
            w.start(lost);
        }
        w.run(Span::secs(10));
        all_known(&mut w, &f, &all, &format!("all lost, two at a time, seed {seed}"));
        once(&mut w, &all);
    }
}

// The same where the first machine is gone for good, and a new one has taken its place.
#[test]
fn given_a_machine_replaced_and_later_a_disk_lost_then_repeats_get_the_first_answer() {
    for seed in 2860..2864 {
        let (mut w, f) = World::running_open_fleet(plan(seed), seed);
        let all = ran(&mut w, &f, 24);
        disks::kill_machine(&mut w, 4);
        w.run(Span::secs(1));
        disks::new_machine(&mut w, 7);
        w.run(Span::secs(14));
        disks::wipe_machine(&mut w, [2, 3, 6][seed as usize % 3]);
        w.run(Span::secs(6));
        let up = Fleet { edges: disks::edges_up(&w), ..f };
        all_known(&mut w, &up, &all, &format!("seed {seed}"));
        once(&mut w, &all);
    }
}

// The ledgers that were chosen may keep silent just when the outcome comes.
#[test]
fn given_a_chosen_ledger_that_keeps_silent_then_another_holds_the_outcome_and_the_next_loss_is_borne() {
    for seed in 2850..2856 {
        let (mut w, f) = World::running_open_fleet(plan(seed), seed);
        f.desks.iter().for_each(|a| w.origins.get_mut(a).unwrap().work = Span::ms(200));
        let silent = f.ledgers[seed as usize % 4];
        let keys: Vec<String> = (0..24).map(|i| format!("k{i}")).collect();
        let firsts: Vec<Token> =
            keys.iter().enumerate().map(|(i, k)| w.charge(f.edges[i % 6], k, k)).collect();
        w.run(Span::ms(100));
        // All are granted, and at work.
        w.isolate(&[silent]);
        w.run(Span::secs(5));
        w.heal();
        w.run(Span::secs(3));
        let answers: Vec<_> = firsts.iter().map(|t| body(&w, *t).expect("served").0).collect();
        let all: Vec<_> = keys.iter().cloned().zip(answers).collect();
        let lost = f.ledgers[(seed as usize + 1) % 4];
        common::lose_disk(&mut w, lost);
        w.start(lost);
        w.run(Span::secs(1));
        all_known(&mut w, &f, &all, &format!("seed {seed}"));
        once(&mut w, &all);
    }
}
