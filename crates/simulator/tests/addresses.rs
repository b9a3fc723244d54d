//! Stories of addresses that pass into other hands.
mod common;
use common::*;
use control_state::*;
use primitives::Span;
use simulator::*;

/// At no delay is an origin asked whose word of leaving was answered; after a silent
/// death requests may still arrive while it counts as fresh, and are refused there.
#[test]
fn given_an_address_in_other_hands_at_once_then_only_a_silent_death_within_freshness_leaves_a_trace() {
    for (i, delay) in [0, 300, 1000, 3000].into_iter().enumerate() {
        for mood in [Some(Mood::Gone), Some(Mood::Leaving), None] {
            for plan in [Plan::trinacria(), Plan::bersatu()] {
                let (mut w, f) = World::running_fleet(plan, 660 + i as u64);
                traffic(&mut w, &f, 12, 300);
                w.run(Span::secs(2));
                let at = f.desks[0];
                match mood {
                    Some(m) => {
                        w.announce_leaving(at, m);
                        assert!(w.until(Span::secs(2), |w| w.signed_off.contains(&at)), "no answer");
                    }
                    None => w.crash_origin(at),
                }
                let left = w.now;
                w.run(Span::ms(delay));
                w.crash_origin(at);
                w.origins.get_mut(&at).unwrap().left = Some(left);
                w.add_origin(at, "pages", "sicilia/a");
                w.run(Span::secs(10));
                let strays = w.counts.get("meant for another life").copied().unwrap_or(0);
                println!("{mood:?}, {delay} ms: {strays} requests met another life");
                if mood.is_some() || delay >= 1000 {
                    assert_eq!(strays, 0, "{mood:?} {delay}");
                    clean(&mut w);
                } else {
                    // Refused by the life that is there now: nothing of them ran.
                    assert!(
                        w.rules.violations.iter().all(|b| b.starts_with("service never")),
                        "{:?}",
                        w.rules.violations
                    );
                    assert!(strays < 60, "{strays}");
                }
            }
        }
    }
}

#[test]
fn given_an_address_that_passes_to_another_service_then_nothing_meant_for_the_old_one_reaches_it() {
    for seed in 63..67 {
        let (mut w, f) = World::running_fleet(Plan::bersatu(), seed);
        traffic(&mut w, &f, 12, 120);
        w.run(Span::secs(2));
        let at = f.pages[0];
        w.announce_leaving(at, Mood::Gone);
        w.run(Span::ms(300));
        w.crash_origin(at);
        w.run(Span::ms(2200 - 100 * (seed - 63)));
        w.add_origin(at, "desk", "barat/a");
        w.run(Span::secs(12));
        clean(&mut w);
    }
}

/// Nothing can be decided, so the old life stays in the table; only its birth tells.
#[test]
fn given_an_address_that_passes_on_while_nothing_can_be_decided_then_its_new_life_is_not_asked() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 680);
    traffic(&mut w, &f, 20, 300);
    w.run(Span::secs(1));
    f.controllers[2..].iter().for_each(|k| w.kill(*k));
    w.run(Span::secs(2));
    let at = f.desks[0];
    w.crash_origin(at);
    w.run(Span::ms(1200));
    w.add_origin(at, "pages", "sicilia/a");
    w.run(Span::secs(12));
    let held = w.edge(f.edges[0]).unwrap().items()[&Key::Origin(at)].body.clone();
    assert!(matches!(held, Some(Body::Origin(o)) if o.svc.0 == "desk"), "the table moved on");
    assert_eq!(w.counts.get("meant for another life"), None);
    clean(&mut w);
}
