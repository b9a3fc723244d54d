//! Stories of purges that were forgotten while somebody slept.
mod common;
use common::*;
use control_state::*;
use primitives::Span;
use simulator::*;

/// So many eras that every purge made before is forgotten.
fn age(w: &mut World, f: &Fleet, eras: u64) {
    let era = |w: &World| w.controller(f.controllers[0]).unwrap().state().era.0;
    let (end, mut n) = (era(w) + eras, 0);
    while era(w) < end {
        n += 1;
        let was = done(w);
        w.purge(f.controllers[n % 4], &format!("age{}-{n}", w.now.0), "desk", &format!("{}", n % 5));
        assert!(w.until(Span::secs(20), |w| done(w) > was), "a purge was not taken");
    }
}

fn new_edition(w: &mut World, f: &Fleet) {
    f.pages.iter().for_each(|p| w.origins.get_mut(p).unwrap().edition += 1);
    w.rules.editions.insert("pages".into(), (w.origins[&f.pages[0]].edition, w.now));
}

#[test]
fn given_ledgers_or_edges_that_slept_through_a_purge_and_its_forgetting_then_the_old_copy_is_not_served() {
    for (seed, frozen, gathered) in [(700, false, false), (701, true, false), (702, true, true)] {
        let (mut w, f) = World::running_fleet(Plan { cut_at: 16, ..Plan::trinacria() }, seed);
        w.allow("read", "pages", 200, Span::secs(3600));
        w.set_row(f.controllers[0], "long", "read", "pages", 1, row(200, Kind::Read, Span::secs(3600)));
        w.run(Span::secs(2));
        let ask = |w: &mut World| {
            (0..30u64).for_each(|o| {
                w.get(f.edges[o as usize % 5], "read", &format!("page{o}"));
            });
            w.run(Span::secs(3));
        };
        ask(&mut w);
        let asleep: Vec<_> = f.ledgers.iter().chain(&f.edges[..2]).copied().collect();
        asleep.iter().for_each(|a| if frozen { w.freeze(*a) } else { w.kill(*a) });
        // What is sent to them meanwhile does not wait for them.
        w.isolate(&asleep);
        new_edition(&mut w, &f);
        if gathered {
            for i in 0..25u64 {
                let all = (0..100).map(|n| ("pages".into(), format!("page{}/{n}", i)));
                let op = Op::Purge(all.chain([("pages".into(), "page".into())]).take(100).collect());
                w.ask(
                    f.controllers[0],
                    Want::Change(Change { id: Some(format!("g{i}").as_str().into()), op }),
                );
            }
        }
        w.purge(f.controllers[1], "the-one", "pages", "page");
        w.run(Span::secs(14));
        age(&mut w, &f, 11);
        let known = w
            .controller(f.controllers[0])
            .unwrap()
            .state()
            .items
            .keys()
            .any(|k| matches!(k, Key::Purge(s, p) if s.0 == "pages" && p == "page"));
        assert!(!known, "the purge was not forgotten");
        asleep.iter().for_each(|a| if frozen { w.thaw(*a) } else { w.start(*a) });
        w.heal();
        f.edges[2..].iter().for_each(|g| w.kill(*g));
        f.edges[2..].iter().for_each(|g| w.start(*g));
        w.run(Span::secs(3));
        let was = served(&w);
        ask(&mut w);
        assert_eq!(served(&w) - was, 30);
        clean(&mut w);
    }
}

#[test]
fn given_a_fill_that_began_before_a_purge_when_it_comes_in_after_then_it_is_not_kept() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 710);
    f.pages.iter().for_each(|p| w.origins.get_mut(p).unwrap().work = Span::ms(1500));
    for o in 0..20u64 {
        w.get(f.edges[o as usize % 5], "read", &format!("slow{o}"));
    }
    w.run(Span::ms(500));
    new_edition(&mut w, &f);
    w.purge(f.controllers[1], "meanwhile", "pages", "slow");
    w.run(Span::ms(3500));
    for o in 0..20u64 {
        w.get(f.edges[(o as usize + 1) % 5], "read", &format!("slow{o}"));
    }
    w.run(Span::secs(4));
    assert!(served(&w) >= 20);
    clean(&mut w);
}
