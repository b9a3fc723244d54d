//! Stories of a core that is slow, not lost: what is asked of it again must not become its load.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Span};
use simulator::*;

/// What a controller's processor takes over a message: some 45 in a hundred of it are used
/// before anything happens.
const WORK: Span = Span::ms(3);
/// Operators turn to another node after this.
const OPERATOR: Span = Span::secs(1);

fn busy_core(seed: u64) -> (World, Fleet) {
    let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
    w.plan.work = Some(WORK);
    w.run(Span::secs(2));
    (w, f)
}

fn messages(w: &World) -> u64 {
    count(w, "messages")
}

/// Every origin's word of leaving at each edge in turn, a second apart, as origins do that
/// get no answer.
fn all_sign_off(w: &mut World, f: &Fleet, rounds: u64) {
    for round in 0..rounds {
        for (i, desk) in f.desks.clone().into_iter().enumerate() {
            let edge = f.edges[(i + round as usize) % f.edges.len()];
            let tag = w.origins[&desk].birth.to_string();
            w.later(Span::secs(round), move |w| {
                w.ask(edge, Want::SignOff(tag.clone()));
            });
        }
    }
}

fn reading_time(w: &mut World, edge: Addr) -> Span {
    let t = w.ask(edge, Want::Read);
    w.until(Span::secs(4), |w| reply_to(w, t).is_some());
    took(w, t)
}

#[test]
fn given_changes_that_wait_for_a_silent_edge_then_asking_after_them_is_not_most_of_the_load() {
    let (mut w, f) = World::running_open_fleet(Plan { lease: Span::secs(4), ..Plan::open() }, 4600);
    let before = messages(&w);
    w.run(Span::secs(3));
    let idle = messages(&w) - before;
    w.freeze(f.edges[4]);
    let before = messages(&w);
    for i in 0..20u64 {
        let name = format!("slow{i}");
        w.edit(
            f.edges[i as usize % 4],
            vec![edit(Section::Services, &name, 1, Some(Body::Service(service_entry(None))))],
        );
        w.run(Span::ms(20));
    }
    w.run(Span::ms(2600));
    let more = (messages(&w) - before).saturating_sub(idle);
    assert!(more < 20 * 150, "{more} messages for 20 changes that wait");
    w.thaw(f.edges[4]);
    w.run(Span::secs(4));
    clean(&mut w);
}

#[test]
fn given_a_slow_core_and_many_origins_that_leave_then_a_reading_is_still_answered_in_time() {
    for seed in 4610..4660 {
        let (mut w, f) = busy_core(seed);
        let frozen = f.edges[4];
        w.freeze(frozen);
        all_sign_off(&mut w, &f, 4);
        let mut times = vec![];
        for _ in 0..5 {
            w.run(Span::ms(500));
            times.push(reading_time(&mut w, f.edges[2]).as_ms());
        }
        assert!(times.iter().all(|t| *t < OPERATOR.as_ms()), "seed {seed}: readings took {times:?} ms");
        w.thaw(frozen);
        w.run(Span::secs(5));
        clean(&mut w);
    }
}
