//! The figures that the measurement log keeps, per deployment, from a fixed set
//! of seeds. Deterministic, so versions compare in pairs. Run with --nocapture.
mod common;
use common::*;
use control_state::*;
use primitives::{Addr, Span};
use simulator::*;

fn at(v: &mut [u64], p: usize) -> f64 {
    v.sort();
    v.get(v.len() * p / 100).or(v.last()).copied().unwrap_or(0) as f64 / 1000.0
}

fn count(w: &World, n: &str) -> u64 {
    w.counts.get(n).copied().unwrap_or(0)
}

fn plans() -> [(&'static str, Plan, u64); 2] {
    let big = |p: Plan| Plan { edges: 13, ..p };
    [("trinacria", big(Plan::trinacria()), 375), ("pindah-bersatu", big(Plan::bersatu()), 750)]
}

/// Time and cost of changes, alone and racing over four rows.
#[test]
fn figures_of_changes() {
    for (name, plan, _) in plans() {
        for (label, gap) in [("one by one", 400), ("racing", 8)] {
            let (mut took, mut fast, mut all, mut msgs, mut syncs, mut n) = (vec![], 0, 0, 0, 0, 0u64);
            for seed in 0..5 {
                let (mut w, f) = World::running_fleet(plan.clone(), 100 + seed);
                let t0: Vec<_> = f.controllers.iter().map(|k| w.controller(*k).unwrap().tally()).collect();
                w.run(Span::secs(1));
                let (m0, s0, idle) = (count(&w, "messages"), count(&w, "syncs"), w.now);
                w.run(Span::secs(2));
                let quiet = (count(&w, "messages") - m0) as f64 / (w.now - idle).0 as f64;
                let (m1, s1, began) = (count(&w, "messages"), count(&w, "syncs"), w.now);
                for i in 0..40u64 {
                    let (k, r) = (f.controllers[w.rng.usize(0..4)], w.rng.u64(0..4));
                    w.later(Span::ms(gap * i), move |w| {
                        let lane = format!("l{r}");
                        w.allow(&lane, "desk", 400, Span(0));
                        let key = Key::Row(lane.as_str().into(), "desk".into());
                        let ver = w.controller(k).unwrap().state().item(&key).ver.0;
                        w.set_row(k, &format!("c{i}"), &lane, "desk", ver, row(400, Kind::Plain, Span(0)));
                    });
                }
                w.run(Span::ms(gap * 40 + 2000));
                let d = w.changes().skip(3).filter(|(_, v)| matches!(v, Verdict::Done(_)));
                took.extend(d.map(|(s, _)| (s.answered - s.asked).0));
                let span = (w.now - began).0 as f64;
                msgs += (count(&w, "messages") - m1) - (quiet * span) as u64;
                syncs += count(&w, "syncs") - s1;
                n += 40;
                let _ = s0;
                for (k, t) in f.controllers.iter().zip(&t0) {
                    let u = w.controller(*k).unwrap().tally();
                    fast += u.fast - t.fast;
                    all += u.proposed - t.proposed;
                }
                clean(&mut w);
            }
            println!(
                "{name}, {label}: in force p50 {:.1} ms p95 {:.1} ms; fast {fast} of {all}; {:.1} messages and {:.1} syncs a change",
                at(&mut took, 50), at(&mut took, 95), msgs as f64 / n as f64, syncs as f64 / n as f64,
            );
        }
    }
}

/// The deployment's own rate: answers' times and origins' hits.
#[test]
fn figures_of_requests() {
    for (name, plan, rate) in plans() {
        let (mut took, mut keyed, mut hits, mut n, mut denied) = (vec![], vec![], vec![], 0, 0);
        for seed in 0..3 {
            let (mut w, f) = World::running_fleet(plan.clone(), 200 + seed);
            traffic(&mut w, &f, 10, rate);
            w.run(Span::secs(13));
            for (s, x) in w.steps() {
                n += 1;
                denied += matches!(x, Step::Deny(..)) as u64;
                if matches!(x, Step::Serve(..)) {
                    let pay = matches!(&s.want, Want::Request(q) if q.key.is_some());
                    if pay { &mut keyed } else { &mut took }.push((s.answered - s.asked).0);
                }
            }
            hits.push(f.pages.iter().flat_map(|p| w.origins[p].hits.values()).sum::<u64>());
            clean(&mut w);
        }
        println!(
            "{name}, {rate}/s: ms p50 {:.1} p95 {:.1} p99 {:.1}; keyed p50 {:.1} p95 {:.1}; {denied} of {n} denied; page hits {hits:?} on 12 objects in 10 s of 5 s lives",
            at(&mut took, 50), at(&mut took, 95), at(&mut took, 99), at(&mut keyed, 50), at(&mut keyed, 95),
        );
        assert!(denied * 50 < n, "{denied} of {n} denied at the deployment's own rate");
    }
}

/// From an origin's death, and from a total stop, to service as before.
#[test]
fn figures_of_return() {
    for (name, plan, _) in plans() {
        let (mut over, mut back) = (vec![], vec![]);
        for seed in 0..5 {
            let (mut w, f) = World::running_fleet(plan.clone(), 300 + seed);
            traffic(&mut w, &f, 6, 200);
            w.run(Span::secs(2));
            let died = w.now;
            w.crash_origin(f.desks[0]);
            w.run(Span::secs(6));
            // A key sent again while its first round is out is in doubt by rights.
            let keyed = |s: &Exchange| matches!(&s.want, Want::Request(q) if q.key.is_some());
            let bad = |s: &Exchange, x: &Step| match x {
                Step::Serve(..) => false,
                Step::OutcomeUnknown(_) => !keyed(s),
                _ => true,
            };
            let last = w.steps().filter(|(s, x)| s.asked > died && bad(s, x));
            over.push(last.map(|(s, _)| (s.asked - died).0).max().unwrap_or(0));
            let all: Vec<Addr> = w.procs.keys().copied().collect();
            all.iter().for_each(|a| w.kill(*a));
            w.run(Span::secs(1));
            w.start_all();
            let start = w.now;
            let leased = |w: &World| {
                f.edges.iter().all(|g| w.edge(*g).is_some_and(|x| x.leased(w.procs[g].clock(w.now))))
            };
            assert!(w.until(Span::secs(15), leased));
            back.push((w.now - start).0);
            clean(&mut w);
        }
        println!(
            "{name}: last request not served after an origin's death p50 {:.0} ms, worst {:.0} ms; all edges leased after a total stop p50 {:.0} ms, worst {:.0} ms",
            at(&mut over, 50), at(&mut over, 100), at(&mut back, 50), at(&mut back, 100),
        );
    }
}

/// What one keyed request costs in messages and syncs, over the idle fleet's own.
#[test]
fn figures_of_keys() {
    for (name, plan, _) in plans() {
        let (mut w, f) = World::running_fleet(plan, 400);
        w.run(Span::secs(2));
        let cost = |w: &World| (count(w, "messages") as f64, count(w, "syncs") as f64);
        let a = cost(&w);
        w.run(Span::secs(10));
        let b = cost(&w);
        for i in 0..200u64 {
            let g = f.edges[i as usize % f.edges.len()];
            w.later(Span::ms(i * 50), move |w| {
                w.post(g, "pay", "sum", Some(&format!("key{i}")));
            });
        }
        w.run(Span::secs(10));
        let c = cost(&w);
        let of = |x: f64, y: f64, z: f64| ((z - y) - (y - x)) / 200.0;
        assert_eq!(served(&w), 200);
        println!(
            "{name}: {:.1} messages and {:.1} syncs a keyed request",
            of(a.0, b.0, c.0),
            of(a.1, b.1, c.1),
        );
        clean(&mut w);
    }
}
