//! A rehearsal: callers send their mix, a scenario causes a failure, and what callers saw is
//! checked against what origins counted.
use crate::error::*;
use crate::fleet::Fleet;
use crate::scenarios::{self, Scenario};
use control_state::{Kind, Role};
use primitives::Addr;
use snafu::ensure;
use stand_ins::audit::{self, OriginTally};
use stand_ins::load_client::{self, LoadClientEnv, LoadReport, Purged};
use stand_ins::mix::Mix;
use std::collections::BTreeMap;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The fleet must serve again in the last seconds of a run.
const LAST_SECONDS: u64 = 5;
/// Percentage of good answers for lanes beside abusive callers.
const BESIDE_PERCENT: u64 = 99;
/// How often an abusive caller asks again at once.
const ABUSIVE_REPEATS: u64 = 3;

/// What a scenario may use while callers send their mix.
pub struct Rehearsal {
    /// What origins had counted before they were ended.
    retained: BTreeMap<Addr, Vec<OriginTally>>,
    began: Instant,
    /// Purges that callers must know of.
    pub purged: Purged,
}

impl Rehearsal {
    /// Prints a line with the time since the start.
    pub fn note(&self, line: impl Into<String>) {
        println!("{:5.1} s  {}", self.began.elapsed().as_secs_f64(), line.into());
    }

    /// Waits so many milliseconds.
    pub fn pause(&self, ms: u64) {
        thread::sleep(Duration::from_millis(ms));
    }

    /// Keeps what an origin has counted; to be called before it is ended.
    pub fn retain_tally(&mut self, fleet: &Fleet, at: Addr) {
        let origins = fleet.mix.origins.iter().filter(|origin| origin.at == at).cloned().collect();
        let tallies = audit::collect(&Mix { origins, ..fleet.mix.clone() });
        self.retained.entry(at).or_default().extend(tallies);
    }
}

/// Runs a scenario on a fresh fleet. A rate of 0 stands for the settings' own.
pub fn run(mut fleet: Fleet, name: &str, rate: u64) -> Result<()> {
    let scenario = scenarios::find(name)?;
    // Disks of an earlier run would add its recovery to this one.
    fleet.wipe_all()?;
    fleet.start_all()?;
    let rate = if rate == 0 { fleet.mix.rate } else { rate };
    let env = load_client_env(&fleet, scenario, rate);
    let (retained, began, purged) = (BTreeMap::new(), Instant::now(), env.purged.clone());
    let mut rehearsal = Rehearsal { retained, began, purged };
    let abusers = (scenario.flood > 0).then(|| start_abusers(&env, scenario.flood));
    let callers = thread::spawn(move || load_client::run(env));
    let outcome = (scenario.act)(&mut fleet, &mut rehearsal);
    let report = callers.join().unwrap_or_default();
    let abuse = abusers.map(|abusers| abusers.join().unwrap_or_default());
    outcome?;
    fleet.check_all_alive()?;
    let mut tallies = audit::collect(&fleet.mix);
    tallies.extend(rehearsal.retained.into_values().flatten());
    print!("{}", audit::summary(&fleet.mix, &tallies, &report, rate));
    println!("whole answers by second: {}", good_by_second(&report));
    let mut all = audit::violations(&fleet.mix, &tallies, &report);
    all.extend(too_few_served(&report, scenario, rate));
    all.extend(abuse.into_iter().flat_map(|abuse| beside_abusers(&fleet, &report, &abuse)));
    all.extend(scenario.lossless.then(|| lost(&report)).flatten());
    all.iter().for_each(|violation| println!("VIOLATION {violation}"));
    fleet.stop_all()?;
    ensure!(all.is_empty(), ViolationsSnafu { all });
    println!("{name}: no violation");
    Ok(())
}

fn load_client_env(fleet: &Fleet, scenario: &Scenario, rate: u64) -> LoadClientEnv {
    LoadClientEnv {
        edges: fleet.nodes(Role::Edge).iter().map(|place| place.http).collect(),
        mix: fleet.mix.clone(),
        rate,
        span: Duration::from_secs(scenario.secs),
        seed: 1,
        pushy: scenario.pushy,
        follow: scenario.lossless,
        purged: Purged::default(),
    }
}

/// Callers far above one service's ceiling, who ask again whatever they are told.
fn start_abusers(env: &LoadClientEnv, times: u64) -> JoinHandle<LoadReport> {
    let plain = env.mix.shares.iter().filter(|share| share.kind == Kind::Plain).cloned().collect();
    let mix = Mix { shares: plain, ..env.mix.clone() };
    let rate = env.rate * times;
    let env = LoadClientEnv { mix, rate, seed: 2, pushy: ABUSIVE_REPEATS, ..env.clone() };
    thread::spawn(move || load_client::run(env))
}

/// How many outcomes of a lane (of all, without one) there were: good ones, and all.
fn outcomes(report: &LoadReport, lane: Option<&str>) -> (u64, u64) {
    let of_lane = |(of, _): &&(String, String)| lane.is_none_or(|lane| lane == of);
    let keys = || report.by.keys().filter(of_lane);
    let good = keys().filter(|(_, outcome)| outcome.starts_with("200"));
    (good.map(|key| report.by[key]).sum(), keys().map(|key| report.by[key]).sum())
}

/// Beside abusive callers, lanes of other services must be served as in a calm run.
fn beside_abusers(fleet: &Fleet, report: &LoadReport, abuse: &LoadReport) -> Vec<String> {
    println!("abusive callers: {} sent, {} whole", abuse.sent, outcomes(abuse, None).0);
    let pressed: Vec<String> = abuse.by.keys().flat_map(|(lane, _)| fleet.mix.services(lane)).collect();
    let mut all = abuse.wrong.clone();
    for lane in fleet.mix.shares.iter().map(|share| &share.lane) {
        let (good, asked) = outcomes(report, Some(lane));
        println!("  beside them, {lane}: {good} of {asked} whole");
        let apart = !fleet.mix.services(lane).iter().any(|svc| pressed.contains(svc));
        if apart && good * 100 < asked * BESIDE_PERCENT {
            all.push(format!(
                "{lane} of another service was served {good} of {asked} beside abusive callers"
            ));
        }
    }
    all
}

/// Callers who follow readiness must lose nothing to restarts of ours.
fn lost(report: &LoadReport) -> Option<String> {
    let unserved = report.by.iter().filter(|((_, outcome), _)| !outcome.starts_with("200 from"));
    let lost: Vec<String> =
        unserved.map(|((lane, outcome), count)| format!("{count} {lane}: {outcome}")).collect();
    (!lost.is_empty()).then(|| format!("lost to our own restarts: {}", lost.join(", ")))
}

fn good_by_second(report: &LoadReport) -> String {
    let last = report.good.keys().max().copied().unwrap_or(0);
    let count = |second| report.good.get(&second).copied().unwrap_or(0).to_string();
    (0..=last).map(count).collect::<Vec<_>>().join(" ")
}

fn too_few_served(report: &LoadReport, scenario: &Scenario, rate: u64) -> Option<String> {
    let last = scenario.secs.saturating_sub(LAST_SECONDS)..scenario.secs;
    let served: u64 = report.good.range(last).map(|(_, count)| count).sum();
    let least = LAST_SECONDS * rate * scenario.least / 100;
    let text = || format!("only {served} whole answers in the last 5 s, {least} are wanted");
    (served < least).then(text)
}
