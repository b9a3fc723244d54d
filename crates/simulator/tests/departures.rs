//! Stories of callers that leave before their answer: what ends with them, and what does not.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token};
use simulator::*;

fn fleet(seed: u64, work: Span) -> (World, Fleet) {
    let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
    f.pages.iter().chain(&f.desks).for_each(|a| w.origins.get_mut(a).expect("an origin").work = work);
    (w, f)
}

/// Number of requests in the hands of an edge.
fn in_hand(w: &mut World, edge: Addr) -> u64 {
    let token = w.ask(edge, Want::Ready);
    w.run(Span::ms(5));
    match reply_to(w, token).map(|reply| &reply.receipt) {
        Some(NodeReply::Health(health)) => health.in_hand,
        other => panic!("no health: {other:?}"),
    }
}

/// Guards against work for callers that have left (GONE).
#[test]
fn given_a_repeatable_request_at_an_origin_when_its_caller_leaves_then_it_is_abandoned() {
    for seed in 2700..2704 {
        let (mut w, f) = fleet(seed, Span::secs(2));
        let edge = f.edges[0];
        let token = w.call(edge, "ask", "a");
        w.run(Span::ms(100));
        assert_eq!(in_hand(&mut w, edge), 1, "seed {seed}");
        w.hang_up(token);
        w.run(Span::ms(10));
        assert_eq!(in_hand(&mut w, edge), 0, "seed {seed}");
        w.run(Span::secs(4));
        assert!(!is_served(&w, token), "seed {seed}");
        clean(&mut w);
    }
}

#[test]
fn given_a_keyed_request_when_its_caller_leaves_then_it_runs_once_and_the_repeat_gets_its_outcome() {
    for seed in 2710..2714 {
        let (mut w, f) = fleet(seed, Span::ms(500));
        let token = w.charge(f.edges[0], "sum", "k");
        // In the making, with the key granted, or at the origin.
        w.run(Span::ms((seed - 2710) * 40));
        w.hang_up(token);
        w.run(Span::secs(2));
        let repeat = w.charge(f.edges[1], "sum", "k");
        w.run(Span::secs(1));
        assert!(
            matches!(step(&w, repeat), Some(Step::Serve(_, AnswerSource::Record, _))),
            "seed {seed}: {:?}",
            reply_to(&w, repeat)
        );
        clean(&mut w);
    }
}

#[test]
fn given_callers_of_one_page_when_the_first_leaves_then_the_others_are_served_by_one_fetch() {
    for seed in 2720..2724 {
        let (mut w, f) = fleet(seed, Span::ms(500));
        let before = count(&w, "whole answers");
        let tokens: Vec<Token> = (0..4).map(|_| w.call(f.edges[0], "read", "red-1")).collect();
        w.run(Span::ms(50));
        w.hang_up(tokens[0]);
        w.run(Span::secs(2));
        assert!(tokens[1..].iter().all(|t| is_served(&w, *t)), "seed {seed}");
        assert_eq!(count(&w, "whole answers") - before, 1, "seed {seed}");
        clean(&mut w);
    }
}

#[test]
fn given_callers_that_all_leave_at_any_time_then_nothing_stays_in_hand() {
    for seed in 2730..2740 {
        let (mut w, f) = fleet(seed, Span::ms(300));
        let mut tokens: Vec<Token> = vec![];
        for i in 0..60 {
            let edge = f.edges[i % 6];
            tokens.push(match i % 3 {
                0 => w.call(edge, "ask", &format!("{i}")),
                1 => w.call(edge, "read", &format!("red-{}", i % 5)),
                _ => w.charge(edge, "sum", &format!("k{i}")),
            });
            let leaver = tokens[w.rng.usize(0..tokens.len())];
            w.hang_up(leaver);
            w.run(Span::ms(20));
        }
        tokens.iter().for_each(|t| w.hang_up(*t));
        w.run(Span::secs(10));
        for edge in f.edges.clone() {
            assert_eq!(in_hand(&mut w, edge), 0, "seed {seed}");
        }
        clean(&mut w);
    }
}
