//! Stories of things done in turn, and of nets that fail one way or by region.
mod common;
use common::*;
use control_state::*;
use primitives::{Addr, Span};
use simulator::*;

#[test]
fn given_every_process_restarted_in_turn_then_callers_hardly_notice() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 80);
    let since = w.now;
    traffic(&mut w, &f, 62, 60);
    edits(&mut w, &f, 40, Span::ms(1000));
    for a in f.controllers.iter().chain(&f.ledgers).chain(&f.edges) {
        w.ask(*a, Want::Drain);
        w.run(Span::ms(1800));
        w.kill(*a);
        w.run(Span::ms(300));
        w.start(*a);
        w.run(Span::ms(1500));
    }
    w.run(Span::secs(10));
    let (ok, n) = lately(&w, since);
    // A restarted edge's own callers are denied while it is away.
    let denied =
        w.steps().filter(|(_, s)| matches!(s, Step::Deny(Denied::Leaving | Denied::NoLease, _))).count();
    println!("{ok} of {n} served, {denied} denied at edges that were restarting");
    assert!((ok + denied) * 100 >= n * 98, "{ok} of {n} served, {denied} denied");
    whole(&mut w, &f);
    clean(&mut w);
}

#[test]
fn given_origins_replaced_one_by_one_then_service_goes_on() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 81);
    let since = w.now;
    traffic(&mut w, &f, 24, 100);
    for a in f.desks.iter().chain(&f.pages) {
        let (svc, zone) = (w.origins[a].svc.0.clone(), w.origins[a].zone.0.clone());
        w.announce_leaving(*a, Mood::Leaving);
        w.run(Span::ms(1500));
        w.announce_leaving(*a, Mood::Gone);
        w.run(Span::ms(300));
        w.crash_origin(*a);
        w.run(Span::ms(500));
        w.add_origin(*a, &svc, &zone);
        w.run(Span::ms(700));
    }
    w.run(Span::secs(8));
    let (ok, n) = lately(&w, since);
    println!("{ok} of {n} served while all seven origins were replaced");
    assert!(ok * 100 >= n * 97, "{ok} of {n}");
    clean(&mut w);
}

#[test]
fn given_the_regions_parted_then_edges_serve_for_their_lease_and_all_agree_afterwards() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 82);
    traffic(&mut w, &f, 40, 60);
    edits(&mut w, &f, 30, Span::ms(700));
    w.run(Span::secs(3));
    let parted = w.now;
    let west: Vec<Addr> =
        w.procs.iter().filter(|(_, p)| p.zone.region() == "barat").map(|(a, _)| *a).collect();
    w.isolate(&west);
    w.run(Span::secs(8));
    let reads = |w: &World| {
        let of: Vec<bool> = w
            .steps()
            .filter(|(s, _)| s.asked >= parted && matches!(&s.want, Want::Request(q) if q.lane.0 == "read"))
            .map(|(_, s)| matches!(s, Step::Serve(..)))
            .collect();
        (of.iter().filter(|x| **x).count(), of.len())
    };
    let (ok, n) = reads(&w);
    println!("{ok} of {n} reads served in the first 8 s of the parting");
    assert!(ok * 10 >= n * 9, "{ok} of {n}");
    w.run(Span::secs(6));
    w.heal();
    w.run(Span::secs(5));
    let back = w.now;
    w.run(Span::secs(22));
    let (ok, n) = lately(&w, back);
    assert!(ok * 10 >= n * 9, "{ok} of {n} served afterwards");
    whole(&mut w, &f);
    clean(&mut w);
}

#[test]
fn given_a_controller_that_hears_and_is_not_heard_then_the_others_go_on_and_so_does_it_afterwards() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 83);
    traffic(&mut w, &f, 20, 60);
    edits(&mut w, &f, 18, Span::ms(400));
    let mute = f.controllers[0];
    for a in w.procs.keys().copied().filter(|a| *a != mute).collect::<Vec<_>>() {
        w.cuts.insert((mute, a));
    }
    let (n, since) = (done(&w), w.now);
    w.run(Span::secs(12));
    assert!(done(&w) > n + 5, "{} changes taken meanwhile", done(&w) - n);
    let (ok, all) = lately(&w, since);
    assert!(ok * 100 >= all * 95, "{ok} of {all} served meanwhile");
    w.heal();
    w.run(Span::secs(12));
    whole(&mut w, &f);
    clean(&mut w);
}
