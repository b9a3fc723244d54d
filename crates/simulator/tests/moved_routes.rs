//! Stories of routes that change under their old names: what is kept, joined, asked of another edge
//! or purged names the same object to all, whatever the route is called.
//!
//! They guard against callers of one host getting the pages of another whose route had the name.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token};
use simulator::*;

const OTHER: &str = "b.example";
const LIFE: Span = Span::secs(20);

fn page(w: &mut World, edge: Addr, host: &str, path: &str) -> Token {
    let mut req = hosted("GET", "read", path, None);
    req.host = Some(host.into());
    req.heads.push("host", host);
    w.ask(edge, Want::Request(req))
}

/// The host whose page it is.
fn host_of(w: &World, t: Token) -> Option<String> {
    match step(w, t)? {
        Step::Serve(whole, ..) => {
            let body = String::from_utf8_lossy(&whole.body).to_string();
            body.split('|').nth(5).map(str::to_string)
        }
        _ => None,
    }
}

/// The route `read`, for that host.
fn route(host: &str, ttl: Span) -> LaneEntry {
    LaneEntry { host: host.into(), ..lane_entry("read", Kind::Read, "pages", ttl) }
}

fn running_fleet(seed: u64) -> (World, Fleet) {
    let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
    move_to(&mut w, &f, 2, HOST);
    w.rules.ttl.insert("read".into(), LIFE);
    (w, f)
}

fn move_to(w: &mut World, f: &Fleet, ver: u64, host: &str) {
    edited(w, f.edges[1], vec![lane_edit("read", ver, route(host, LIFE))]);
}

/// Every edge is asked for every page; how many got that host's page.
fn read_all(w: &mut World, f: &Fleet, host: &str) -> usize {
    let paths = ["one", "two", "three"];
    let ask = |w: &mut World, g: Addr| paths.map(|p| page(w, g, host, p));
    let all: Vec<Token> = f.edges.iter().flat_map(|g| ask(w, *g)).collect();
    w.run(Span::secs(1));
    all.iter().filter(|t| host_of(w, **t).as_deref() == Some(host)).count()
}

#[test]
fn given_a_route_that_went_and_came_back_for_another_host_then_its_callers_get_that_hosts_pages() {
    for seed in 5500..5504 {
        let (mut w, f) = running_fleet(seed);
        let all = 3 * f.edges.len();
        assert_eq!(read_all(&mut w, &f, HOST), all, "seed {seed}");
        edited(&mut w, f.edges[0], vec![edit(Section::Lanes, "read", 3, None)]);
        w.run(Span::secs(1));
        move_to(&mut w, &f, 5, OTHER);
        assert_eq!(read_all(&mut w, &f, OTHER), all, "seed {seed}");
        clean(&mut w);
    }
}

#[test]
fn given_a_route_that_moves_to_and_fro_under_load_then_nobody_gets_another_hosts_page() {
    for seed in 5510..5516 {
        let (mut w, f) = running_fleet(seed);
        for (i, ver) in (3..9).enumerate() {
            let edges = f.edges.clone();
            for n in 0..60 {
                let edges = edges.clone();
                w.later(Span::ms(20 * n), move |w| {
                    for (g, host) in edges.iter().flat_map(|g| [(g, HOST), (g, OTHER)]) {
                        page(w, *g, host, ["one", "two", "three"][n as usize % 3]);
                    }
                });
            }
            let at = w.rng.u64(100..900);
            w.run(Span::ms(at));
            move_to(&mut w, &f, ver, [OTHER, HOST][i % 2]);
            w.run(Span::secs(1));
        }
        clean(&mut w);
    }
}

#[test]
fn given_a_fill_under_way_for_one_host_then_callers_of_the_routes_new_host_do_not_wait_for_it() {
    for seed in 5520..5524 {
        let (mut w, f) = running_fleet(seed);
        f.pages.iter().for_each(|a| w.origins.get_mut(a).unwrap().work = Span::ms(1500));
        let before: Vec<Token> = f.edges.iter().map(|g| page(&mut w, *g, HOST, "slow")).collect();
        w.run(Span::ms(300));
        move_to(&mut w, &f, 3, OTHER);
        let after: Vec<Token> = f.edges.iter().map(|g| page(&mut w, *g, OTHER, "slow")).collect();
        w.run(Span::secs(4));
        assert!(before.iter().all(|t| host_of(&w, *t).is_none_or(|h| h == HOST)), "seed {seed}");
        assert!(after.iter().all(|t| host_of(&w, *t).as_deref() == Some(OTHER)), "seed {seed}");
        clean(&mut w);
    }
}

#[test]
fn given_a_page_purged_while_its_route_was_elsewhere_then_no_older_copy_of_it_is_served() {
    for seed in 5530..5534 {
        let (mut w, f) = running_fleet(seed);
        read_all(&mut w, &f, HOST);
        move_to(&mut w, &f, 3, OTHER);
        read_all(&mut w, &f, OTHER);
        w.revise("pages");
        for path in ["one", "two", "three"] {
            purged(&mut w, f.edges[0], PurgeBy::Page(HOST.into(), format!("/read/{path}")));
        }
        w.run(Span::secs(2));
        move_to(&mut w, &f, 4, HOST);
        for g in f.edges.clone() {
            let t = page(&mut w, g, HOST, "one");
            w.run(Span::secs(1));
            assert_eq!(edition(&w, t).map(|e| e.0), Some(2), "seed {seed}, {g}");
        }
        clean(&mut w);
    }
}

#[test]
fn given_a_route_whose_copies_live_shorter_from_now_on_then_older_copies_are_not_served() {
    let (mut w, f) = running_fleet(5540);
    read_all(&mut w, &f, HOST);
    w.run(Span::secs(3));
    edited(&mut w, f.edges[1], vec![lane_edit("read", 3, route(HOST, Span::secs(1)))]);
    w.rules.ttl.insert("read".into(), Span::secs(1));
    assert_eq!(read_all(&mut w, &f, HOST), 3 * f.edges.len());
    clean(&mut w);
}
