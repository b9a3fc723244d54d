//! What one level of relays costs: one relay with so many children, fed with purges.
use crate::growth::{spread, Spread};
use crate::meter::Tally;
use crate::plan::*;
use crate::relay_level::{Level, PurgeUpdate, ORIGINS};
use crate::row::Row;
use primitives::{Mono, Span};
use std::collections::BTreeMap;

const STEP: Span = Span::ms(10);
const STEP_MS: f64 = 10.0;
const STEPS_PER_SECOND: u64 = 100;
const START: Mono = Mono(100_000_000);
/// A batch gathers for so many steps.
const GATHER_STEPS: u64 = 5;
/// A child asks for renewal every so many steps.
const WORD_STEPS: u64 = 50;
/// The controllers' news of a purge come within so many steps of one another.
const NEWS_STEPS: u64 = 8;

/// When purges came to the relay, reached the children and were acknowledged.
#[derive(Default)]
struct Times {
    came: BTreeMap<u64, u64>,
    reached_ms: Vec<f64>,
    acknowledged_ms: Vec<f64>,
    /// Reached the children and not yet acknowledged.
    open: Vec<u64>,
}

impl Times {
    fn since(&self, purge: u64, step: u64) -> f64 {
        (step - self.came[&purge]) as f64 * STEP_MS
    }

    fn reached(&mut self, purges: Vec<u64>, step: u64) {
        let times: Vec<f64> = purges.iter().map(|purge| self.since(*purge, step)).collect();
        self.reached_ms.extend(times);
        self.open.extend(purges);
    }

    fn acknowledged(&mut self, step: u64) {
        let purges = std::mem::take(&mut self.open);
        self.acknowledged_ms.extend(purges.iter().map(|purge| self.since(*purge, step)).collect::<Vec<_>>());
    }
}

/// Runs one level in virtual time: one row for the relay and one for its children.
pub fn relays(plan: &Plan) -> Result<Vec<Row>> {
    plan.check(Plan::limit())?;
    let mut level = Level::new(plan.nodes)?;
    let mut schedule = schedule(plan);
    let mut feeds = [0u64; CONTROLLERS];
    let mut times = Times::default();
    for step in 0..plan.secs * STEPS_PER_SECOND {
        let now = START + STEP.times(step);
        for news in schedule.remove(&step).unwrap_or_default() {
            times.came.entry(news.purge).or_insert(step);
            let feed = &mut feeds[news.controller as usize];
            *feed += 1;
            level.news(&news, *feed, now);
        }
        if step % GATHER_STEPS == GATHER_STEPS - 1 {
            times.reached(level.batch(now), step);
        }
        let children = 0..plan.nodes;
        let asking = children.filter(|child| step % WORD_STEPS == *child as u64 % WORD_STEPS);
        asking.for_each(|child| level.word(now, child, true));
        if level.acknowledge(now) {
            times.acknowledged(step);
        }
    }
    let relay = row(plan, "relay", &level.relay_tally, 1, &times);
    let children = row(plan, "child", &level.children_tally, plan.nodes, &times);
    Ok(vec![relay, children])
}

/// When each controller's news of each purge comes, by steps.
fn schedule(plan: &Plan) -> BTreeMap<u64, Vec<PurgeUpdate>> {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let mut schedule: BTreeMap<u64, Vec<PurgeUpdate>> = BTreeMap::new();
    let purges = plan.purges * plan.secs;
    for purge in 0..purges {
        let first = purge * plan.secs * STEPS_PER_SECOND / purges.max(1);
        for controller in 0..CONTROLLERS as u16 {
            let step = first + rng.u64(0..NEWS_STEPS);
            schedule.entry(step).or_default().push(PurgeUpdate { controller, purge });
        }
    }
    schedule
}

fn row(plan: &Plan, role: &str, tally: &Tally, processes: usize, times: &Times) -> Row {
    let process_seconds = (plan.secs * processes as u64) as f64;
    let each = |total: u64| total as f64 / process_seconds;
    let last: Spread = spread(&times.reached_ms).unwrap_or_default();
    let force: Spread = spread(&times.acknowledged_ms).unwrap_or_default();
    let asked = (plan.purges * plan.secs) as usize;
    let cpu_us = tally.cpu as f64 / 1000.0 / process_seconds;
    Row {
        phase: "one level of relays".into(),
        role: role.into(),
        seed: plan.seed,
        secs: plan.secs,
        nodes: plan.nodes,
        whole: processes,
        origins: ORIGINS,
        msgs_in: each(tally.msgs_in),
        msgs_out: each(tally.msgs_out),
        bytes_in: each(tally.bytes_in),
        bytes_out: each(tally.bytes_out),
        cpu_us,
        cpu_us_most: cpu_us,
        asked,
        missing: asked.saturating_sub(times.reached_ms.len()),
        last_ms: last.1,
        last_ms_most: last.2,
        force_ms: force.1,
        force_ms_most: force.2,
        ..Row::default()
    }
}
