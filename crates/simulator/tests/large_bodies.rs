//! Stories of large pages: they are asked of an origin at hand rather than carried from far.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Span, Token};
use simulator::*;

/// Every page is asked for at every edge, one page after the other; what crossed meanwhile by that
/// counter.
fn crossed_for_large_pages(w: &mut World, f: &Fleet, crossed: fn(&World) -> u64) -> u64 {
    let heads = Headers::default().with("x-filler", vec![b'x'; LARGE_BODY]);
    f.pages.iter().for_each(|a| w.origins.get_mut(a).unwrap().heads = heads.clone());
    let before = crossed(w);
    let mut tokens = vec![];
    for page in 0..LARGE_PAGES {
        tokens.extend(f.edges.iter().map(|e| w.call(*e, "read", &format!("red-{page}"))));
        w.run(Span::ms(100));
    }
    w.run(Span::secs(1));
    assert!(tokens.iter().all(|t| is_served(w, *t)), "not all were served");
    crossed(w) - before
}

const LARGE_BODY: usize = 100_000;
const LARGE_PAGES: usize = 30;

fn standing_with_large_pages(zones: [&'static str; 4], seed: u64) -> (World, Fleet) {
    let mut plan = Plan { zones, one_way_us: [100, 750, 17_500], link: Some(1 << 30), ..Plan::open() };
    (plan.copies, plan.policy.cross_region_body_limit) = (64 << 20, LARGE_BODY / 2);
    World::running_open_fleet(plan, seed)
}

/// Guards against carrying between regions what an origin of the own region could give.
#[test]
fn given_large_pages_and_an_origin_in_each_region_then_their_bodies_do_not_cross_from_one_to_the_other() {
    for seed in 5360..5363 {
        let (mut w, f) = standing_with_large_pages(["barat/a", "timur/b", "timur/c", "barat/a"], seed);
        let crossed = crossed_for_large_pages(&mut w, &f, |w| w.bytes_between_regions);
        println!("seed {seed}: {crossed} bytes between regions");
        // The first ones, until it is known how large they are.
        assert!(crossed < (LARGE_PAGES * LARGE_BODY / 5) as u64, "{crossed} bytes crossed, seed {seed}");
        clean(&mut w);
    }
}

/// Guards against the same between zones of one region.
#[test]
fn given_large_pages_and_an_origin_in_each_zone_then_their_bodies_do_not_cross_from_one_to_the_other() {
    for seed in 5370..5373 {
        let (mut w, f) = standing_with_large_pages(Plan::open().zones, seed);
        let crossed = crossed_for_large_pages(&mut w, &f, |w| w.bytes_between_zones);
        println!("seed {seed}: {crossed} bytes between zones");
        assert!(crossed < (LARGE_PAGES * LARGE_BODY / 5) as u64, "{crossed} bytes crossed, seed {seed}");
        clean(&mut w);
    }
}

/// Guards against pressing a service at its ceiling with a fill of each zone.
#[test]
fn given_a_service_at_its_ceiling_then_its_large_pages_are_asked_for_once_for_all_zones() {
    for seed in 5380..5383 {
        let (mut w, f) = standing_with_large_pages(Plan::open().zones, seed);
        let service = edit(Section::Services, "pages", 2, Some(Body::Service(service_entry(Some(8_000)))));
        edited(&mut w, f.edges[1], vec![service]);
        let before = count(&w, "whole answers");
        let heads = Headers::default().with("x-filler", vec![b'x'; LARGE_BODY]);
        f.pages.iter().for_each(|a| w.origins.get_mut(a).unwrap().heads = heads.clone());
        let ask = |w: &mut World, page: usize| -> Vec<Token> {
            f.edges.iter().map(|e| w.call(*e, "read", &format!("red-{page}"))).collect()
        };
        let tokens: Vec<Token> = (0..12).flat_map(|page| ask(&mut w, page)).collect();
        w.run(Span::secs(5));
        let served = tokens.iter().filter(|t| is_served(&w, **t)).count();
        let fills = count(&w, "whole answers") - before;
        println!("seed {seed}: {served} of {} served by {fills} fills", tokens.len());
        assert!(served * 4 >= tokens.len() * 3, "{served} of {} served, seed {seed}", tokens.len());
        assert!(fills <= 18, "{fills} fills of 12 pages, seed {seed}");
        clean(&mut w);
    }
}
