//! Stories of reads that are made for one caller alone, while their first attempt goes wrong.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token};
use simulator::*;

fn each_page(w: &mut World, f: &Fleet, change: impl Fn(&mut StandInOrigin)) {
    f.pages.iter().for_each(|a| change(w.origins.get_mut(a).expect("an origin of the fleet")));
}

fn fleet(plan: Plan, seed: u64) -> (World, Fleet) {
    let (mut w, f) = World::running_open_fleet(plan, seed);
    let entry = lane_entry("read", Kind::Read, "pages", Span::secs(5));
    edited(&mut w, f.edges[1], vec![lane_edit("read", 2, entry)]);
    w.rules.ttl.insert("read".into(), Span::secs(5));
    // First attempts enough that there may be an extra one.
    let warm = f.edges.iter().flat_map(|g| (0..12).map(move |i| (*g, i)));
    warm.for_each(|(g, i)| {
        w.call(g, "read", &format!("warm-{i}-{g}"));
    });
    w.run(Span::secs(1));
    each_page(&mut w, &f, |origin| (origin.selective, origin.work) = (true, Span::ms(100)));
    (w, f)
}

fn read(w: &mut World, edge: Addr, fields: &[(&str, &str)]) -> Token {
    let plain = hosted("GET", "read", "red-1", None);
    let heads = fields.iter().fold(plain.heads.clone(), |heads, (name, value)| heads.with(name, *value));
    w.ask(edge, Want::Request(CallerRequest { heads, ..plain }))
}

fn answer(w: &World, token: Token) -> &Whole {
    match step(w, token) {
        Some(Step::Serve(answer, ..)) => answer,
        other => panic!("not served: {other:?}"),
    }
}

/// Whether the answer was made for the request of this attempt.
fn is_own(w: &World, token: Token) -> bool {
    answer(w, token).heads.get(MADE_FOR) == Some(token.0.to_string().as_str())
}

/// What happens to the first attempt of the first reader.
#[derive(Copy, Clone, Debug)]
enum Disruption {
    AnswerLost,
    ServerError,
    Purge,
}
const DISRUPTIONS: [Disruption; 3] = [Disruption::AnswerLost, Disruption::ServerError, Disruption::Purge];

fn disrupt(w: &mut World, f: &Fleet, disruption: Disruption) {
    match disruption {
        Disruption::AnswerLost => each_page(w, f, |origin| origin.lose = 1.0),
        Disruption::ServerError => each_page(w, f, |origin| origin.fails = true),
        Disruption::Purge => {
            w.purge_by(f.edges[4], PurgeBy::Page(HOST.into(), "/read/red-1".into()));
        }
    }
    // Origins lose an answer from its request's arrival on, and fail at the end of their work.
    let (fleet, again) = (f.clone(), f.clone());
    w.later(Span::ms(50), move |w| each_page(w, &fleet, |origin| origin.lose = 0.0));
    w.later(Span::ms(150), move |w| each_page(w, &again, |origin| origin.fails = false));
}

// Guards against a read for one caller that is entered among the shared fetches for its second
// attempt: a reader of the whole object then got the part that was made for another reader.
#[test]
fn given_a_read_with_cookie_and_range_that_is_tried_again_then_no_other_reader_gets_its_answer() {
    for plan in [Plan::open(), Plan { disk_cache: true, ..Plan::open() }] {
        for (seed, disruption) in (4610..).zip(DISRUPTIONS) {
            for other in [0, 3] {
                let (mut w, f) = fleet(plan.clone(), seed);
                let part = [("cookie", "session=a"), ("range", "bytes=9-")];
                disrupt(&mut w, &f, disruption);
                let first = read(&mut w, f.edges[0], &part);
                w.run(Span::ms(160));
                let second = read(&mut w, f.edges[other], &[]);
                w.run(Span::secs(2));
                let what = format!("{disruption:?}, seed {seed}, the other at {}", f.edges[other]);
                assert_eq!(answer(&w, second).status, 200, "{what}");
                assert_eq!((answer(&w, first).status, is_own(&w, first)), (206, true), "{what}");
                clean(&mut w);
            }
        }
    }
}

// The same without a cookie: the object was private a moment ago, so its readers are served one by one.
#[test]
fn given_a_private_object_whose_reads_are_tried_again_then_each_reader_gets_its_own() {
    for (seed, disruption) in (4620..).zip(DISRUPTIONS) {
        let (mut w, f) = fleet(Plan::open(), seed);
        each_page(&mut w, &f, |o| o.heads = Headers::default().with("cache-control", "private"));
        let earlier = read(&mut w, f.edges[0], &[]);
        w.run(Span::secs(1));
        assert!(is_own(&w, earlier));
        disrupt(&mut w, &f, disruption);
        let first = read(&mut w, f.edges[0], &[]);
        w.run(Span::ms(160));
        let second = read(&mut w, f.edges[0], &[]);
        w.run(Span::secs(2));
        assert!(is_own(&w, first) && is_own(&w, second), "{disruption:?}, seed {seed}");
        clean(&mut w);
    }
}

// Guards against a 304 to a caller's own condition that is taken for the renewal of a copy.
#[test]
fn given_a_reader_with_a_cookie_that_holds_the_object_then_it_is_told_so_and_no_copy_is_touched() {
    let (mut w, f) = fleet(Plan::open(), 4630);
    let shared = read(&mut w, f.edges[0], &[]);
    w.run(Span::secs(1));
    assert_eq!(answer(&w, shared).status, 200);
    let own = read(&mut w, f.edges[0], &[("cookie", "session=a"), ("if-none-match", "\"1\"")]);
    w.run(Span::secs(1));
    assert_eq!((answer(&w, own).status, is_own(&w, own)), (304, true));
    let before = count(&w, "whole answers");
    let again = read(&mut w, f.edges[0], &[]);
    w.run(Span::secs(1));
    let from_copy = matches!(step(&w, again), Some(Step::Serve(_, AnswerSource::Copy(_), _)));
    assert!(from_copy, "the copy is gone: {:?}", step(&w, again));
    assert_eq!(count(&w, "whole answers"), before);
    clean(&mut w);
}

// Guards against a copy that is served whatever the reader's condition says, and against one that is
// made of, or served as, the answer to a request with a body.
#[test]
fn given_a_reading_with_a_condition_or_a_body_then_its_origin_answers_it_and_nobody_else_gets_that() {
    let (mut w, f) = fleet(Plan::open(), 4640);
    let with_body = |w: &mut World, path: &str| {
        let body = std::sync::Arc::new(b"a query".to_vec());
        w.ask(f.edges[0], Want::Request(CallerRequest { body, ..hosted("GET", "read", path, None) }))
    };
    let of_body = |w: &World, token| answer(w, token).heads.get(OF_BODY).unwrap_or_default().to_string();
    let query = with_body(&mut w, "red-1");
    w.run(Span::secs(1));
    let plain = read(&mut w, f.edges[0], &[]);
    w.run(Span::secs(1));
    let query_again = with_body(&mut w, "red-1");
    let condition = read(&mut w, f.edges[0], &[("if-match", "\"other\"")]);
    w.run(Span::secs(1));
    assert_eq!((of_body(&w, query), of_body(&w, plain)), ("a query".into(), String::new()));
    assert_eq!(of_body(&w, query_again), "a query");
    assert_eq!((answer(&w, condition).status, is_own(&w, condition)), (412, true));
    clean(&mut w);
}
