//! A fleet whose ledgers keep keys alone.
mod common;
use common::*;
use control_state::*;
use primitives::Span;
use simulator::*;

/// Of one count, by all ledgers.
fn count(w: &World, name: &str) -> u64 {
    let of = |s: &Exchange| match &s.receipt {
        NodeReply::Health(h) => h.counts.iter().filter(|(n, _)| *n == name).map(|(_, n)| *n).sum(),
        _ => 0,
    };
    w.exchanges.iter().map(of).sum()
}

fn reads(disk_cache: bool) -> World {
    let (mut w, f) = World::running_fleet(Plan { disk_cache, ..Plan::trinacria() }, 600);
    w.allow("read", "pages", 200, Span::secs(60));
    w.set_row(f.controllers[0], "long", "read", "pages", 1, row(200, Kind::Read, Span::secs(60)));
    w.run(Span::secs(1));
    for _ in 0..2 {
        traffic(&mut w, &f, 4, 60);
        w.run(Span::secs(5));
        f.edges.iter().for_each(|g| w.kill(*g));
        f.edges.iter().for_each(|g| w.start(*g));
        w.run(Span::secs(2));
    }
    let since = w.now;
    traffic(&mut w, &f, 4, 60);
    w.run(Span::secs(5));
    f.ledgers.iter().for_each(|c| {
        w.ask(*c, Want::Ready);
    });
    w.run(Span::secs(1));
    let (ok, n) = lately(&w, since);
    assert!(ok + 5 >= n, "{ok} of {n} served");
    clean(&mut w);
    w
}

#[test]
fn given_ledgers_that_keep_no_copies_then_edges_neither_offer_nor_ask_and_all_is_served() {
    let (with, without) = (reads(true), reads(false));
    assert!(count(&with, "stocked") > 0 && count(&with, "copies given") > 0);
    for name in ["stocked", "copies given", "copies lacking", "copies"] {
        assert_eq!(count(&without, name), 0, "{name}");
    }
}
