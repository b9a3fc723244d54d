//! Shared by tests in which ledgers are lost and replaced.
#![allow(dead_code)]
use control_state::*;
use primitives::{Addr, Mono, NodeId, Span};
use simulator::*;

/// Schedules keyed requests at random edges; within a second each key is requested three times.
pub fn keyed_traffic(w: &mut World, f: &Fleet, secs: u64, rate: u64) {
    let salt = w.now.0;
    let hosted = w.plan.open.is_some();
    for i in 0..secs * rate {
        let edge = f.edges[w.rng.usize(0..f.edges.len())];
        let key = format!("k{salt}-{}", (i / rate * rate + i % (rate / 3)));
        w.later(Span(i * 1_000_000 / rate), move |w| {
            if hosted {
                w.charge(edge, "sum", &key);
            } else {
                w.post(edge, "pay", "sum", Some(&key));
            }
        });
    }
}

/// Share of the answered keyed requests sent in `from..to` that were served.
pub fn keyed_share(w: &World, from: Mono, to: Mono) -> f64 {
    let keyed = |s: &Exchange| matches!(&s.want, Want::Request(q) if q.key.is_some());
    let all: Vec<&Step> =
        w.steps().filter(|(s, _)| keyed(s) && s.asked >= from && s.asked < to).map(|(_, x)| x).collect();
    let served = all.iter().filter(|x| matches!(x, Step::Serve(..))).count();
    served as f64 / all.len().max(1) as f64
}

/// The members of each ledger set.
pub fn sets(w: &World, f: &Fleet) -> Vec<Vec<Addr>> {
    let running = f.edges.iter().filter_map(|e| w.edge(*e)).next().expect("an edge is up");
    let of = |set: &Vec<Seat>| set.iter().map(|s| s.addr).collect();
    Roll::of(running.items()).sets.iter().map(of).collect()
}

/// Starts an empty ledger in a zone, at an address that was never used.
pub fn newcomer(w: &mut World, f: &Fleet, machine: u8, zone: &'static str) -> Addr {
    let new = addr(machine, 3);
    w.add_ledger(200 + machine as u16, new, zone, &f.controllers[1..]);
    w.start(new);
    new
}

/// Removes a ledger as an operator does; an open deployment needs no such step.
pub fn remove(w: &mut World, f: &Fleet, ledger: Addr) {
    if w.plan.open.is_some() {
        return;
    }
    let edge = f.edges.iter().filter_map(|e| w.edge(*e)).next().expect("an edge is up");
    let named = |(k, it): (&Key, &Item)| match (k, &it.body) {
        (Key::Node(id), Some(Body::Node(n))) if n.addr == ledger => Some(*id),
        _ => None,
    };
    let id: Option<NodeId> = edge.items().iter().find_map(named);
    let Some(id) = id else { return };
    let change =
        Change { id: Some(format!("rm{}-{}", id.0, w.now.0).as_str().into()), op: Op::RemoveNode(id) };
    w.ask(f.controllers[1], Want::Change(change));
}

/// Loses a ledger for good, and starts an empty one in its place after a second.
pub fn replace(w: &mut World, f: &Fleet, old: Addr, machine: u8, zone: &'static str) {
    w.kill(old);
    w.wipe(old);
    remove(w, f, old);
    let f = f.clone();
    w.later(Span::secs(1), move |w| {
        newcomer(w, &f, machine, zone);
    });
}

/// Orderly replacement by an operator: starts the successor, then stops the old ledger.
pub fn replace_in_order(w: &mut World, f: &Fleet, old: Addr, machine: u8, zone: &'static str) {
    newcomer(w, f, machine, zone);
    let f = f.clone();
    w.later(Span::secs(1), move |w| {
        w.stop(old);
        remove(w, &f, old);
    });
}

/// Loses the disk of a ledger, which restarts empty after 300 ms.
pub fn wipe_disk(w: &mut World, ledger: Addr) {
    w.kill(ledger);
    w.wipe(ledger);
    w.later(Span::ms(300), move |w| w.start(ledger));
}
