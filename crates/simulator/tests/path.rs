//! Stories of the ordinary path.
mod common;
use common::*;
use control_state::*;
use primitives::{Addr, Span};
use simulator::*;

#[test]
fn given_a_fresh_fleet_when_callers_come_then_all_are_served_and_copies_spare_the_origins() {
    for plan in [Plan::trinacria(), Plan::bersatu()] {
        let (mut w, f) = World::running_fleet(plan, 1);
        traffic(&mut w, &f, 10, 200);
        w.run(Span::secs(14));
        clean(&mut w);
        let n = w.steps().count();
        assert_eq!(n, 2000);
        // A key sent again while its first round is out is in doubt for the moment.
        let odd: Vec<_> =
            w.steps().filter(|(_, s)| !matches!(s, Step::Serve(..) | Step::OutcomeUnknown(_))).collect();
        assert!(odd.len() <= 2, "{} not served, first {:?}", odd.len(), odd[0]);
        let hits: u64 = f.pages.iter().flat_map(|p| w.origins[p].hits.values()).sum();
        println!("{} of {n} served; {hits} page hits for 12 objects over 10 s at 5 s of life", served(&w));
        assert!(hits <= 12 * 4, "{hits} hits");
    }
}

#[test]
fn given_racing_operators_when_they_edit_one_row_then_one_wins_and_the_other_sees_the_current_row() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 2);
    w.allow("new", "desk", 50, Span(0));
    let r = |c| row(c, Kind::Plain, Span(0));
    let a = w.set_row(f.controllers[0], "a", "new", "desk", 0, r(50));
    let b = w.set_row(f.controllers[3], "b", "new", "desk", 0, r(60));
    assert!(a != b);
    w.run(Span::secs(3));
    let of: Vec<&Verdict> = w.changes().skip(3).map(|(_, v)| v).collect();
    assert_eq!(of.len(), 2);
    assert_eq!(of.iter().filter(|v| matches!(v, Verdict::Done(_))).count(), 1);
    assert_eq!(of.iter().filter(|v| matches!(v, Verdict::Stale(_, it) if it.ver.0 == 1)).count(), 1);
    clean(&mut w);
}

#[test]
fn given_a_change_sent_again_at_another_controller_then_its_first_receipt_comes_back() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 3);
    w.set_row(f.controllers[1], "a", "ask", "desk", 1, row(90, Kind::Plain, Span(0)));
    w.run(Span::secs(1));
    w.set_row(f.controllers[2], "b", "ask", "desk", 2, row(95, Kind::Plain, Span(0)));
    w.run(Span::secs(1));
    w.set_row(f.controllers[3], "a", "ask", "desk", 1, row(90, Kind::Plain, Span(0)));
    w.run(Span::secs(1));
    w.set_row(f.controllers[3], "a", "ask", "desk", 1, row(91, Kind::Plain, Span(0)));
    w.run(Span::secs(1));
    let of: Vec<Verdict> = w.changes().skip(3).map(|(_, v)| v.clone()).collect();
    assert_eq!(of[0], of[2]);
    assert!(of.contains(&Verdict::Void(Void::IdTaken)));
    let now = w.edge(f.edges[0]).unwrap().items()[&Key::Row("ask".into(), "desk".into())].ver.0;
    assert_eq!(now, 3 - 1 + 1);
    clean(&mut w);
}

#[test]
fn given_an_acknowledged_change_when_any_controller_is_read_at_once_then_it_is_there() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 4);
    for (i, k) in f.controllers.clone().into_iter().enumerate() {
        let n = w.changes().count();
        w.set_row(k, &format!("c{i}"), "ask", "desk", 1 + i as u64, row(80, Kind::Plain, Span(0)));
        assert!(w.until(Span::secs(5), |w| w.changes().count() > n));
        f.controllers.iter().for_each(|k| {
            w.ask(*k, Want::Table);
        });
        w.run(Span::ms(200));
    }
    let reads = w.exchanges.iter().filter(|s| matches!(s.receipt, NodeReply::Table(..))).count();
    assert_eq!(reads, 16);
    clean(&mut w);
}

#[test]
fn given_purges_when_content_changed_before_then_no_old_copy_is_served() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 5);
    traffic(&mut w, &f, 12, 150);
    for i in 0..10u64 {
        let (pages, k) = (f.pages.clone(), f.controllers[i as usize % 4]);
        w.later(Span::ms(1000 * i + 300), move |w| {
            pages.iter().for_each(|p| w.origins.get_mut(p).unwrap().edition += 1);
            let e = w.origins[&pages[0]].edition;
            w.rules.editions.insert("pages".into(), (e, w.now));
            w.purge(k, &format!("p{i}"), "pages", if i % 2 == 0 { "" } else { "o1" });
        });
    }
    w.run(Span::secs(15));
    assert_eq!(w.changes().count(), 13);
    clean(&mut w);
}

#[test]
fn given_a_key_sent_through_many_edges_then_it_runs_once_and_later_tries_get_its_record() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 6);
    for k in 0..20u64 {
        for (i, g) in f.edges.clone().into_iter().enumerate() {
            let late = if i < 3 { 0 } else { 2000 };
            w.later(Span::ms(100 * k + late), move |w| {
                w.post(g, "pay", "x", Some(&format!("key{k}")));
            });
        }
    }
    w.run(Span::secs(8));
    let recs = w.steps().filter(|(_, s)| matches!(s, Step::Serve(_, AnswerSource::Record, _))).count();
    assert!(recs >= 20, "{recs} records");
    clean(&mut w);
}

#[test]
fn given_fourfold_demand_when_a_ceiling_is_low_then_it_holds_and_the_rest_is_told_when_to_come_back() {
    let plan = Plan { edges: 13, ..Plan::trinacria() };
    let (mut w, f) = World::running_fleet(plan, 8);
    w.allow("small", "desk", 30, Span(0));
    w.set_row(f.controllers[0], "s", "small", "desk", 0, row(30, Kind::Plain, Span(0)));
    w.run(Span::secs(1));
    for i in 0..1200u64 {
        let g: Addr = f.edges[i as usize % 13];
        w.later(Span::ms(i * 8), move |w| {
            w.get(g, "small", &format!("{i}"));
        });
    }
    // The last one waits in line for nearly half of its five seconds.
    w.run(Span::secs(13));
    clean(&mut w);
    let n = served(&w);
    println!("{n} of 1200 served under a ceiling of 30 in 9.6 s");
    assert!(n > 200, "{n}");
    assert_eq!(w.steps().count(), 1200);
}

#[test]
fn given_a_flood_of_purges_then_they_travel_together_and_each_is_in_force() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 9);
    let tally =
        |w: &World| f.controllers.iter().map(|k| w.controller(*k).unwrap().tally().proposed).sum::<u64>();
    let before = tally(&w);
    for i in 0..400u64 {
        let k = f.controllers[i as usize % 2];
        w.later(Span::ms(i * 2), move |w| {
            w.purge(k, &format!("p{i}"), "pages", &format!("o{}", i % 40));
        });
    }
    w.run(Span::secs(5));
    let worst = w.changes().skip(3).map(|(s, _)| (s.answered - s.asked).as_ms()).max().unwrap();
    let n = tally(&w) - before;
    println!("400 purges in 0.8 s: {n} commands, the slowest in force after {worst} ms");
    assert_eq!(done(&w), 403);
    assert!(n < 100 && worst < 2000, "{n} commands, {worst} ms");
    clean(&mut w);
}

#[test]
fn given_thousands_of_purged_scopes_then_they_are_gathered_and_still_in_force() {
    let (mut w, f) = World::running_fleet(Plan { cut_at: 30, ..Plan::trinacria() }, 12);
    traffic(&mut w, &f, 14, 60);
    for i in 0..120u64 {
        let (pages, k) = (f.pages.clone(), f.controllers[i as usize % 4]);
        w.later(Span::ms(i * 100), move |w| {
            pages.iter().for_each(|p| w.origins.get_mut(p).unwrap().edition += 1);
            w.rules.editions.insert("pages".into(), (w.origins[&pages[0]].edition, w.now));
            let all = (0..60).map(|n| ("pages".into(), format!("o{}/{}", i % 12, i * 60 + n)));
            let scopes: Vec<_> = all.chain([("pages".into(), format!("o{}", i % 12))]).collect();
            w.ask(
                k,
                Want::Change(Change { id: Some(format!("f{i}").as_str().into()), op: Op::Purge(scopes) }),
            );
        });
    }
    w.run(Span::secs(18));
    let purges = |k: primitives::Addr| {
        let p = w.controller(k).unwrap().state();
        p.items.keys().filter(|k| matches!(k, Key::Purge(..))).count()
    };
    let most = f.controllers.iter().map(|k| purges(*k)).max().unwrap();
    println!("{most} of 7212 purges remembered");
    assert_eq!(done(&w), 123);
    assert!(most < 4500, "{most} purges remembered");
    whole(&mut w, &f);
    clean(&mut w);
}
