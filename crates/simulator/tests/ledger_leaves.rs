//! Stories of ledgers that leave in order: what they alone hold is handed over first.
mod common;
#[path = "common/open.rs"]
mod open;
use common::*;
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token};
use simulator::*;

/// Its disk stays with it: it does not come back.
fn leave(w: &mut World, ledger: Addr) {
    w.stop(ledger);
    w.run(Span::secs(3));
    assert!(w.ledger(ledger).is_none(), "the ledger did not end");
}

/// Outcomes are kept by one ledger alone; one ledger after the other is replaced in order.
#[test]
fn given_ledgers_that_leave_in_order_then_repeats_get_the_first_answers() {
    for seed in 2900..2904 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let keys: Vec<String> = (0..48).map(|i| format!("k{i}")).collect();
        keys.iter().enumerate().for_each(|(i, k)| {
            w.charge(f.edges[i % 6], k, k);
        });
        w.run(Span::secs(1));
        for (i, old) in f.ledgers.iter().take(3).enumerate() {
            let machine = 30 + i as u8;
            w.add_ledger(200 + machine as u16, addr(machine, 3), w.plan.zones[i], &f.controllers);
            w.start(addr(machine, 3));
            w.run(Span::secs(2));
            leave(&mut w, *old);
            w.run(Span::secs(2));
        }
        let again: Vec<Token> = keys.iter().map(|k| w.charge(f.edges[0], k, k)).collect();
        w.run(Span::secs(1));
        let records =
            again.iter().filter(|t| edition(&w, **t).is_some_and(|(_, s)| s == AnswerSource::Record));
        let records = records.count();
        assert_eq!(records, keys.len(), "seed {seed}: repeats answered from the record");
        keys.iter().for_each(|k| assert_eq!(runs(&w, &format!("/pay/{k}")), 1, "{k}"));
        clean(&mut w);
    }
}

/// Granted by a quorum, one of which loses its disk: the other is the only holder.
#[test]
fn given_the_only_holder_of_a_grant_that_leaves_then_another_ledger_holds_it() {
    for seed in 2910..2914 {
        let plan = Plan { ledgers: 3, losses: 1, drift: 0, ..Plan::trinacria() };
        let (mut w, f) = World::running_fleet(plan, seed);
        lose_answers(&mut w, &f, 1.0);
        let roll = Roll::of(w.edge(f.edges[0]).unwrap().items());
        let named = roll.named("pay/k", 1).remove(0);
        w.cut(f.edges[0], named[2]);
        pay(&mut w, f.edges[0], "k");
        w.run(Span::ms(120));
        assert_eq!(runs(&w, "k"), 1);
        w.heal();
        lose_disk(&mut w, named[1]);
        leave(&mut w, named[0]);
        let held = w.ledger(named[2]).map(|l| l.held());
        assert_eq!(held, Some(1), "seed {seed}: nobody holds the grant");
        clean(&mut w);
    }
}
