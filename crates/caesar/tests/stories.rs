//! Replicas in a simulated environment with faults: conflicting commands are delivered in one order,
//! and none is lost. `LANEWING_SEEDS` and `LANEWING_SEED` set the number of seeds and the first one.
mod sim;
use caesar::*;
use primitives::Span;
use sim::*;

/// Proposes a command at a random node in each `interval`. One command in 100 touches all keys, the
/// others touch one.
fn propose_commands(sim: &mut Sim, count: u64, interval: Span, key_count: u8) {
    for id in 1..=count {
        let i = sim.rng.usize(0..sim.plan.n);
        let mut keys = vec![sim.rng.u8(0..key_count)];
        if sim.rng.u8(0..100) == 0 {
            keys = (0..key_count).collect();
        }
        let at = Span(interval.0 * id + sim.rng.u64(0..interval.0));
        sim.at(at, Event::Propose(i, Cmd { id, keys }));
    }
}

/// Schedules crashes with restarts and one-way link failures during `span`; all have ended after twice that span.
fn schedule_faults(sim: &mut Sim, span: Span) {
    let n = sim.plan.n;
    for _ in 0..sim.rng.usize(1..8) {
        let at = Span(sim.rng.u64(0..span.0));
        let until = Span(at.0 + sim.rng.u64(0..span.0 / 3));
        let (a, b) = (sim.rng.usize(0..n), sim.rng.usize(0..n));
        if sim.rng.bool() {
            sim.at(at, Event::Crash(a));
            sim.at(until, Event::Restart(a));
        } else {
            sim.at(at, Event::Cut(a, b, true));
            sim.at(until, Event::Cut(a, b, false));
        }
    }
    let end = span.times(2);
    for a in 0..n {
        sim.at(end, Event::Restart(a));
        (0..n).for_each(|b| sim.at(end, Event::Cut(a, b, false)));
    }
}

/// Runs a random scenario with faults and returns the problems found.
fn run_scenario(seed: u64, n: usize, wait_rule: bool) -> Vec<String> {
    let config = ReplicaConfig { wait_rule, ..ReplicaConfig::default() };
    let drop = (seed % 4) as f64 * 0.03;
    let plan = Plan { n, drop, duplicate: 0.05, delay: (200, 8000), config, ..Plan::default() };
    let mut sim = Sim::new(plan, seed);
    let key_count = 1 + (seed % 3) as u8 * 3;
    propose_commands(&mut sim, 60, Span::ms(5), key_count);
    schedule_faults(&mut sim, Span::ms(800));
    sim.run(Span::ms(1700));
    sim.plan.drop = 0.0;
    sim.run(Span::secs(25));
    sim.check_complete();
    for i in 0..n {
        let known = sim.nodes[i].machine.as_ref().map_or(0, |machine| machine.size()) as i64;
        let delivered = sim.nodes[i].delivered.len() as i64;
        if known < delivered {
            sim.problems.push(format!("{i} holds {known} tuples for {delivered} delivered commands"));
        }
    }
    sim.problems
}

fn seeds() -> std::ops::Range<u64> {
    let read = |name: &str, default: u64| {
        let invalid =
            |text: String| panic!("{name} should be a whole number, not {text}; the default is {default}");
        std::env::var(name).map_or(default, |text| text.parse().unwrap_or_else(|_| invalid(text)))
    };
    let (count, first) = (read("LANEWING_SEEDS", 60), read("LANEWING_SEED", 0));
    first..first + count
}

#[test]
fn given_faults_of_every_kind_when_they_end_then_there_is_one_order_and_nothing_is_lost() {
    for seed in seeds() {
        let n = [4, 4, 3, 5, 7][(seed % 5) as usize];
        let problems = run_scenario(seed, n, true);
        assert!(problems.is_empty(), "seed {seed}, {n} replicas: {problems:#?}");
    }
}

#[test]
fn given_no_wait_rule_when_commands_conflict_then_the_checker_finds_problems() {
    let found = (0..60).filter(|seed| !run_scenario(*seed, 4, false).is_empty()).count();
    println!("without the wait rule: problems with {found} of 60 seeds");
    assert!(found > 0, "the missing wait rule was not noticed");
}

#[test]
fn given_no_faults_when_commands_seldom_conflict_then_most_decisions_are_fast() {
    for (conflict_percent, min_fast_percent) in [(0, 100), (2, 95), (10, 90), (30, 75), (100, 30)] {
        let mut sim = Sim::new(Plan::default(), 7);
        for id in 1..=200 {
            let conflicts = sim.rng.u64(0..100) < conflict_percent;
            let key = if conflicts { 0 } else { sim.rng.u8(1..=255) };
            let i = sim.rng.usize(0..4);
            sim.at(Span(800 * id), Event::Propose(i, Cmd { id, keys: vec![key] }));
        }
        sim.run(Span::secs(5));
        sim.check_complete();
        assert!(sim.problems.is_empty(), "{:?}", sim.problems);
        let counters = sim.tally();
        let mut latencies: Vec<u64> = sim.latencies.values().map(|latency| latency.0).collect();
        latencies.sort();
        println!(
            "conflicts {conflict_percent}%: fast {}/{} retried {} p50 {} us p99 {} us messages/command {:.1}",
            counters.fast,
            counters.proposed,
            counters.retried,
            latencies[latencies.len() / 2],
            latencies[latencies.len() * 99 / 100],
            counters.sent as f64 / counters.proposed as f64,
        );
        assert_eq!(latencies.len(), 200);
        assert!(
            counters.fast * 100 >= counters.proposed * min_fast_percent,
            "fast {} of {}",
            counters.fast,
            counters.proposed
        );
    }
}

#[test]
fn given_one_of_four_replicas_down_then_decisions_stay_fast() {
    let mut sim = Sim::new(Plan::default(), 3);
    sim.at(Span(0), Event::Crash(3));
    for id in 1..=100 {
        sim.at(Span::ms(6 * id), Event::Propose((id % 3) as usize, Cmd { id, keys: vec![id as u8] }));
    }
    sim.run(Span::secs(3));
    let counters = sim.tally();
    assert_eq!((counters.fast, counters.slow, counters.retried), (100, 0, 0));
}

#[test]
fn given_two_of_four_replicas_down_then_nothing_is_decided_until_one_returns() {
    let mut sim = Sim::new(Plan::default(), 4);
    sim.at(Span(0), Event::Crash(2));
    sim.at(Span(0), Event::Crash(3));
    sim.at(Span::ms(10), Event::Propose(0, Cmd { id: 1, keys: vec![1] }));
    sim.run(Span::secs(5));
    assert!(sim.latencies.is_empty());
    sim.at(Span(0), Event::Restart(2));
    sim.run(Span::secs(5));
    assert_eq!(sim.latencies.len(), 1);
    assert!(sim.problems.is_empty());
}

/// A decision that needs a Retry takes four delays, as the printed percentiles show.
#[test]
fn given_equal_message_delays_then_a_fast_decision_takes_two_of_them() {
    let plan = Plan { delay: (1000, 1000), sync: (0, 0), ..Plan::default() };
    let mut sim = Sim::new(plan, 5);
    sim.at(Span::ms(50), Event::Propose(0, Cmd { id: 1, keys: vec![1] }));
    sim.run(Span::ms(200));
    assert_eq!(sim.latencies[&1], Span(2000));
    for (conflict_percent, seed) in [(0, 1), (10, 2), (30, 3), (100, 4)] {
        let mut sim = Sim::new(plan, seed);
        for id in 1..=400 {
            let conflicts = sim.rng.u64(0..100) < conflict_percent;
            let key = if conflicts { 0 } else { sim.rng.u8(1..=255) };
            let i = sim.rng.usize(0..4);
            sim.at(Span(700 * id), Event::Propose(i, Cmd { id, keys: vec![key] }));
        }
        sim.run(Span::secs(5));
        let counters = sim.tally();
        // In tenths of the delay of a message.
        let mut latencies: Vec<u64> = sim.latencies.values().map(|latency| latency.0 / 100).collect();
        latencies.sort();
        let percentile = |p: usize| latencies[(latencies.len() - 1) * p / 100] as f64 / 10.0;
        println!(
            "conflicts {conflict_percent}%: fast {} of {}, message delays p50 {} p90 {} p99 {}",
            counters.fast,
            counters.proposed,
            percentile(50),
            percentile(90),
            percentile(99),
        );
        assert!(latencies[0] == 20 && sim.problems.is_empty());
    }
}
