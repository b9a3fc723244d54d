//! Stories of copies that reach an edge through a home which knows other purges than their source.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Span};
use simulator::*;

/// An edge, the home of its zone and the home of the region for a page; three different edges.
struct Tiers {
    edge: Addr,
    zone_home: Addr,
    region_home: Addr,
    page: String,
}

/// The edges among the nodes that `edge` knows.
fn edge_nodes(w: &World, edge: Addr) -> Vec<(u64, Node)> {
    let items = w.edge(edge).expect("is up").items();
    let node = |(key, item): (&Key, &Item)| match (key, &item.body) {
        (Key::Node(id), Some(Body::Node(n))) if n.role == Role::Edge => Some((id.0, n.clone())),
        _ => None,
    };
    items.iter().filter_map(node).collect()
}

/// The first page with tag `red` whose homes are different edges.
fn tiers(w: &World, f: &Fleet) -> Tiers {
    let nodes = edge_nodes(w, f.edges[0]);
    let zone_of = |edge: Addr| nodes.iter().find(|(_, n)| n.addr == edge).expect("has joined").1.zone.clone();
    let zone_home = |edge: Addr, page: &str| {
        let object =
            Object { service: "pages".into(), site: Site(HOST.into()), path: format!("/read/{page}") };
        let near: Vec<_> = nodes.iter().filter(|(_, n)| n.zone == zone_of(edge)).cloned().collect();
        primitives::rank(&object, &near, |(id, _)| *id)[0].1.addr
    };
    let pages = (0..200).map(|i| format!("red-{i}"));
    let candidates = pages.flat_map(|page| f.edges.iter().map(move |edge| (*edge, page.clone())));
    let tiers = candidates.map(|(edge, page)| Tiers {
        edge,
        zone_home: zone_home(edge, &page),
        region_home: home(w, edge, &page),
        page,
    });
    let all_differ =
        |t: &Tiers| t.edge != t.zone_home && t.zone_home != t.region_home && t.edge != t.region_home;
    tiers.into_iter().find(all_differ).expect("some page has different homes")
}

/// Guards against old copies served after a purge (STALE): a home that knew of the purge passed on what
/// a home had sent that did not, as if it had been checked against the purge.
#[test]
fn given_a_copy_from_a_home_that_lacks_a_purge_then_no_edge_behind_another_home_keeps_it() {
    for (seed, by_tag) in (2600..2608).zip([true, false].into_iter().cycle()) {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        w.rules.ttl.insert("read".into(), Span::secs(600));
        let route = lane_entry("read", Kind::Read, "pages", Span::secs(600));
        edited(&mut w, f.edges[0], vec![lane_edit("read", 2, route)]);
        let Tiers { edge, zone_home, region_home, page } = tiers(&w, &f);
        let first = w.call(region_home, "read", &page);
        w.run(Span::secs(1));
        assert_eq!(edition(&w, first).map(|e| e.0), Some(1), "seed {seed}");
        w.revise("pages");

        // The region's home hears nothing of the purge for less than its lease.
        out_of_touch(&mut w, region_home);
        let by = if by_tag {
            PurgeBy::Tag("red".into())
        } else {
            PurgeBy::Page(HOST.into(), format!("/read/{page}"))
        };
        let purge = w.purge_by(edge, by.clone());
        let key = Key::PurgeBy(by);
        let knows = |w: &World, edge: Addr| w.edge(edge).is_some_and(|e| e.items().contains_key(&key));
        assert!(w.until(Span::ms(400), |w| knows(w, edge) && knows(w, zone_home)), "seed {seed}");
        assert!(!knows(&w, region_home), "seed {seed}");
        let meanwhile = w.call(edge, "read", &page);
        w.run(Span::ms(40));
        w.heal();
        assert!(is_done(&within(&mut w, purge, Span::secs(4), "a purge")), "seed {seed}");
        assert!(is_served(&w, meanwhile), "seed {seed}: {:?}", reply_to(&w, meanwhile));

        w.run(Span::secs(3));
        for asked in [edge, zone_home, region_home] {
            let late = w.call(asked, "read", &page);
            w.run(Span::secs(1));
            assert_eq!(edition(&w, late).map(|e| e.0), Some(2), "seed {seed}: an old copy was kept");
        }
        clean(&mut w);
    }
}
