//! Stories of large configurations on slow controllers: sent again, they cost little.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token};
use simulator::*;

const ROUTES: u64 = 600;

/// How long a slow controller's disk takes, in microseconds.
const SLOW: (u64, u64) = (300_000, 500_000);

/// Commands proposed by all controllers, and bytes of records on their disks.
fn spent(w: &World, f: &Fleet) -> (u64, usize) {
    let proposed = |k: &Addr| w.controller(*k).map_or(0, |k| k.tally().proposed);
    let bytes = |k: &Addr| w.procs[k].disk.iter().map(Vec::len).sum::<usize>();
    (f.controllers.iter().map(proposed).sum(), f.controllers.iter().map(bytes).sum())
}

/// Asked at one edge after the other until one says that it is done.
fn sent_until_done(w: &mut World, f: &Fleet, call: &[Edit], pause: Span) -> Vec<Token> {
    let mut sent = vec![];
    for at in f.edges.iter().cycle().take(12) {
        // Twice, as by two processes of one operator.
        sent.extend([0, 1].map(|_| w.edit(*at, call.to_vec())));
        let all = sent.clone();
        let done = move |w: &World| all.iter().any(|t| reply_to(w, *t).is_some_and(|s| is_done(&s.receipt)));
        if w.until(pause, done) {
            return sent;
        }
    }
    panic!("never done")
}

#[test]
fn given_600_routes_on_slow_controllers_then_sending_them_again_adds_few_commands_and_few_bytes() {
    for seed in 2800..2804 {
        // All commands of the story stay in one era.
        let (mut w, f) = World::running_open_fleet(Plan { cut_at: 10_000, ..Plan::open() }, seed);
        w.plan.sync = SLOW;
        let call = many_routes(ROUTES, 1);
        let size: usize = call.iter().map(Edit::size).sum();
        let before = spent(&w, &f);
        let sent = sent_until_done(&mut w, &f, &call, Span::ms(1500));
        w.run(Span::secs(8));
        let after = spent(&w, &f);
        sent.iter()
            .for_each(|t| assert!(reply_to(&w, *t).is_some_and(|s| is_done(&s.receipt)), "seed {seed}"));
        let (commands, bytes) = (after.0 - before.0, after.1 - before.1);
        let what = format!("{} sendings of {size} bytes: {commands} commands, {bytes} bytes", sent.len());
        println!("seed {seed}: {what}");
        // Once on each disk.
        assert!(commands <= 4 && bytes <= f.controllers.len() * size, "seed {seed}, {what}");
        clean(&mut w);
    }
}

#[test]
fn given_a_controller_killed_while_others_wait_for_its_command_then_the_order_is_done_all_the_same() {
    for (i, after) in (0..12).map(|i| (i, Span::ms(150 * i))) {
        let (mut w, f) = World::running_open_fleet(Plan::open(), 2810 + i);
        w.plan.sync = SLOW;
        let call = many_routes(ROUTES, 1);
        // Asked itself, so that its command is the first, and through an edge.
        let asked = f.controllers[i as usize % 4];
        w.edit(asked, call.clone());
        w.later(after, move |w| w.kill(asked));
        w.run(Span::ms(100));
        sent_until_done(&mut w, &f, &call, Span::secs(3));
        let refused = w.changes().find(|(_, v)| !matches!(v, Verdict::Done(_)));
        assert!(refused.is_none(), "{refused:?}, killed after {after:?}");
        w.run(Span::secs(2));
        w.start(asked);
        // A reading through slow disks would outlast its patience.
        w.plan.sync = Plan::open().sync;
        w.run(Span::secs(6));
        assert_eq!(common_configuration(&mut w, &f, "back").len(), 5 + ROUTES as usize);
        clean(&mut w);
    }
}

#[test]
fn given_a_large_call_at_every_controller_while_it_is_under_way_then_one_command_carries_it() {
    for seed in 2830..2833 {
        let (mut w, f) = World::running_open_fleet(Plan { cut_at: 10_000, ..Plan::open() }, seed);
        w.plan.sync = SLOW;
        let call = many_routes(ROUTES, 1);
        let before = spent(&w, &f);
        let ask = |w: &mut World, k: &Addr| {
            let t = w.edit(*k, call.clone());
            w.run(Span::ms(150));
            t
        };
        let sent: Vec<Token> = f.controllers.iter().map(|k| ask(&mut w, k)).collect();
        w.run(Span::secs(8));
        sent.iter()
            .for_each(|t| assert!(reply_to(&w, *t).is_some_and(|s| is_done(&s.receipt)), "seed {seed}"));
        let (commands, bytes) = (spent(&w, &f).0 - before.0, spent(&w, &f).1 - before.1);
        let size: usize = call.iter().map(Edit::size).sum();
        assert!(commands == 1 && bytes <= f.controllers.len() * size, "{commands}, {bytes}, seed {seed}");
        clean(&mut w);
    }
}
