//! The storm over ledgers: replaced, wiped, killed, cut off and frozen in any mixture, while
//! half the answers are lost and keys are asked again (`LANEWING_SEED`, `LANEWING_SEEDS`).
mod common;
#[path = "common/ledgers.rs"]
mod ledgers;
use common::*;
use control_state::{Role, Roll};
use ledgers::*;
use primitives::{Addr, Span};
use simulator::*;
use std::collections::BTreeMap;

const SORTS: [&str; 6] = ["replaced", "replaced in order", "disk lost", "killed", "cut off", "frozen"];
const SECS: u64 = 40;
/// In one run: some close together, so that more is lost at once than is borne.
const MISHAPS: u64 = 8;

type Counts = BTreeMap<String, u64>;

/// Any that is up.
fn some_ledger(w: &mut World) -> Option<Addr> {
    let up: Vec<Addr> = w.of(Role::Ledger).into_iter().filter(|a| w.ledger(*a).is_some()).collect();
    let all = up.len();
    (all > 0).then(|| up[w.rng.usize(0..all)])
}

/// Brings it about now; what it does to a place lasts a while.
fn mishap(w: &mut World, f: &Fleet, sort: &'static str, machine: u8) {
    let Some(ledger) = some_ledger(w) else { return };
    let long = Span::ms(w.rng.u64(300..6000));
    let zone = w.plan.zones[w.rng.usize(0..3)];
    match sort {
        "replaced" => replace(w, f, ledger, machine, zone),
        "replaced in order" => replace_in_order(w, f, ledger, machine, zone),
        "disk lost" => wipe_disk(w, ledger),
        "killed" => {
            w.kill(ledger);
            w.later(long, move |w| w.start(ledger));
        }
        "cut off" => {
            w.isolate(&[ledger]);
            w.later(long, |w| w.heal());
        }
        _ => {
            w.freeze(ledger);
            w.later(long, move |w| w.thaw(ledger));
        }
    }
}

fn storm(seed: u64, losses: usize, counts: &mut Counts) {
    let plan = match (losses, seed % 2) {
        (1, 0) => Plan::open(),
        (1, _) => Plan { ledgers: 4, ..Plan::trinacria() },
        _ => Plan { losses, ledgers: 6, ..Plan::trinacria() },
    };
    let plan = Plan { drop: 0.005, dup: 0.01, drift: 30, ..plan };
    let hosted = plan.open.is_some();
    let stand = if hosted { World::running_open_fleet } else { World::running_fleet };
    let (mut w, f) = stand(plan, 91_000 + seed);
    lose_answers(&mut w, &f, 0.5);
    keyed_traffic(&mut w, &f, SECS, 60);
    for n in 0..MISHAPS {
        let at = Span::ms(w.rng.u64(500..SECS * 1000 - 8000));
        let sort = SORTS[w.rng.usize(0..SORTS.len())];
        *counts.entry(format!("mishap: {sort}")).or_default() += 1;
        let f = f.clone();
        w.later(at, move |w| mishap(w, &f, sort, 30 + n as u8));
    }
    w.run(Span::secs(SECS + 10));
    w.rules.check_rates();
    assert!(w.rules.violations.is_empty(), "losses {losses}, seed {seed}: {:#?}", w.rules.violations);
    *counts.entry(format!("served, f = {losses}")).or_default() += served(&w) as u64;
    let changes = f.edges.iter().filter_map(|e| w.edge(*e)).map(|e| Roll::version(e.items()).0).max();
    *counts.entry("changes of the roll".into()).or_default() += changes.unwrap_or(0);
}

#[test]
fn given_ledgers_replaced_wiped_killed_cut_and_frozen_in_any_mixture_then_no_key_runs_twice() {
    let (from, n) = (number("LANEWING_SEED", 0), number("LANEWING_SEEDS", 4));
    let mut counts = Counts::new();
    for seed in from..from + n {
        storm(seed, 1, &mut counts);
        storm(seed, 2, &mut counts);
    }
    counts.iter().for_each(|(name, k)| println!("{k:>9} {name}"));
    let served = counts.iter().filter(|(name, _)| name.starts_with("served")).count();
    assert!(n < 4 || served == 2, "nothing was served");
}
