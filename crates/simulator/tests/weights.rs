//! Stories of a route that is parted between services: each gets the share of its weight.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Span, Token};
use simulator::*;

const REQUESTS: usize = 240;
/// How far from its weight a service's share may lie.
const OFF: f64 = 0.1;

fn parted(kind: Kind, ver: u64, desk: u64, pages: u64) -> Edit {
    let weights = vec![("desk".into(), desk), ("pages".into(), pages)];
    lane_edit("parted", ver, LaneEntry { weights, ..lane_entry("parted", kind, "desk", Span(0)) })
}

/// Whose answers they were, by the first word of their bodies.
fn answered_by(w: &World, tokens: &[Token], service: &str) -> usize {
    let body = |t: &Token| match step(w, *t) {
        Some(Step::Serve(whole, ..)) => String::from_utf8_lossy(&whole.body).to_string(),
        other => panic!("not served: {other:?}"),
    };
    tokens.iter().filter(|t| body(t).starts_with(&format!("{service}|"))).count()
}

/// The part of the requests that `desk` answered; each asks for another page.
fn share_of_desk(w: &mut World, f: &Fleet, kind: Kind, tag: &str) -> f64 {
    let mut tokens = vec![];
    for n in 0..REQUESTS {
        let edge = f.edges[n % f.edges.len()];
        let page = format!("{tag}{n}");
        let request = match kind {
            Kind::Keyed => hosted("POST", "parted", &page, Some(&page)),
            _ => hosted("GET", "parted", &page, None),
        };
        tokens.push(w.ask(edge, Want::Request(request)));
        w.run(Span::ms(8));
    }
    w.run(Span::secs(2));
    let (desk, pages) = (answered_by(w, &tokens, "desk"), answered_by(w, &tokens, "pages"));
    assert_eq!(desk + pages, REQUESTS);
    desk as f64 / REQUESTS as f64
}

#[test]
fn given_a_route_parted_by_weight_then_each_service_gets_its_share_and_a_change_moves_it() {
    for (seed, kind) in [(4900, Kind::Plain), (4901, Kind::Read), (4902, Kind::Keyed)] {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        w.allow("parted", "desk", u32::MAX, Span(0));
        w.allow("parted", "pages", u32::MAX, Span(0));
        for (ver, desk) in [(1, 700), (2, 300), (3, 900)] {
            edited(&mut w, f.edges[0], vec![parted(kind, ver, desk, 1000 - desk)]);
            let share = share_of_desk(&mut w, &f, kind, &format!("v{ver}-"));
            let due = desk as f64 / 1000.0;
            assert!((share - due).abs() <= OFF, "{kind:?}: {share:.2} went to a weight of {due}");
        }
        clean(&mut w);
    }
}
