//! Explores every order of message deliveries up to a depth and, from each state reached, several
//! outages of leaders. `LANEWING_DEEPER` is added to the depths.
mod cluster;
use caesar::*;
use cluster::Cluster;
use primitives::Span;
use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

fn deeper(by: usize) -> usize {
    let parse = |text: String| {
        text.parse::<usize>()
            .unwrap_or_else(|_| panic!("LANEWING_DEEPER should be a whole number, not {text}"))
    };
    by + std::env::var("LANEWING_DEEPER").map_or(0, parse)
}

/// Equal for clusters in the same state, whatever the order of the messages in transit.
fn state_hash(cluster: &Cluster) -> u64 {
    let mut messages: Vec<u64> = cluster.in_transit.iter().map(primitives::hash).collect();
    messages.sort();
    let replicas: Vec<u64> = cluster.replicas.iter().map(|replica| replica.state_hash()).collect();
    primitives::hash(&(replicas, messages, &cluster.delivered))
}

/// All states that `depth` deliveries or fewer lead to.
fn reachable_states(start: Cluster, depth: usize) -> Vec<Cluster> {
    let mut seen = HashSet::from([state_hash(&start)]);
    let (mut all, mut frontier) = (vec![start.clone()], vec![start]);
    for _ in 0..depth {
        let mut next_frontier = vec![];
        for state in &frontier {
            for i in 0..state.in_transit.len() {
                let mut next = state.clone();
                let (from, to, message) = next.in_transit.remove(i);
                next.with_replica(to, |machine, now, out| {
                    machine.take(now, MemberId(from as u16), message, out)
                });
                if seen.insert(state_hash(&next)) {
                    next_frontier.push(next);
                }
            }
        }
        all.extend(next_frontier.iter().cloned());
        frontier = next_frontier;
    }
    all
}

/// Whether the order of each replica is a prefix of the longest one.
fn orders_agree(cluster: &Cluster) -> bool {
    // A no-op (id 0) conflicts with nothing, so its place may differ.
    let without_noops = |ids: &Vec<u64>| ids.iter().copied().filter(|id| *id != 0).collect::<Vec<_>>();
    let orders: Vec<Vec<u64>> = cluster.delivered.iter().map(without_noops).collect();
    let longest = orders.iter().max_by_key(|order| order.len()).expect("there are replicas");
    orders.iter().all(|order| longest.starts_with(order))
}

/// Whether the cluster keeps one order and delivers everything although the replicas `absent` are
/// unreachable for a while. Their messages in transit are lost or, if `late`, still arrive.
fn survives_outage(state: &Cluster, absent: &[usize], late: bool, commands: usize) -> bool {
    let mut cluster = state.clone();
    let others: Vec<usize> = (0..4).filter(|i| !absent.contains(i)).collect();
    cluster.in_transit.retain(|(from, to, _)| !absent.contains(to) && (late || !absent.contains(from)));
    cluster.deliver_where(|_| true);
    cluster.in_transit.clear();
    cluster.run(&others, Span::secs(14), Span::ms(200));
    let during_outage = orders_agree(&cluster)
        && (others.len() < 3
            || others.iter().all(|i| cluster.delivered[*i].len() >= cluster.delivered[others[0]].len()));
    cluster.run(&[0, 1, 2, 3], Span::secs(16), Span::ms(200));
    // In the end every replica has every command: the changed wait rule causes no deadlock.
    during_outage && orders_agree(&cluster) && cluster.delivered.iter().all(|ids| ids.len() == commands)
}

/// Absent replicas, and whether their messages in transit still arrive.
const OUTAGES: [(&[usize], bool); 7] =
    [(&[], true), (&[3], false), (&[3], true), (&[1], false), (&[1], true), (&[1, 3], false), (&[0], false)];

/// Number of states reached, and of endings in which orders differed or commands were missing.
fn explore(start: Cluster, depth: usize, commands: usize) -> (usize, usize) {
    let states = reachable_states(start, depth);
    let (failures, next) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| loop {
                let Some(state) = states.get(next.fetch_add(1, Ordering::Relaxed)) else { return };
                let failed = OUTAGES
                    .iter()
                    .filter(|(absent, late)| !survives_outage(state, absent, *late, commands))
                    .count();
                failures.fetch_add(failed + !orders_agree(state) as usize, Ordering::Relaxed);
            });
        }
    });
    (states.len(), failures.into_inner())
}

fn with_proposals(config: ReplicaConfig, leaders: &[usize]) -> Cluster {
    let mut cluster = Cluster::new(config);
    leaders.iter().enumerate().for_each(|(n, i)| cluster.propose(*i, n as u64 + 1));
    cluster
}

/// Replica 3 proposes command 3 below the timestamp of a Retry that only one replica has received.
fn with_proposal_below_retry(config: ReplicaConfig) -> Cluster {
    let mut cluster = Cluster::with_retry_at_one_replica(config);
    cluster.propose(3, 3);
    cluster
}

#[test]
fn given_conflicting_commands_in_every_order_of_messages_when_leaders_vanish_then_one_order_and_no_deadlock()
{
    let config = ReplicaConfig::default();
    for (name, start, depth, commands) in [
        ("two commands", with_proposals(config, &[1, 3]), deeper(8), 2),
        ("three commands", with_proposals(config, &[0, 1, 3]), deeper(5), 3),
        ("a rejection beside a decision", with_proposal_below_retry(config), deeper(8), 3),
    ] {
        let (states, failures) = explore(start, depth, commands);
        println!(
            "{name}: {states} states within {depth} deliveries, {} endings, {failures} failures",
            states * OUTAGES.len()
        );
        assert_eq!(failures, 0, "{name}");
        assert!(states > 1000, "{name}: only {states} states were reached");
    }
}

#[test]
fn given_the_papers_unmodified_recovery_then_the_same_search_finds_two_orders() {
    let config = ReplicaConfig { unmodified_recovery: true, ..ReplicaConfig::default() };
    let (states, failures) = explore(with_proposal_below_retry(config), 8, 3);
    println!("unmodified recovery: {states} states, {failures} failures");
    assert!(failures > 0, "no failure was found");
}
