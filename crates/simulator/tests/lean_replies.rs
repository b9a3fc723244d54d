//! What control costs an edge, in bytes.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use open::*;
use primitives::{Addr, Span};
use simulator::*;

const SECONDS: u64 = 10;
/// Far more than is sent: only counting is wanted.
const LINK: u64 = 1 << 30;
/// What control may cost a node in calm, in bytes a second.
const CONTROL: u64 = 6_000;
const ROUTES: u64 = 100;
const CALLS: u64 = 5;

fn running_fleet(seed: u64) -> (World, Fleet) {
    World::running_open_fleet(Plan { link: Some(LINK), ..Plan::open() }, seed)
}

/// What was sent to each edge so far.
fn bytes_to_edges(w: &World, f: &Fleet) -> Vec<u64> {
    f.edges.iter().map(|a: &Addr| w.procs[a].bytes_to).collect()
}

/// The most that any edge was sent since then.
fn most_since(w: &World, f: &Fleet, before: &[u64]) -> u64 {
    let now = bytes_to_edges(w, f);
    now.iter().zip(before).map(|(now, before)| now - before).max().expect("there are edges")
}

/// Guards against telling every edge again and again what it was told already.
#[test]
fn given_a_calm_fleet_then_control_costs_an_edge_no_more_than_it_may() {
    for seed in 5400..5403 {
        let (mut w, f) = running_fleet(seed);
        w.run(Span::secs(5));
        let before = bytes_to_edges(&w, &f);
        w.run(Span::secs(SECONDS));
        let most = most_since(&w, &f, &before) / SECONDS;
        println!("seed {seed}: {most} bytes a second to an edge");
        assert!(most <= CONTROL, "{most} bytes a second, seed {seed}");
        clean(&mut w);
    }
}

/// Guards against sending every edge each change from every controller.
#[test]
fn given_a_table_that_grows_by_many_routes_then_they_cross_an_edges_link_once() {
    for seed in 5410..5413 {
        let (mut w, f) = running_fleet(seed);
        w.run(Span::secs(2));
        let before = bytes_to_edges(&w, &f);
        let mut size = 0;
        for call in 0..CALLS {
            let routes = many_routes(ROUTES, call + 1);
            size += postcard::to_stdvec(&routes).expect("plain data encodes").len() as u64;
            edited(&mut w, f.edges[0], routes);
        }
        w.run(Span::secs(2));
        let most = most_since(&w, &f, &before);
        println!("seed {seed}: {most} bytes to an edge for routes of {size}");
        // Half as much again for announcements and what calm costs.
        assert!(most * 2 <= size * 3, "{most} bytes for {size}, seed {seed}");
        clean(&mut w);
    }
}

/// Guards against taking slow answers for none, and so asking every controller for everything.
#[test]
fn given_answers_that_take_long_then_routes_still_cross_an_edges_link_once() {
    for seed in 5420..5423 {
        let plan = Plan {
            link: Some(LINK),
            one_way_us: [100, 260_000, 260_000],
            lease: Span::secs(3),
            ..Plan::open()
        };
        let (mut w, f) = World::running_open_fleet(plan, seed);
        w.run(Span::secs(4));
        let before = bytes_to_edges(&w, &f);
        let routes = many_routes(ROUTES * CALLS, 1);
        let size = postcard::to_stdvec(&routes).expect("plain data encodes").len() as u64;
        let token = w.edit(f.edges[0], routes);
        w.run(Span::secs(8));
        let most = most_since(&w, &f, &before);
        println!(
            "seed {seed}: {most} bytes to an edge for routes of {size}, after {} ms",
            took(&w, token).as_ms()
        );
        assert!(reply_to(&w, token).is_some_and(|s| is_done(&s.receipt)), "not taken, seed {seed}");
        assert!(most * 2 <= size * 3, "{most} bytes for {size}, seed {seed}");
        clean(&mut w);
    }
}
