//! Stories of what any node is asked of the control state, whoever is in reach.
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

/// One of each: an edit, a purge, a reading, and a sign-off of nobody.
fn one_of_each(w: &mut World, edge: Addr, ver: u64) -> Vec<(&'static str, Token)> {
    vec![
        ("an edit", w.edit(edge, vec![service(ver)])),
        ("a purge", w.purge_by(edge, PurgeBy::Tag("x".into()))),
        ("a reading", w.ask(edge, Want::Read)),
        ("a sign-off", w.ask(edge, Want::SignOff("nobody".into()))),
    ]
}

/// All are answered within a second, and none with a "not now".
fn answered(w: &mut World, f: &Fleet, ver: &mut u64, what: &str) {
    for g in &f.edges {
        *ver += 1;
        for (kind, t) in one_of_each(w, *g, *ver) {
            let what = format!("{kind} at {g}, {what}");
            let r = within(w, t, Span::secs(1), &what);
            assert!(!matches!(r, NodeReply::Unavailable(_)), "{r:?}: {what}");
            if let NodeReply::Table(p, _) = r {
                assert!(p.item(&service(1).key()).ver.0 + 1 >= *ver, "an old reading: {what}");
            }
        }
    }
}

#[test]
fn given_any_node_then_it_takes_edits_purges_readings_and_sign_offs() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 2300);
    answered(&mut w, &f, &mut 0, "all is well");
    clean(&mut w);
}

type Deed = fn(&mut World, Addr);

#[test]
fn given_a_controller_down_frozen_or_cut_off_then_every_node_still_answers_within_a_second() {
    let ends: [(&str, Deed, Deed); 3] = [
        ("down", |w, k| w.kill(k), |w, k| w.start(k)),
        ("frozen", |w, k| w.freeze(k), |w, k| w.thaw(k)),
        ("cut off", |w, k| w.isolate(&[k]), |w, _| w.heal()),
    ];
    for (i, (name, begin, end)) in ends.into_iter().enumerate() {
        let (mut w, f) = World::running_open_fleet(Plan::open(), 2310 + i as u64);
        let mut ver = 0;
        for k in f.controllers.clone() {
            begin(&mut w, k);
            answered(&mut w, &f, &mut ver, &format!("{k} {name} just now"));
            w.run(Span::secs(2));
            answered(&mut w, &f, &mut ver, &format!("{k} {name}"));
            end(&mut w, k);
            w.run(Span::secs(2));
        }
        common_configuration(&mut w, &f, name);
        clean(&mut w);
    }
}

#[test]
fn given_beats_at_nodes_near_a_controller_that_is_gone_then_they_are_taken_and_origins_stay() {
    for (i, trouble) in [World::kill, World::freeze].into_iter().enumerate() {
        let (mut w, f) = World::running_open_fleet(Plan::open(), 2320 + i as u64);
        let before = count(&w, "beats not taken");
        trouble(&mut w, f.controllers[1]);
        w.run(Span::secs(6));
        assert_eq!(count(&w, "beats not taken") - before, 0);
        let there = |w: &World, g: &Addr| {
            w.edge(*g)
                .unwrap()
                .items()
                .iter()
                .filter(|(k, it)| matches!(k, Key::Origin(_)) && it.body.is_some())
                .count()
        };
        f.edges.iter().for_each(|g| assert_eq!(there(&w, g), 11, "{g} lost origins"));
        clean(&mut w);
    }
}

#[test]
fn given_a_node_cut_off_from_all_then_it_says_that_it_cannot_within_its_patience() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 2330);
    for g in f.edges.clone() {
        w.isolate(&[g]);
        let most = [4000, 4000, 2000, 900].map(|ms| Span::ms(ms + 100));
        for ((kind, t), most) in one_of_each(&mut w, g, 9).into_iter().zip(most) {
            let r = within(&mut w, t, most, kind);
            assert!(matches!(r, NodeReply::Unavailable(_)), "{kind}: {r:?}");
        }
        w.heal();
        w.run(Span::secs(2));
    }
    common_configuration(&mut w, &f, "healed");
    clean(&mut w);
}

/// The first controllers have no quorum, so all that any of them can say is "not now".
#[test]
fn given_no_quorum_of_controllers_then_every_node_says_so_within_its_patience_and_answers_once_there_is() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 2340);
    f.controllers[..2].iter().for_each(|k| w.kill(*k));
    w.run(Span::secs(2));
    for g in f.edges.clone() {
        let t = w.ask(g, Want::Read);
        let r = within(&mut w, t, Span::ms(2100), "a reading");
        assert!(matches!(r, NodeReply::Unavailable(_)), "{r:?}");
    }
    // Comes back within the edit's patience.
    let t = w.edit(f.edges[0], vec![service(5)]);
    w.run(Span::ms(1500));
    assert!(reply_to(&w, t).is_none(), "taken without a quorum");
    w.start(f.controllers[0]);
    let r = within(&mut w, t, Span::ms(4100), "an edit");
    assert!(is_done(&r), "{r:?}");
    clean(&mut w);
}

#[test]
fn given_an_origin_signed_off_by_its_name_then_no_edge_asks_it_though_it_beats_on() {
    for seed in 2350..2356 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let gone = f.desks[seed as usize % 8];
        let tag = w.origins[&gone].birth.to_string();
        let t = w.ask(f.edges[seed as usize % 6], Want::SignOff(tag));
        let r = within(&mut w, t, Span::secs(1), "a sign-off");
        assert!(is_done(&r), "{r:?}");
        let before: u64 = w.origins[&gone].hits.values().sum();
        for i in 0..120 {
            w.call(f.edges[i % 6], "ask", &format!("{i}"));
            w.run(Span::ms(25));
        }
        assert_eq!(w.origins[&gone].hits.values().sum::<u64>(), before, "it was asked, seed {seed}");
        clean(&mut w);
    }
}
