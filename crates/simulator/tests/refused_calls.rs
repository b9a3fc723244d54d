//! Stories of calls that are refused while copies of them are still on their way.
mod common;
#[path = "common/open.rs"]
mod open;
use common::{clean, number};
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token};
use simulator::*;

/// A freeze after which a controller still counts as in contact.
const FREEZE: Span = Span::ms(600);

fn route(name: &str, svc: &str, ver: u64) -> Edit {
    lane_edit(name, ver, lane_entry(name, Kind::Plain, svc, Span(0)))
}

fn service(name: &str, ver: u64) -> Edit {
    edit(Section::Services, name, ver, Some(Body::Service(service_entry(Some(ver)))))
}

fn is_invalid(r: &NodeReply) -> bool {
    matches!(r, NodeReply::Change(Verdict::InvalidEdit(_)))
}

/// The edges send one route that names an unknown service, some milliseconds apart, while a controller is
/// frozen; the service is added as soon as the first one is refused. Returns whether all were refused.
fn play_round(w: &mut World, f: &Fleet, round: u64, frozen: Addr, edges: &[(Addr, Span)]) -> bool {
    let (name, svc) = (format!("late-{round}"), format!("service-{round}"));
    w.freeze(frozen);
    w.later(FREEZE, move |w| w.thaw(frozen));
    let mut tokens: Vec<Token> = vec![];
    for (edge, pause) in edges {
        tokens.push(w.edit(*edge, vec![route(&name, &svc, round)]));
        w.run(*pause);
    }
    w.until(Span::ms(900), |w| tokens.iter().any(|t| reply_to(w, *t).is_some()));
    let other = f.edges[(round as usize + 3) % 6];
    let added = w.edit(other, vec![service(&svc, round)]);
    w.run(Span::secs(4));
    assert!(is_done(&within(w, added, Span::secs(4), "the service")));
    tokens.iter().all(|t| reply_to(w, *t).is_some_and(|s| is_invalid(&s.receipt)))
}

// Guards against a refused call that is decided a second time, by a controller that was slow to propose its
// copy, after the change that makes it valid: it came into force although it had been answered 400.
#[test]
fn given_calls_that_are_refused_while_a_controller_is_frozen_then_none_comes_into_force_when_it_wakes() {
    let (mut refused, mut rounds) = (0, 0);
    for seed in 4700..4700 + number("LANEWING_SEEDS", 6) {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        for round in 1..9 {
            let frozen = f.controllers[w.rng.usize(0..f.controllers.len())];
            let several = 1 + w.rng.usize(0..3);
            let edges: Vec<(Addr, Span)> =
                (0..several).map(|_| (f.edges[w.rng.usize(0..6)], Span::ms(w.rng.u64(0..60)))).collect();
            rounds += 1;
            if play_round(&mut w, &f, round, frozen, &edges) {
                refused += 1;
                let all = common_configuration(&mut w, &f, &format!("round {round}, seed {seed}"));
                let name = format!("late-{round}");
                let stands =
                    all.keys().any(|(section, other)| *section != Section::Services && *other == name);
                assert!(!stands, "{name} was refused to all and is in force, seed {seed}, sent by {edges:?}");
            }
        }
        clean(&mut w);
    }
    println!("{refused} of {rounds} routes were refused to all who sent them");
    assert!(refused * 2 > rounds, "{refused} of {rounds}: the freezes prove nothing");
}

// Guards against a refusal that is shared with a call which has no receipt of its own.
#[test]
fn given_a_call_that_joined_a_refused_one_then_it_is_decided_itself_and_binds_its_own_copies() {
    for seed in 4720..4724 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let tokens: Vec<Token> =
            f.edges.iter().map(|edge| w.edit(*edge, vec![route("late", "unknown", 1)])).collect();
        for token in tokens {
            assert!(is_invalid(&within(&mut w, token, Span::secs(1), "a refused route")), "seed {seed}");
        }
        let state = w.controller(f.controllers[0]).expect("is up").state();
        let is_refusal = |(id, (_, _, verdict)): &(&ChangeId, &(Era, u64, Verdict))| {
            id.is_call() && matches!(verdict, Verdict::InvalidEdit(_))
        };
        assert_eq!(state.receipts.iter().filter(is_refusal).count(), 6, "seed {seed}");
        // Sent anew once it is valid, the same call is taken.
        edited(&mut w, f.edges[2], vec![service("unknown", 1)]);
        edited(&mut w, f.edges[3], vec![route("late", "unknown", 1)]);
        clean(&mut w);
    }
}
