//! Stories of operators who race at several nodes, in quiet and amid mishaps.
mod common;
#[path = "common/open.rs"]
mod open;
use common::{clean, number};
use control_state::*;
use open::*;
use primitives::{Addr, Span, Version};
use simulator::*;
use std::collections::BTreeMap;

const NAMES: [&str; 3] = ["x", "y", "z"];

/// Told apart by its rate: whose it is.
fn by(operator: u64, name: &str, ver: u64, drop: bool) -> Edit {
    let body = Body::Service(service_entry(Some(operator)));
    edit(Section::Services, name, ver, Some(body).filter(|_| !drop))
}

fn is_refused(r: &NodeReply, name: &str, ver: u64) -> bool {
    let number = EntryNumber { section: Section::Services, name: name.into(), ver: Version(ver) };
    *r == NodeReply::Change(Verdict::Conflict(number))
}

/// What the configuration must show of all that was asked and of what was answered as done.
fn stands(w: &mut World, f: &Fleet, issued: &[Edit], what: &str) {
    let configuration = common_configuration(w, f, what);
    let mut acked: BTreeMap<Key, u64> = BTreeMap::new();
    for (s, v) in w.changes() {
        if let (Want::Change(Change { op: Op::Edit(es), .. }), Verdict::Done(_)) = (&s.want, v) {
            for e in es {
                let was = acked.entry(e.key()).or_default();
                *was = (*was).max(e.ver.0);
            }
        }
    }
    for name in NAMES {
        let it = configuration.get(&(Section::Services, name.to_string())).cloned().unwrap_or_default();
        let key = Key::Entry(Section::Services, name.into());
        let floor = acked.get(&key).copied().unwrap_or(0);
        assert!(it.ver.0 >= floor, "{name} is at {} and {floor} was acknowledged, {what}", it.ver);
        let of = |e: &&Edit| e.key() == key && e.ver == it.ver && e.body == it.body;
        assert!(it.ver.0 == 0 || issued.iter().any(|e| of(&e)), "{name}: nobody asked for {it:?}, {what}");
    }
}

#[test]
fn given_two_operators_who_race_at_two_nodes_then_all_end_alike_and_the_higher_version_stands() {
    for seed in 2100..2106 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let mut issued = vec![];
        let nodes: Vec<Addr> = f.edges.iter().chain(&f.controllers).copied().collect();
        for round in 0..8u64 {
            for name in NAMES {
                let (a, b) = (w.rng.usize(0..10), w.rng.usize(1..10));
                // The same version, or one apart, either way round.
                let v = [(0, 0), (0, 1), (1, 0)][w.rng.usize(0..3)];
                let drop = w.rng.u64(0..5) == 0;
                let both = [(a, v.0, 1, false), ((a + b) % 10, v.1, 2, drop)];
                let mut tokens = vec![];
                for (at, more, who, drop) in both {
                    let e = by(who, name, round * 2 + 1 + more, drop);
                    issued.push(e.clone());
                    tokens.push(w.edit(nodes[at], vec![e]));
                    let apart = Span(w.rng.u64(0..1500));
                    w.run(apart);
                }
                let all = tokens.into_iter().map(|t| within(&mut w, t, Span::secs(4), "a racing edit"));
                let all: Vec<NodeReply> = all.collect();
                // Under one number exactly one of the two is taken.
                let done = all.iter().filter(|r| is_done(r)).count();
                let refused = all.iter().filter(|r| is_refused(r, name, round * 2 + 1)).count();
                let want = if v.0 == v.1 { (1, 1) } else { (2, 0) };
                assert_eq!((done, refused), want, "{all:?}, seed {seed}");
            }
        }
        stands(&mut w, &f, &issued, &format!("seed {seed}"));
        clean(&mut w);
    }
}

#[test]
fn given_kills_freezes_cuts_and_drops_amid_racing_edits_then_what_was_acknowledged_stands_everywhere() {
    let (from, n) = (number("LANEWING_SEED", 0), number("LANEWING_SEEDS", 12));
    let (mut acked, mut refused) = (0, 0);
    for seed in from..from + n {
        let plan = Plan { drop: 0.01, dup: 0.02, cut_at: 24, drift: 45, ..Plan::open() };
        let (mut w, f) = World::running_open_fleet(plan, 2200 + seed);
        let mut issued = vec![];
        let nodes: Vec<Addr> = f.edges.iter().chain(&f.controllers).copied().collect();
        for i in 0..200u64 {
            let (at, name) = (nodes[w.rng.usize(0..10)], NAMES[w.rng.usize(0..3)]);
            let (ver, drop) = (1 + i / 4 + w.rng.u64(0..4), w.rng.u64(0..6) == 0);
            let e = by(i, name, ver, drop);
            issued.push(e.clone());
            w.later(Span::ms(50 * i), move |w| {
                w.edit(at, vec![e]);
            });
            if i % 10 == 0 {
                w.later(Span::ms(50 * i), move |w| {
                    w.ask(at, if at.0.port() == 2 { Want::Read } else { Want::Table });
                });
            }
        }
        for i in 0..6 {
            let at = Span::ms(i * 1700 + w.rng.u64(0..200));
            let long = Span::ms(w.rng.u64(100..1400));
            mishap(&mut w, at, long, &[Mishap::Kill, Mishap::Kill, Mishap::Freeze, Mishap::CutOff]);
        }
        w.run(Span::secs(12));
        w.plan.drop = 0.0;
        w.run(Span::secs(4));
        stands(&mut w, &f, &issued, &format!("seed {seed}"));
        acked += common::done(&w);
        let conflict = |(_, v): &(&Exchange, &Verdict)| matches!(v, Verdict::Conflict(_));
        refused += w.changes().filter(conflict).count();
        assert!(w.rules.violations.is_empty(), "seed {seed}: {:#?}", w.rules.violations);
    }
    println!("{acked} edits taken, {refused} refused");
    let clear = (acked + refused) as u64;
    assert!(clear > n * 120, "only {clear} edits were answered clearly: the mishaps prove nothing");
    assert!(refused as u64 > n * 20, "only {refused} numbers came twice: the races prove nothing");
}
