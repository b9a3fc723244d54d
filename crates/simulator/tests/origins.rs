//! Stories of origins that fail, and of keys and ceilings meanwhile.
mod common;
use common::*;
use control_state::*;
use primitives::Span;
use simulator::*;

#[test]
fn given_an_origin_that_leaves_or_dies_then_its_understudy_takes_over_in_time() {
    for (seed, mood) in [(60, Some(Mood::Leaving)), (61, Some(Mood::Gone)), (62, None)] {
        let (mut w, f) = World::running_fleet(Plan::trinacria(), seed);
        traffic(&mut w, &f, 12, 100);
        w.run(Span::secs(2));
        let (at, since) = (f.desks[1], w.now);
        match mood {
            Some(m) => w.announce_leaving(at, m),
            None => w.crash_origin(at),
        }
        w.run(Span::secs(12));
        let (ok, n) = lately(&w, since);
        println!("{mood:?}: {ok} of {n} served");
        assert!(ok * 100 >= n * 95, "{ok} of {n}");
        let gone = w.controller(f.controllers[0]).unwrap().state().origin(&at).is_none();
        assert!(gone || mood == Some(Mood::Leaving), "it was never removed");
        clean(&mut w);
    }
}

/// Beats wait at frozen controllers; after the thaw they look as if just said.
#[test]
fn given_beats_that_waited_at_frozen_controllers_then_they_are_as_old_as_the_freeze() {
    for seed in 640..650 {
        let (mut w, f) = World::running_fleet(Plan::trinacria(), seed);
        traffic(&mut w, &f, 8, 200);
        w.run(Span::secs(2));
        // Just before it says that it leaves, a last beat is on its way.
        let at = f.desks[1];
        f.controllers.iter().for_each(|k| w.freeze(*k));
        f.controllers.iter().for_each(|k| w.send_heartbeat(at, *k));
        w.run(Span::ms(5));
        // Its own word of leaving does not get through for now.
        let left = Some(w.now);
        w.origins.get_mut(&at).into_iter().for_each(|b| (b.mood, b.left) = (Mood::Leaving, left));
        w.run(Span::ms(2300));
        f.controllers.iter().for_each(|k| w.thaw(*k));
        w.run(Span::secs(5));
        clean(&mut w);
    }
}

#[test]
fn given_origins_that_run_and_lose_the_answer_then_keys_are_in_doubt_and_nothing_runs_twice() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 68);
    f.desks.iter().chain(&f.pages).for_each(|a| w.origins.get_mut(a).unwrap().lose = 0.4);
    traffic(&mut w, &f, 15, 100);
    w.run(Span::secs(20));
    let doubts = w.steps().filter(|(_, s)| matches!(s, Step::OutcomeUnknown(_))).count();
    assert!(doubts > 30, "{doubts} in doubt");
    clean(&mut w);
}

#[test]
fn given_a_slow_origin_then_requests_go_round_it() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 69);
    traffic(&mut w, &f, 14, 100);
    w.origins.get_mut(&f.desks[0]).unwrap().work = Span::ms(1200);
    w.run(Span::secs(7));
    let hits = |w: &World| w.origins[&f.desks[0]].hits.values().sum::<u64>();
    let before = hits(&w);
    w.run(Span::secs(8));
    let after = hits(&w) - before;
    println!("{before} requests met the slow origin in 7 s, {after} in the next 8 s");
    assert!(after * 4 < before.max(8) * 3, "{before} before, {after} after");
    clean(&mut w);
}

#[test]
fn given_a_ledger_back_empty_that_cannot_ask_all_others_then_it_grants_nothing_in_the_window() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 70);
    traffic(&mut w, &f, 10, 100);
    w.run(Span::secs(10));
    let c = f.ledgers[0];
    w.kill(c);
    w.wipe(c);
    // Whom it cannot ask may know of a grant that nobody else does.
    w.cut(c, f.ledgers[1]);
    w.start(c);
    let since = w.now;
    traffic(&mut w, &f, 10, 100);
    w.run(Span::secs(14));
    assert!(!w.ledger(c).unwrap().is_open(), "it grants on an empty disk");
    // Meanwhile the others have given it back what it should hold.
    let held = w.ledger(c).unwrap().held();
    println!("{held} keys mended");
    assert!(held > 20, "{held} keys");
    let (ok, n) = lately(&w, since);
    assert!(ok * 100 >= n * 97, "{ok} of {n}");
    w.run(Span::secs(90));
    assert!(w.ledger(c).unwrap().is_open(), "it never grants again");
    clean(&mut w);
}

#[test]
fn given_every_ledger_and_edge_killed_while_keys_run_then_no_key_runs_twice() {
    for seed in 71..75 {
        let (mut w, f) = World::running_fleet(Plan::bersatu(), seed);
        for i in 0..400u64 {
            let g = f.edges[w.rng.usize(0..f.edges.len())];
            w.later(Span::ms(i * 20), move |w| {
                w.post(g, "pay", "sum", Some(&format!("k{}", i % 40)));
            });
        }
        for i in 0..6u64 {
            let all: Vec<_> = f.edges.iter().chain(&f.ledgers).copied().collect();
            w.later(Span::ms(900 + 1300 * i), move |w| {
                all.iter().for_each(|a| w.kill(*a));
                all.iter().for_each(|a| w.start(*a));
            });
        }
        w.run(Span::secs(14));
        clean(&mut w);
    }
}

#[test]
fn given_a_pressed_ceiling_when_the_duty_holder_dies_freezes_and_thaws_then_it_still_holds() {
    let plan = Plan { edges: 13, ..Plan::bersatu() };
    let (mut w, f) = World::running_fleet(plan, 76);
    w.allow("small", "desk", 60, Span(0));
    w.set_row(f.controllers[0], "s", "small", "desk", 0, row(60, Kind::Plain, Span(0)));
    w.run(Span::secs(1));
    for i in 0..2400u64 {
        let g = f.edges[i as usize % 13];
        w.later(Span::ms(i * 8), move |w| {
            w.get(g, "small", &format!("{i}"));
        });
    }
    let (a, b) = (f.controllers[0], f.controllers[1]);
    w.later(Span::secs(3), move |w| w.freeze(a));
    w.later(Span::secs(6), move |w| w.thaw(a));
    w.later(Span::secs(9), move |w| w.kill(a));
    w.later(Span::secs(12), move |w| w.freeze(b));
    w.later(Span::secs(12), move |w| w.start(a));
    w.later(Span::secs(14), move |w| w.thaw(b));
    w.run(Span::secs(22));
    println!("{} of 2400 served under a ceiling of 60 in 19 s of failing holders", served(&w));
    assert!(served(&w) > 400);
    clean(&mut w);
}

#[test]
fn given_a_edge_that_drains_then_what_origins_work_on_is_answered() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 77);
    f.desks.iter().for_each(|a| w.origins.get_mut(a).unwrap().work = Span::ms(1500));
    let g = f.edges[0];
    (0..10).for_each(|i| {
        w.post(g, "ask", &format!("slow{i}"), None);
    });
    w.run(Span::ms(200));
    w.ask(g, Want::Drain);
    w.run(Span::ms(10));
    // Not ready at once, but whoever did not notice yet is served.
    w.ask(g, Want::Ready);
    w.get(g, "ask", "in the grace");
    w.run(Span::ms(1100));
    w.get(g, "ask", "late");
    w.run(Span::secs(4));
    let unready = |s: &Exchange| matches!(&s.receipt, NodeReply::Health(h) if !h.ready && h.in_hand >= 10);
    assert!(w.exchanges.iter().any(unready), "it looks ready");
    let ok = served(&w);
    assert_eq!(ok, 11);
    let late = w.steps().filter(|(_, s)| matches!(s, Step::Deny(Denied::Leaving, _))).count();
    assert_eq!(late, 1);
    clean(&mut w);
}

#[test]
fn given_all_edges_and_ledgers_restarted_while_copies_live_then_origins_are_spared_the_rush() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 78);
    w.allow("read", "pages", 200, Span::secs(60));
    w.set_row(f.controllers[0], "long", "read", "pages", 1, row(200, Kind::Read, Span::secs(60)));
    w.run(Span::secs(6));
    let ask = |w: &mut World| {
        for o in 0..30 {
            let g = f.edges[w.rng.usize(0..f.edges.len())];
            w.get(g, "read", &format!("page{o}"));
        }
    };
    let hits = |w: &World| f.pages.iter().flat_map(|p| w.origins[p].hits.values()).sum::<u64>();
    ask(&mut w);
    w.run(Span::secs(3));
    let before = hits(&w);
    let all: Vec<_> = f.edges.iter().chain(&f.ledgers).copied().collect();
    all.iter().for_each(|a| w.kill(*a));
    all.iter().for_each(|a| w.start(*a));
    w.run(Span::secs(3));
    ask(&mut w);
    w.run(Span::secs(3));
    let rush = hits(&w) - before;
    println!("{before} hits for 30 objects, {rush} more after the restart");
    assert_eq!(served(&w), 60);
    assert!(rush <= 3, "{rush} hits after the restart");
    // And purged ones are not given out again.
    f.pages.iter().for_each(|p| w.origins.get_mut(p).unwrap().edition = 2);
    w.rules.editions.insert("pages".into(), (2, w.now));
    f.ledgers.iter().for_each(|c| w.kill(*c));
    w.run(Span::secs(1));
    w.purge(f.controllers[1], "p", "pages", "page1");
    w.run(Span::secs(13));
    f.ledgers.iter().for_each(|c| w.start(*c));
    f.edges.iter().for_each(|g| w.kill(*g));
    f.edges.iter().for_each(|g| w.start(*g));
    w.run(Span::secs(3));
    ask(&mut w);
    w.run(Span::secs(3));
    assert_eq!(served(&w), 90);
    clean(&mut w);
}

/// Between the decision and the first byte the machine stands still.
#[test]
fn given_a_edge_frozen_with_a_round_about_to_leave_when_it_thaws_then_not_a_byte_leaves() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 79);
    let (g, at) = (f.edges[0], f.desks.clone());
    w.run(Span::ms(500));
    (0..8).for_each(|i| {
        w.get(g, "ask", &format!("x{i}"));
    });
    w.run(Span(220));
    w.freeze(g);
    at.iter().for_each(|a| w.announce_leaving(*a, Mood::Leaving));
    w.run(Span::ms(2500));
    let hits = |w: &World| at.iter().flat_map(|a| w.origins[a].hits.values()).sum::<u64>();
    let before = hits(&w);
    w.thaw(g);
    w.run(Span::secs(3));
    assert_eq!(hits(&w) - before, 0, "rounds left long after they were decided");
    clean(&mut w);
}
