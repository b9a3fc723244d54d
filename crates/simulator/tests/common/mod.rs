//! Shared by all tests: traffic, and checks of the outcome.
#![allow(dead_code)]
use control_state::*;
use primitives::Span;
use simulator::*;

/// A number from an environment variable, `or` if it is unset. Panics if it is not a number, since
/// the run would then test something else.
pub fn number(name: &str, or: u64) -> u64 {
    std::env::var(name).map_or(or, |s| {
        s.parse()
            .unwrap_or_else(|_| panic!("{name} should be a whole number, not {s}; it is {or} if left out"))
    })
}

/// Schedules a steady mix of `rate` requests per second at random edges.
pub fn traffic(w: &mut World, f: &Fleet, secs: u64, rate: u64) {
    let salt = w.rng.u64(0..1 << 30);
    for i in 0..secs * rate {
        let edge = f.edges[w.rng.usize(0..f.edges.len())];
        let (n, obj) = (w.rng.u64(0..100), w.rng.u64(0..12));
        w.later(Span(i * 1_000_000 / rate), move |w| {
            let path = format!("o{obj}");
            match n {
                0..=66 => w.get(edge, "read", &path),
                67..=84 => w.get(edge, "ask", &path),
                85..=89 => w.post(edge, "ask", &format!("once{salt}-{i}"), None),
                _ => w.post(edge, "pay", "sum", Some(&format!("k{salt}-{}", i / 2))),
            };
        });
    }
}

/// Schedules edits of three rows by operators, who take the version from an edge, and purges.
/// Some of them race.
pub fn edits(w: &mut World, f: &Fleet, secs: u64, every: Span) {
    let n = Span::secs(secs).0 / every.0;
    for i in 0..n {
        let (k, r) = (f.controllers[w.rng.usize(0..4)], w.rng.u64(0..5));
        let edge = f.edges[0];
        w.later(Span(every.0 * i), move |w| {
            let lane = ["ask", "pay", "read"][r as usize % 3];
            let svc = if lane == "read" { "pages" } else { "desk" };
            let kind = [Kind::Plain, Kind::Keyed, Kind::Read][r as usize % 3];
            let key = Key::Row(lane.into(), svc.into());
            let ver = w.edge(edge).and_then(|g| g.items().get(&key).map(|i| i.ver.0)).unwrap_or(1);
            if r == 4 {
                w.purge(k, &format!("p{i}"), "pages", "o1");
            } else {
                let ttl = Span::secs(if lane == "read" { 5 } else { 0 });
                let ceiling = if lane == "read" { 200 } else { 400 };
                let row = Row { weight: 1 + i as u32, ..row(ceiling, kind, ttl) };
                w.set_row(k, &format!("e{i}"), lane, svc, ver, row);
            }
        });
    }
}

/// Number of requests that were served.
pub fn served(w: &World) -> usize {
    w.steps().filter(|(_, s)| matches!(s, Step::Serve(..))).count()
}

/// Of the requests sent since then: how many were served, and how many were answered.
pub fn lately(w: &World, since: primitives::Mono) -> (usize, usize) {
    let of: Vec<&Step> = w.steps().filter(|(s, _)| s.asked >= since).map(|(_, s)| s).collect();
    (of.iter().filter(|s| matches!(s, Step::Serve(..))).count(), of.len())
}

/// Number of changes that were confirmed.
pub fn done(w: &World) -> usize {
    w.changes().filter(|(_, v)| matches!(v, Verdict::Done(_))).count()
}

/// Asserts that no rule was violated.
pub fn clean(w: &mut World) {
    w.rules.check_rates();
    assert!(w.rules.violations.is_empty(), "{:#?}", w.rules.violations);
}

/// Asserts, once failures are over, that all controllers can be read and have the same rows.
pub fn whole(w: &mut World, f: &Fleet) {
    f.controllers.iter().for_each(|k| {
        w.ask(*k, Want::Table);
    });
    w.run(Span::secs(3));
    let tables: Vec<&ControlState> = w
        .exchanges
        .iter()
        .rev()
        .filter_map(|s| match &s.receipt {
            NodeReply::Table(p, _) => Some(&**p),
            _ => None,
        })
        .take(f.controllers.len())
        .collect();
    let rows = |p: &ControlState| -> Vec<(Key, Item)> {
        p.items
            .iter()
            .filter(|(k, _)| matches!(k, Key::Row(..)))
            .map(|(k, i)| (k.clone(), i.clone()))
            .collect()
    };
    if tables.len() != f.controllers.len() {
        let replies: Vec<_> = w
            .exchanges
            .iter()
            .rev()
            .filter(|s| matches!(s.want, Want::Table))
            .map(|s| (s.at, &s.receipt))
            .collect();
        let known = |k: &primitives::Addr| {
            w.controller(*k).map(|x| (x.state().era, x.member_id(), x.known(), x.tally()))
        };
        let state: Vec<_> = f.controllers.iter().map(|k| (k, known(k))).collect();
        panic!("not all controllers can be read: {replies:?}; {state:#?}");
    }
    assert!(tables.iter().all(|t| rows(t) == rows(tables[0])), "controllers differ");
}

/// Origins of `desk` run what they receive, but this share of their answers is lost.
pub fn lose_answers(w: &mut World, f: &Fleet, share: f64) {
    f.desks.iter().for_each(|a| w.origins.get_mut(a).unwrap().lose = share);
}

/// Sends a keyed request whose path is its key.
pub fn pay(w: &mut World, edge: primitives::Addr, key: &str) {
    w.post(edge, "pay", key, Some(key));
}

/// How often origins ran the request of this path.
pub fn runs(w: &World, key: &str) -> u64 {
    w.origins.values().filter_map(|b| b.hits.get(key)).sum()
}

/// Kills a process and erases its disk.
pub fn lose_disk(w: &mut World, a: primitives::Addr) {
    w.kill(a);
    w.wipe(a);
}

/// Whether a ledger is running and open.
pub fn open(w: &World, a: &primitives::Addr) -> bool {
    w.ledger(*a).is_some_and(|c| c.is_open())
}

/// Asserts that requests with new keys are served at every edge.
pub fn grants(w: &mut World, f: &Fleet, salt: &str) {
    lose_answers(w, f, 0.0);
    let since = w.now;
    (0..60).for_each(|i| pay(w, f.edges[i % 5], &format!("{salt}{i}")));
    w.run(Span::secs(3));
    assert_eq!(lately(w, since), (60, 60), "new keys that were served");
}
