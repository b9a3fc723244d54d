//! Stories of whose answer is whose, and of services that hang beside others.
mod common;
use common::*;
use control_state::*;
use primitives::{Addr, Span};
use simulator::*;

fn by(w: &mut World, edge: Addr, method: &str, lane: &str, path: &str, who: &str, key: Option<&str>) {
    let r = req(method, lane, path, key);
    let heads = if who.is_empty() { r.heads } else { r.heads.with("authorization", who) };
    w.ask(edge, Want::Request(CallerRequest { heads, ..r }));
}

fn say(w: &mut World, all: &[Addr], control: &str) {
    let heads = Headers::default().with("cache-control", control);
    all.iter().for_each(|a| w.origins.get_mut(a).unwrap().heads = heads.clone());
}

fn hits(w: &World, all: &[Addr]) -> u64 {
    all.iter().flat_map(|p| w.origins[p].hits.values()).sum()
}

#[test]
fn given_another_caller_with_the_same_key_and_body_then_it_does_not_get_the_recorded_answer() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 400);
    by(&mut w, f.edges[0], "POST", "pay", "sum", "Bearer a", Some("k"));
    w.run(Span::secs(1));
    for (i, who) in ["Bearer a", "Bearer b", ""].into_iter().enumerate() {
        by(&mut w, f.edges[1 + i], "POST", "pay", "sum", who, Some("k"));
    }
    w.run(Span::secs(1));
    let n = |f: fn(&Step) -> bool| w.steps().filter(|(_, s)| f(s)).count();
    assert_eq!(n(|s| matches!(s, Step::Deny(Denied::KeyReused, _))), 2);
    assert_eq!(n(|s| matches!(s, Step::Serve(_, AnswerSource::Record, _))), 1);
    clean(&mut w);
}

#[test]
fn given_callers_with_credentials_then_each_gets_its_own_answer_unless_the_origin_says_public() {
    let (mut w, f) = World::running_fleet(Plan::bersatu(), 401);
    let people = ["Bearer a", "Bearer b", "", "Bearer c"];
    for i in 0..200u64 {
        let g = f.edges[i as usize % 5];
        w.later(Span::ms(i * 10), move |w| by(w, g, "GET", "read", "page", people[i as usize % 4], None));
    }
    w.run(Span::secs(4));
    assert_eq!(served(&w), 200);
    let own = hits(&w, &f.pages);
    assert!(own >= 150, "{own} hits for 150 callers with credentials");
    clean(&mut w);
    say(&mut w, &f.pages, "public, max-age=5");
    w.run(Span::secs(8));
    let before = hits(&w, &f.pages);
    for i in 0..200u64 {
        let g = f.edges[i as usize % 5];
        w.later(Span::ms(i * 10), move |w| by(w, g, "GET", "read", "page", people[i as usize % 4], None));
    }
    w.run(Span::secs(4));
    let shared = hits(&w, &f.pages) - before;
    println!("{own} hits while personal, {shared} once public");
    assert!(shared < 30, "{shared} hits");
    clean(&mut w);
}

#[test]
fn given_answers_that_are_private_then_callers_who_waited_together_each_get_their_own() {
    for control in ["private", "no-store", "no-cache"] {
        let (mut w, f) = World::running_fleet(Plan::trinacria(), 402);
        say(&mut w, &f.pages, control);
        for i in 0..60u64 {
            let g = f.edges[i as usize % 5];
            w.later(Span::ms(i % 7), move |w| by(w, g, "GET", "read", "mine", "", None));
        }
        w.run(Span::secs(4));
        let n = hits(&w, &f.pages);
        // A fill that turned out not to be for sharing may come on top, once an edge.
        assert!((60..=66).contains(&n), "{n} hits for 60 callers, {control}");
        let bodies: std::collections::BTreeSet<String> = w
            .steps()
            .filter_map(|(_, s)| match s {
                Step::Serve(w, AnswerSource::Origin, _) => Some(String::from_utf8_lossy(&w.body).to_string()),
                _ => None,
            })
            .collect();
        assert_eq!(served(&w), 60);
        assert!(bodies.len() > 1, "all got one answer");
        clean(&mut w);
    }
}

#[test]
fn given_an_origin_that_shortens_a_lifetime_then_the_lesser_holds() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 403);
    say(&mut w, &f.pages, "max-age=1");
    w.rules.ttl.insert("read".into(), Span::secs(1));
    for i in 0..800u64 {
        let g = f.edges[i as usize % 5];
        w.later(Span::ms(i * 10), move |w| by(w, g, "GET", "read", "short", "", None));
    }
    w.run(Span::secs(10));
    let n = hits(&w, &f.pages);
    assert!((7..=14).contains(&n), "{n} hits in 8 s at a second of life");
    clean(&mut w);
}

#[test]
fn given_one_service_whose_origins_hang_then_the_others_are_served_as_before() {
    let (mut w, f) = World::running_fleet(Plan { max_requests: (60, 120), ..Plan::trinacria() }, 404);
    f.desks.iter().for_each(|a| w.origins.get_mut(a).unwrap().work = Span::secs(5));
    for i in 0..4000u64 {
        let g = f.edges[i as usize % 5];
        w.later(Span::ms(i * 2), move |w| {
            by(w, g, "GET", "ask", &format!("a{i}"), "", None);
            if i % 10 == 0 {
                by(w, g, "GET", "read", &format!("p{}", i % 30), "", None);
            }
        });
    }
    w.run(Span::secs(16));
    let of = |lane: &str| {
        let mine = |s: &&(&Exchange, &Step)| matches!(&s.0.want, Want::Request(q) if q.lane.0 == lane);
        let all: Vec<_> = w.steps().filter(|s| mine(&s)).collect();
        (all.iter().filter(|(_, s)| matches!(s, Step::Serve(..))).count(), all.len())
    };
    println!("pages {:?}, of the hanging service {:?}", of("read"), of("ask"));
    assert_eq!(of("read"), (400, 400));
    clean(&mut w);
}

/// What was fetched for one caller alone may be less than the whole.
#[test]
fn given_a_head_or_an_encoding_of_one_callers_own_then_nobody_else_gets_a_copy_of_that() {
    let (mut w, f) = World::running_fleet(Plan::trinacria(), 405);
    say(&mut w, &f.pages, "public, max-age=5");
    let g = f.edges[0];
    by(&mut w, g, "HEAD", "read", "page", "Bearer a", None);
    w.run(Span::secs(1));
    by(&mut w, g, "GET", "read", "page", "", None);
    w.run(Span::secs(1));
    let gzip = Headers::default().with("cache-control", "public, max-age=5").with("content-encoding", "gzip");
    f.pages.iter().for_each(|a| w.origins.get_mut(a).unwrap().heads = gzip.clone());
    by(&mut w, g, "GET", "read", "packed", "Bearer a", None);
    w.run(Span::secs(1));
    say(&mut w, &f.pages, "public, max-age=5");
    by(&mut w, g, "GET", "read", "packed", "", None);
    w.run(Span::secs(1));
    let plain = |s: &Step| matches!(s, Step::Serve(w, ..) if !w.heads.has("content-encoding"));
    assert_eq!((served(&w), w.steps().last().map(|(_, s)| plain(s))), (4, Some(true)));
    clean(&mut w);
}
