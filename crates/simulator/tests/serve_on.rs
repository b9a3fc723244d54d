//! Stories of edges that serve on while they are out of touch with the controllers.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token};
use simulator::*;

fn service(ver: u64) -> Edit {
    edit(Section::Services, "x", ver, Some(Body::Service(service_entry(Some(ver)))))
}

fn version(w: &World, edge: Addr) -> u64 {
    w.edge(edge).unwrap().items().get(&service(1).key()).map_or(0, |it| it.ver.0)
}

#[test]
fn given_all_edges_cut_off_from_controllers_then_they_serve_on_and_keys_are_claimed_for_a_while_only() {
    for seed in 2600..2603 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        f.edges.iter().for_each(|g| out_of_touch(&mut w, *g));
        let begun = w.now;
        let mut all: Vec<(Span, Token)> = vec![];
        let mut keyed: Vec<(Span, Token)> = vec![];
        for i in 0..300 {
            let g = f.edges[i % 6];
            let t = w.now - begun;
            all.push((t, w.call(g, "ask", &format!("{i}"))));
            all.push((t, w.call(g, "read", &format!("red-{}", i % 20))));
            keyed.push((t, w.charge(g, "sum", &format!("k{i}"))));
            w.run(Span::ms(100));
        }
        w.run(Span::secs(1));
        for (t, n) in all {
            assert!(is_served(&w, n), "{} ms: {:?}, seed {seed}", t.as_ms(), reply_to(&w, n));
        }
        for (t, n) in keyed {
            let denied = matches!(step(&w, n), Some(Step::Deny(Denied::NoLease, _)));
            // The lease is 600 ms, and for five seconds after it keys are claimed.
            match t.as_ms() {
                0..=5000 => assert!(is_served(&w, n), "{} ms: {:?}", t.as_ms(), reply_to(&w, n)),
                5800.. => assert!(denied, "{} ms: {:?}", t.as_ms(), reply_to(&w, n)),
                _ => (),
            }
        }
        w.heal();
        w.run(Span::secs(2));
        let t = w.charge(f.edges[0], "sum", "after");
        w.run(Span::secs(1));
        assert!(is_served(&w, t), "{:?}", reply_to(&w, t));
        clean(&mut w);
    }
}

#[test]
fn given_edges_cut_off_while_others_edit_then_they_serve_by_what_they_have_and_catch_up_in_touch() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 2610);
    let (away, other) = (f.edges[0], f.edges[1]);
    w.allow("new", "desk", u32::MAX, Span(0));
    out_of_touch(&mut w, away);
    edited(&mut w, other, vec![lane_edit("new", 1, lane_entry("new", Kind::Plain, "desk", Span(0)))]);
    edited(&mut w, other, vec![edit(Section::Lanes, "ask", 2, None)]);
    let ask = |w: &mut World, g, lane| {
        let t = w.call(g, lane, "a");
        w.run(Span::ms(300));
        is_served(w, t)
    };
    assert!(!ask(&mut w, other, "ask") && ask(&mut w, other, "new"));
    assert!(ask(&mut w, away, "ask") && !ask(&mut w, away, "new"), "out of touch");
    w.heal();
    w.run(Span::secs(1));
    assert!(!ask(&mut w, away, "ask") && ask(&mut w, away, "new"), "back in touch");
    clean(&mut w);
}

#[test]
fn given_a_edge_frozen_then_edits_and_purges_are_acknowledged_within_a_second_and_a_half() {
    for seed in 2620..2632 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let i = seed as usize % 6;
        let (cold, other) = (f.edges[i], f.edges[(i + 1) % 6]);
        w.freeze(cold);
        for ver in 1..6 {
            let e = w.edit(other, vec![service(ver)]);
            let p = w.purge_by(other, PurgeBy::Tag("red".into()));
            for (t, what) in [(e, "an edit"), (p, "a purge")] {
                let r = within(&mut w, t, Span::ms(1500), what);
                assert!(is_done(&r), "{r:?}");
            }
            assert_eq!(version(&w, other), ver);
        }
        clean(&mut w);
    }
}

#[test]
fn given_a_whole_machine_frozen_then_edits_are_acknowledged_within_a_second_and_a_half() {
    for seed in 2640..2652 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let m = seed as u8 % 6 + 1;
        machine(m).into_iter().for_each(|a| w.freeze(a));
        for (ver, g) in f.edges.clone().into_iter().enumerate().filter(|(i, _)| *i as u8 + 1 != m) {
            let t = w.edit(g, vec![service(ver as u64 + 1)]);
            let r = within(&mut w, t, Span::ms(1500), &format!("an edit at {g}, machine {m} frozen"));
            assert!(is_done(&r), "{r:?}");
        }
        clean(&mut w);
    }
}

#[test]
fn given_a_frozen_edge_that_thaws_then_it_catches_up_within_a_second_and_never_goes_back() {
    for seed in 2660..2672 {
        let plan = Plan { cut_at: 8, drift: 45, ..Plan::open() };
        let (mut w, f) = World::running_open_fleet(plan, seed);
        let i = seed as usize % 6;
        let (cold, other) = (f.edges[i], f.edges[(i + 1) % 6]);
        for round in 0..4 {
            w.freeze(cold);
            for n in 0..4 {
                edited(&mut w, other, vec![service(round * 4 + n + 1)]);
                // What was asked of it before it thaws is answered by what it knew.
                w.call(cold, "ask", "while");
                w.call(cold, "read", "red-1");
            }
            let long = Span::ms(w.rng.u64(0..3000));
            w.run(long);
            w.thaw(cold);
            w.run(Span::secs(1));
            assert_eq!(version(&w, cold), round * 4 + 4, "seed {seed}");
        }
        clean(&mut w);
    }
}

/// An edge that starts anew knows nothing; what it showed before still binds it.
#[test]
fn given_a_edge_killed_and_started_then_it_serves_by_nothing_older_than_it_did() {
    for seed in 2680..2692 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let (g, other) = (f.edges[seed as usize % 6], f.edges[(seed as usize + 1) % 6]);
        let behind = f.controllers[seed as usize % 4];
        w.isolate(&[behind]);
        edited(&mut w, other, vec![edit(Section::Lanes, "ask", 2, None)]);
        w.kill(g);
        w.heal();
        // The controller that missed the edit is the first that it hears.
        f.controllers.iter().filter(|k| **k != behind).for_each(|k| w.cut(*k, g));
        w.start(g);
        let mut all: Vec<Token> = vec![];
        for _ in 0..100 {
            all.push(w.call(g, "ask", "again"));
            w.run(Span::ms(10));
        }
        w.heal();
        w.run(Span::secs(2));
        let served = all.iter().filter(|t| is_served(&w, **t)).count();
        assert_eq!(served, 0, "a lane that it saw dropped, seed {seed}");
        clean(&mut w);
    }
}
