//! Stories of copies that lapsed: what has not changed does not cross again.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token};
use simulator::*;

fn lifetime(w: &mut World, f: &Fleet, ver: u64, ttl: Span) {
    let l = lane_entry("read", Kind::Read, "pages", ttl);
    edited(w, f.edges[1], vec![lane_edit("read", ver, l)]);
    w.rules.ttl.insert("read".into(), ttl);
}

fn running_fleet(plan: Plan, seed: u64, ttl: Span) -> (World, Fleet) {
    let (mut w, f) = World::running_open_fleet(plan, seed);
    lifetime(&mut w, &f, 2, ttl);
    (w, f)
}

fn work(w: &mut World, f: &Fleet, ms: u64) {
    f.pages.iter().for_each(|a| w.origins.get_mut(a).unwrap().work = Span::ms(ms));
}

/// The answer's edition, once it is there.
fn get(w: &mut World, edge: Addr, path: &str) -> Option<u64> {
    let t = w.call(edge, "read", path);
    w.run(Span::ms(300));
    edition(w, t).map(|e| e.0)
}

/// First tries enough that there may be an extra one.
fn warm(w: &mut World, edge: Addr) {
    for p in homed(w, edge, "warm", 16) {
        w.call(edge, "read", &p);
    }
    w.run(Span::secs(1));
}

#[test]
fn given_an_object_that_never_changes_then_its_origin_sends_it_once_to_the_region_however_often_it_lapses() {
    let (mut w, f) = running_fleet(Plan::open(), 2500, Span::secs(1));
    let mut all: Vec<Token> = vec![];
    for _ in 0..100 {
        all.extend(f.edges.iter().map(|g| w.call(*g, "read", "red-1")));
        w.run(Span::ms(100));
    }
    assert!(all.iter().all(|t| edition(&w, *t).map(|e| e.0) == Some(1)));
    assert_eq!(count(&w, "whole answers"), 1);
    let asked = count(&w, "unchanged");
    assert!((6..=10).contains(&asked), "asked {asked} times in ten seconds of one region");
    clean(&mut w);
}

// Guards against homes of zones that turn to the origin where a copy lapsed on its way to them: the
// region's home lapses a moment later than what it handed out.
#[test]
fn given_any_home_then_an_object_that_lapses_is_asked_of_its_origin_once_for_the_region() {
    for page in 1..16 {
        let (mut w, f) = running_fleet(Plan::open(), 2510, Span::secs(1));
        for _ in 0..100 {
            for edge in f.edges.clone() {
                w.call(edge, "read", &format!("red-{page}"));
            }
            w.run(Span::ms(100));
        }
        let asked = count(&w, "unchanged");
        assert!((6..=10).contains(&asked), "page {page}: asked {asked} times in ten seconds of one region");
        clean(&mut w);
    }
}

#[test]
fn given_an_object_that_changed_then_it_is_fetched_anew_once_its_copy_lapsed() {
    let (mut w, f) = running_fleet(Plan::open(), 2501, Span::secs(1));
    let g = f.edges[0];
    assert_eq!(get(&mut w, g, "red-1"), Some(1));
    w.revise("pages");
    w.run(Span::secs(1));
    assert_eq!(get(&mut w, g, "red-1"), Some(2));
    assert_eq!(count(&w, "unchanged"), 0);
    w.run(Span::secs(1));
    assert_eq!(get(&mut w, g, "red-1"), Some(2));
    assert_eq!((count(&w, "whole answers"), count(&w, "unchanged")), (2, 1));
    clean(&mut w);
}

#[test]
fn given_a_purge_of_a_lapsed_copy_then_it_is_not_renewed_though_its_origin_has_nothing_newer() {
    for by in [PurgeBy::Tag("red".into()), PurgeBy::Page(HOST.into(), "/read/red-1".into())] {
        let (mut w, f) = running_fleet(Plan::open(), 2502, Span::secs(1));
        let g = f.edges[0];
        assert_eq!(get(&mut w, g, "red-1"), Some(1));
        w.run(Span::secs(2));
        purged(&mut w, f.edges[4], by);
        assert_eq!(get(&mut w, g, "red-1"), Some(1));
        assert_eq!((count(&w, "whole answers"), count(&w, "unchanged")), (2, 0));
        clean(&mut w);
    }
}

#[test]
fn given_a_purge_while_a_renewal_is_under_way_then_the_old_copy_is_not_served_nor_kept() {
    let (mut w, f) = running_fleet(Plan::open(), 2503, Span::secs(1));
    let g = f.edges[0];
    warm(&mut w, g);
    let path = homed(&w, g, "red", 1).remove(0);
    assert_eq!(get(&mut w, g, &path), Some(1));
    w.run(Span::secs(2));
    let before = count(&w, "whole answers");
    work(&mut w, &f, 500);
    let t = w.call(g, "read", &path);
    w.run(Span::ms(100));
    work(&mut w, &f, 8);
    purged(&mut w, f.edges[4], PurgeBy::Tag("red".into()));
    w.run(Span::secs(1));
    assert_eq!(edition(&w, t), Some((1, AnswerSource::Origin)), "{:?}", reply_to(&w, t));
    assert_eq!((count(&w, "whole answers") - before, count(&w, "unchanged")), (1, 1));
    clean(&mut w);
}

#[test]
fn given_a_copy_that_left_for_room_while_it_was_asked_about_then_the_whole_is_asked_for() {
    // Room for three or so.
    let (mut w, f) = running_fleet(Plan { copies: 450, ..Plan::open() }, 2504, Span::secs(1));
    let g = f.edges[0];
    warm(&mut w, g);
    let path = homed(&w, g, "red", 1).remove(0);
    assert_eq!(get(&mut w, g, &path), Some(1));
    w.run(Span::secs(2));
    let before = count(&w, "whole answers");
    work(&mut w, &f, 500);
    let t = w.call(g, "read", &path);
    w.run(Span::ms(100));
    work(&mut w, &f, 8);
    for p in homed(&w, g, "other", 6) {
        w.call(g, "read", &p);
    }
    w.run(Span::secs(1));
    assert_eq!(edition(&w, t), Some((1, AnswerSource::Origin)), "{:?}", reply_to(&w, t));
    assert_eq!((count(&w, "whole answers") - before, count(&w, "unchanged")), (7, 1));
    clean(&mut w);
}

#[test]
fn given_a_lifetime_shortened_by_an_edit_then_it_holds_for_copies_that_are_there_already() {
    for seed in 2510..2513 {
        let (mut w, f) = running_fleet(Plan::open(), seed, Span::secs(600));
        let pages: Vec<String> = (0..6).map(|i| format!("red-{i}")).collect();
        let ask = |w: &mut World| {
            let all: Vec<Token> = pages
                .iter()
                .flat_map(|p| f.edges.iter().map(move |g| (*g, p)))
                .map(|(g, p)| w.call(g, "read", p))
                .collect();
            w.run(Span::secs(1));
            all.iter().map(|t| edition(w, *t).expect("served").0).collect::<Vec<_>>()
        };
        assert_eq!(ask(&mut w), [1; 36]);
        w.run(Span::secs(5));
        w.revise("pages");
        assert_eq!(ask(&mut w), [1; 36], "nothing lapsed yet");
        lifetime(&mut w, &f, 3, Span::secs(1));
        assert_eq!(ask(&mut w), [2; 36], "seed {seed}");
        clean(&mut w);
    }
}
