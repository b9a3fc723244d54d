//! Stories of machines that differ: what small ones cannot carry is left to the larger ones.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token};
use simulator::*;
use std::collections::BTreeMap;

/// Bytes a second that small and large machines' links take.
const SMALL: u64 = 1_250_000;
const LARGE: u64 = 12_500_000;
const BODY: usize = 120_000;
/// The lane's, see `lane_entry`.
const AIM: Span = Span::secs(1);

/// Machines 2, 3 and 4, one in each zone, have large links.
fn unequal() -> Plan {
    let edge = |machine: u8| addr(machine, 2);
    let large = (2..=4).map(|m| (edge(m), LARGE));
    let links: BTreeMap<Addr, u64> = [1, 5, 6].map(|m| (edge(m), SMALL)).into_iter().chain(large).collect();
    Plan { links, copies: 32 << 20, ..Plan::open() }
}

/// Every edge asks for all pages, in an order of its own, so many a second.
fn ask_everywhere(w: &mut World, f: &Fleet, pages: usize, a_second: u64) -> Vec<Token> {
    let mut tokens = vec![];
    for i in 0..pages {
        for (shift, edge) in f.edges.iter().enumerate() {
            tokens.push(w.call(*edge, "read", &format!("red-{}", (i + shift * 7) % pages)));
            w.run(Span(1_000_000 / a_second));
        }
    }
    tokens
}

/// Guards against homes of copies on machines whose links they fill.
#[test]
fn given_small_and_large_links_then_copies_come_within_the_aim_for_homes_are_on_large_ones() {
    for seed in 5200..5203 {
        let (mut w, f) = World::running_open_fleet(unequal(), seed);
        let heads = Headers::default().with("x-filler", vec![b'x'; BODY]);
        f.pages.iter().for_each(|a| w.origins.get_mut(a).unwrap().heads = heads.clone());
        let tokens = ask_everywhere(&mut w, &f, 200, 200);
        w.run(Span::secs(5));
        let mut times: Vec<Span> = tokens.iter().map(|t| took(&w, *t)).collect();
        times.sort();
        let (middle, late) = (times[times.len() / 2], times[times.len() * 95 / 100]);
        println!("seed {seed}: middle {} ms, 95 of 100 within {} ms", middle.as_ms(), late.as_ms());
        assert!(tokens.iter().all(|t| is_served(&w, *t)), "not all were served, seed {seed}");
        assert!(late < AIM, "95 of 100 took up to {} ms, seed {seed}", late.as_ms());
        clean(&mut w);
    }
}

/// Guards against parts of a ceiling that lie with edges that never use them.
#[test]
fn given_homes_on_few_machines_then_what_a_ceiling_allows_reaches_the_origins() {
    const A_SECOND: u64 = 60;
    for seed in 5210..5213 {
        let (mut w, f) = World::running_open_fleet(unequal(), seed);
        let service = service_entry(Some(A_SECOND * 1000));
        edited(&mut w, f.edges[0], vec![edit(Section::Services, "pages", 2, Some(Body::Service(service)))]);
        w.rules.ceilings.insert("pages".into(), A_SECOND as u32);
        w.run(Span::secs(2));
        let before = count(&w, "whole answers");
        for i in 0..10 * 2 * A_SECOND as usize {
            w.call(f.edges[i % f.edges.len()], "read", &format!("red-{i}"));
            w.run(Span(500_000 / A_SECOND));
        }
        let arrived = count(&w, "whole answers") - before;
        println!("seed {seed}: {arrived} requests of {}", 10 * A_SECOND);
        assert!(arrived * 100 >= 10 * A_SECOND * 85, "only {arrived} requests, seed {seed}");
        clean(&mut w);
    }
}
