//! Stories of a service that is pressed far beyond its ceiling: asking the leader for more
//! requests out of turn must not become the leader's load.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Span};
use simulator::*;

/// Requests a second that the service may get, and how many times as many are asked for.
const RATE: u64 = 20;
const OVER: u64 = 20;
const SECONDS: u64 = 3;
/// Messages that one edge's waiting may cost a second, both ways.
const MESSAGES: u64 = 30;

fn with_a_ceiling(seed: u64) -> (World, Fleet) {
    let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
    w.rules.ceilings.insert("desk".into(), RATE as u32);
    let body = Some(Body::Service(service_entry(Some(RATE * 1000))));
    edited(&mut w, f.edges[0], vec![edit(Section::Services, "desk", 2, body)]);
    w.run(Span::secs(2));
    (w, f)
}

fn messages_in(w: &mut World, span: Span) -> u64 {
    let before = count(w, "messages");
    w.run(span);
    count(w, "messages") - before
}

fn press(w: &mut World, edges: &[Addr], a_second: u64) {
    let every = 1_000_000 / a_second;
    for n in 0..a_second * SECONDS {
        let edge = edges[n as usize % edges.len()];
        w.later(Span(n * every), move |w| {
            w.call(edge, "ask", &format!("u{n}"));
        });
    }
}

#[test]
fn given_a_service_far_over_its_ceiling_then_asking_for_more_is_not_most_of_the_load() {
    let (mut w, f) = with_a_ceiling(4800);
    let idle = messages_in(&mut w, Span::secs(SECONDS));
    press(&mut w, &f.edges, RATE * OVER);
    let pressed = messages_in(&mut w, Span::secs(SECONDS));
    let served = w.steps().filter(|(_, s)| matches!(s, Step::Serve(..))).count() as u64;
    assert!(served >= RATE * SECONDS / 2, "{served} served");
    let a_second = pressed.saturating_sub(idle) / SECONDS / f.edges.len() as u64;
    assert!(a_second <= MESSAGES, "{a_second} messages more for each edge and second, {idle} idle");
    w.run(Span::secs(3));
    clean(&mut w);
}

#[test]
fn given_a_request_that_waits_beside_an_idle_ceiling_then_it_is_asked_for_at_once() {
    let (mut w, f) = with_a_ceiling(4801);
    w.run(Span::secs(3));
    // More than the edge's own share, all at once: the leader has saved up for them.
    let tokens: Vec<_> = (0..4).map(|n| w.call(f.edges[2], "ask", &format!("i{n}"))).collect();
    w.run(Span::ms(150));
    let served = tokens.iter().filter(|t| is_served(&w, **t)).count();
    assert!(served >= 2, "{served} of {} served within 150 ms", tokens.len());
    clean(&mut w);
}
