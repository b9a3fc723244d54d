//! Stories of requests that are given up: each is told at once, with when to come back.
mod common;
use common::*;
use control_state::*;
use primitives::{Addr, Span};
use simulator::*;
use std::collections::BTreeMap;

/// By reason: how many, the longest wait in milliseconds, and when to come back.
fn denied(w: &World, since: primitives::Mono) -> BTreeMap<Denied, (usize, u64, Span)> {
    let mut m = BTreeMap::new();
    for (s, x) in w.steps().filter(|(s, _)| s.asked >= since) {
        if let Step::Deny(d, back) = x {
            let e: &mut (usize, u64, Span) = m.entry(*d).or_default();
            *e = (e.0 + 1, e.1.max((s.answered - s.asked).as_ms()), *back);
        }
    }
    m
}

fn only(w: &World, since: primitives::Mono, d: Denied, most_ms: u64, back: Span) {
    let all = denied(w, since);
    let (n, worst, said) =
        all.get(&d).copied().unwrap_or_else(|| panic!("{d:?} did not come about: {all:?}"));
    println!("{d:?}: {n}, the longest wait {worst} ms, come back in {} ms", said.as_ms());
    assert!(worst <= most_ms, "{d:?} was held for {worst} ms");
    assert_eq!(said, back, "{d:?}");
}

#[test]
fn given_every_reason_to_deny_then_the_last_word_comes_at_once_and_says_when_to_come_back() {
    let (mut w, f) = World::running_fleet(Plan { max_requests: (20, 60), ..Plan::trinacria() }, 800);
    let (g, t) = (f.edges[0], w.now);
    w.get(g, "nowhere", "x");
    w.post(g, "pay", "x", None);
    w.post(g, "read", "x", None);
    w.post(g, "pay", "x", Some("k"));
    w.run(Span::secs(1));
    w.post(f.edges[1], "pay", "other", Some("k"));
    w.run(Span::secs(1));
    let hits: u64 = f.desks.iter().flat_map(|p| w.origins[p].hits.values()).sum();
    assert_eq!(hits, 1, "what was denied went out");
    for d in [Denied::NoLane, Denied::NoKey, Denied::BadMethod] {
        only(&w, t, d, 1, Span::secs(1));
    }
    only(&w, t, Denied::KeyReused, 20, Span::secs(1));
    // Its ledgers are gone: the claim is asked again for a while, then given up.
    let t = w.now;
    f.ledgers.iter().for_each(|c| w.kill(*c));
    w.post(g, "pay", "sum", Some("k2"));
    w.run(Span::secs(2));
    only(&w, t, Denied::SplitVote, 420, Span::secs(1));
    f.ledgers.iter().for_each(|c| w.start(*c));
    // More at once than a service may hold here.
    w.run(Span::secs(2));
    let t = w.now;
    f.desks.iter().for_each(|a| w.origins.get_mut(a).unwrap().work = Span::secs(2));
    (0..40).for_each(|i| {
        w.get(g, "ask", &format!("many{i}"));
    });
    w.run(Span::secs(4));
    only(&w, t, Denied::TooMany, 1, Span::secs(2));
    // No origin of a service is left.
    f.desks.iter().for_each(|a| w.crash_origin(*a));
    w.run(Span::secs(2));
    let t = w.now;
    w.get(g, "ask", "x");
    w.run(Span::secs(1));
    only(&w, t, Denied::NoOrigin, 1, Span::secs(1));
    // An edge that leaves, and one that nobody renews.
    let t = w.now;
    w.ask(g, Want::Drain);
    w.run(Span::ms(1100));
    w.get(g, "read", "x");
    w.run(Span::secs(1));
    only(&w, t, Denied::Leaving, 1, Span::secs(3));
    let lone: Addr = f.edges[1];
    w.isolate(&[lone]);
    w.run(Span::secs(12));
    let t = w.now;
    w.get(lone, "read", "x");
    w.run(Span::secs(1));
    only(&w, t, Denied::NoLease, 1, Span::secs(3));
    clean(&mut w);
}

#[test]
fn given_far_more_than_a_ceiling_then_who_cannot_be_served_in_time_is_told_at_once() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 801);
    w.allow("small", "desk", 20, Span(0));
    w.set_row(f.controllers[0], "s", "small", "desk", 0, row(20, Kind::Plain, Span(0)));
    w.run(Span::secs(1));
    let t = w.now;
    for i in 0..3000u64 {
        let g = f.edges[i as usize % 5];
        w.later(Span(i * 500), move |w| {
            w.get(g, "small", &format!("{i}"));
        });
    }
    w.run(Span::secs(4));
    // Whoever is not told at once waits in line for nearly half of the five seconds that there are.
    only(&w, t, Denied::Ceiling, 2_270, Span::secs(2));
    let at_once = w
        .steps()
        .filter(|(s, x)| s.asked >= t && matches!(x, Step::Deny(..)) && s.answered - s.asked < Span::ms(2))
        .count();
    println!("{at_once} of {} told at once", denied(&w, t)[&Denied::Ceiling].0);
    assert!(at_once > 2500, "{at_once} told at once");
    clean(&mut w);
}

#[test]
fn given_origins_that_lose_every_answer_then_extra_tries_keep_to_their_budget() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 802);
    f.desks.iter().for_each(|a| w.origins.get_mut(a).unwrap().lose = 1.0);
    for i in 0..1200u64 {
        let g = f.edges[i as usize % 5];
        w.later(Span::ms(i * 10), move |w| {
            w.get(g, "ask", &format!("{i}"));
        });
    }
    w.run(Span::secs(14));
    let hits: u64 = f.desks.iter().flat_map(|d| w.origins[d].hits.values()).sum();
    println!("{hits} tries for 1200 requests of which no answer came back");
    assert!((1200..=1330).contains(&hits), "{hits}");
    clean(&mut w);
}

/// Guards against callers that use up their tries while the edge that they found is starting.
#[test]
fn given_an_edge_without_a_lease_then_its_callers_are_to_come_back_once_others_can_be_ready() {
    let mut plan = Plan::trinacria();
    (plan.policy.back, plan.policy.retry_after_no_lease) = (Some(Span::ms(120)), Span::secs(1));
    let (mut w, f) = World::running_fleet(plan, 802);
    w.isolate(&[f.edges[0]]);
    w.run(Span::secs(12));
    let t = w.now;
    w.get(f.edges[0], "read", "x");
    w.run(Span::secs(1));
    only(&w, t, Denied::NoLease, 1, Span::secs(1));
}
