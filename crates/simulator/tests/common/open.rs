//! Shared by tests of an open deployment with a configuration.
#![allow(dead_code)]
use control_state::*;
use primitives::{Addr, Mono, Span, Token};
use simulator::*;
use std::collections::BTreeMap;

/// Entries by section and name, including tombstones.
pub type Configuration = BTreeMap<(Section, String), Item>;

/// The latest reply to a request.
pub fn reply_to(w: &World, t: Token) -> Option<&Exchange> {
    w.exchanges.iter().rev().find(|s| s.token == t)
}

/// Waits for the reply; asserts that it arrives within `limit`.
pub fn within(w: &mut World, t: Token, limit: Span, what: &str) -> NodeReply {
    w.until(limit, |w| reply_to(w, t).is_some());
    let s = reply_to(w, t).unwrap_or_else(|| panic!("no answer within {} ms: {what}", limit.as_ms()));
    assert!(s.answered - s.asked <= limit, "late by {:?}: {what}", s.answered - s.asked);
    s.receipt.clone()
}

/// Time until the reply; 999 s if there is none.
pub fn took(w: &World, t: Token) -> Span {
    reply_to(w, t).map_or(Span::secs(999), |s| s.answered - s.asked)
}

/// Whether the reply confirms a change.
pub fn is_done(r: &NodeReply) -> bool {
    matches!(r, NodeReply::Change(Verdict::Done(_)))
}

/// Routes of one service, each with a comment of 300 bytes, as operators write them.
pub fn many_routes(count: u64, ver: u64) -> Vec<Edit> {
    let route = |i: u64| {
        let name = format!("r{i}");
        let l = LaneEntry { said: "x".repeat(300), ..lane_entry(&name, Kind::Plain, "desk", Span(0)) };
        lane_edit(&name, ver, l)
    };
    (0..count).map(route).collect()
}

/// Sends edits, and asserts that they are confirmed within 4 s.
pub fn edited(w: &mut World, at: Addr, edits: Vec<Edit>) {
    let t = w.edit(at, edits);
    let r = within(w, t, Span::secs(4), "an edit");
    assert!(is_done(&r), "{r:?}");
}

/// Sends a purge, and asserts that it is confirmed within 4 s.
pub fn purged(w: &mut World, at: Addr, by: PurgeBy) {
    let t = w.purge_by(at, by);
    let r = within(w, t, Span::secs(4), "a purge");
    assert!(is_done(&r), "{r:?}");
}

/// The configuration entries among `items`, including tombstones.
pub fn configuration(items: &BTreeMap<Key, Item>) -> Configuration {
    let entry = |(k, it): (&Key, &Item)| match k {
        Key::Entry(s, n) => Some(((*s, n.clone()), it.clone())),
        _ => None,
    };
    items.iter().filter_map(entry).collect()
}

/// Asserts that all controllers, all edges and all reads through edges show the same configuration.
pub fn common_configuration(w: &mut World, f: &Fleet, what: &str) -> Configuration {
    let tokens: Vec<(Addr, Token)> = f.edges.iter().map(|g| (*g, w.ask(*g, Want::Read))).collect();
    w.run(Span::secs(2));
    let mut all: Vec<(Addr, Configuration)> = f
        .controllers
        .iter()
        .map(|k| (*k, configuration(&w.controller(*k).expect("is up").state().items)))
        .collect();
    all.extend(f.edges.iter().map(|g| (*g, configuration(w.edge(*g).expect("is up").items()))));
    for (g, t) in tokens {
        match reply_to(w, t).map(|s| &s.receipt) {
            Some(NodeReply::Table(p, _)) => all.push((g, configuration(&p.items))),
            r => panic!("no reading through {g}: {r:?}, {what}"),
        }
    }
    let (_, first) = all[0].clone();
    all.iter().for_each(|(a, s)| assert_eq!(*s, first, "{a} differs, {what}"));
    first
}

/// The edition that was served, and its source.
pub fn edition(w: &World, t: Token) -> Option<(u64, AnswerSource)> {
    match &reply_to(w, t)?.receipt {
        NodeReply::Step(Step::Serve(x, from, _)) => {
            let s = String::from_utf8_lossy(&x.body).to_string();
            Some((s.split('|').nth(2)?.parse().ok()?, *from))
        }
        _ => None,
    }
}

/// The reply to the request of a caller.
pub fn step(w: &World, t: Token) -> Option<&Step> {
    match &reply_to(w, t)?.receipt {
        NodeReply::Step(s) => Some(s),
        _ => None,
    }
}

/// Whether the request was served.
pub fn is_served(w: &World, t: Token) -> bool {
    matches!(step(w, t), Some(Step::Serve(..)))
}

/// The value of a counter of the run.
pub fn count(w: &World, name: &str) -> u64 {
    w.counts.get(name).copied().unwrap_or(0)
}

/// The home edge of a page: the one that fetches it from the origin for the region of `edge`.
pub fn home(w: &World, edge: Addr, path: &str) -> Addr {
    let items = w.edge(edge).expect("is up").items();
    let nodes: Vec<(u64, Node)> = items
        .iter()
        .filter_map(|(k, it)| match (k, &it.body) {
            (Key::Node(id), Some(Body::Node(n))) if n.role == Role::Edge => Some((id.0, n.clone())),
            _ => None,
        })
        .collect();
    let here = nodes.iter().find(|(_, n)| n.addr == edge).expect("has joined").1.zone.clone();
    let near: Vec<(u64, Node)> =
        nodes.into_iter().filter(|(_, n)| n.zone.region() == here.region()).collect();
    let object = Object { service: "pages".into(), site: Site(HOST.into()), path: format!("/read/{path}") };
    primitives::rank(&object, &near, |(id, _)| *id)[0].1.addr
}

/// The first `n` pages whose home edge is `edge`.
pub fn homed(w: &World, edge: Addr, tag: &str, n: usize) -> Vec<String> {
    let all = (0..500).map(|i| format!("{tag}-{i}"));
    all.filter(|p| home(w, edge, p) == edge).take(n).collect()
}

/// Cuts an edge off from all controllers, and from nothing else.
pub fn out_of_touch(w: &mut World, edge: Addr) {
    let all = w.of(Role::Controller);
    all.into_iter().for_each(|k| w.cut(edge, k));
}

/// Repeated arrivals at origins in excess of `share` times the requests, in the worst window
/// of 10 s.
pub fn most_extra(w: &World, share: f64) -> f64 {
    let mut earlier = std::collections::BTreeSet::new();
    let all: Vec<(Mono, bool)> =
        w.rules.reached.iter().map(|(t, n)| (*t, !earlier.insert(n.clone()))).collect();
    let mut worst = f64::MIN;
    for (i, (from, _)) in all.iter().enumerate() {
        let span = all[i..].iter().take_while(|(t, _)| *t - *from < Span::secs(10));
        let (n, extra) = span.fold((0, 0), |(n, x), (_, again)| (n + !*again as u64, x + *again as u64));
        worst = worst.max(extra as f64 - share * n as f64);
    }
    worst
}

/// Adds `n` routes with comments of 200 bytes, `a_call` of them per change.
pub fn routes(w: &mut World, f: &Fleet, n: usize, a_call: usize) {
    let lane = |i: usize| {
        let l =
            LaneEntry { said: format!("{i:0200}"), ..lane_entry("read", Kind::Read, "pages", Span::secs(5)) };
        lane_edit(&format!("route-{i}"), 1, LaneEntry { prefix: format!("/route-{i}/"), ..l })
    };
    for first in (0..n).step_by(a_call) {
        let call = (first..n.min(first + a_call)).map(lane).collect();
        let t = w.edit(f.edges[0], call);
        let r = within(w, t, Span::secs(20), "routes");
        assert!(is_done(&r), "{r:?}");
    }
}

/// A temporary failure of one process.
#[derive(Copy, Clone, Debug)]
pub enum Mishap {
    Kill,
    Freeze,
    CutOff,
}

/// Schedules a random one of these failures, lasting `long`, on a random process.
pub fn mishap(w: &mut World, at: Span, long: Span, kinds: &[Mishap]) {
    let all: Vec<Addr> = w.procs.keys().copied().collect();
    let who = all[w.rng.usize(0..all.len())];
    match kinds[w.rng.u8(0..kinds.len() as u8) as usize] {
        Mishap::Kill => {
            w.later(at, move |w| w.kill(who));
            w.later(at + long, move |w| w.start(who));
        }
        Mishap::Freeze => {
            w.later(at, move |w| w.freeze(who));
            w.later(at + long, move |w| w.thaw(who));
        }
        Mishap::CutOff => {
            w.later(at, move |w| w.isolate(&[who]));
            w.later(at + long, |w| w.heal());
        }
    }
}
