//! The audit from outside: what callers saw against what origins counted.
use crate::load_client::LoadReport;
use crate::mix::Mix;
use crate::web;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use tinyjson::JsonValue;

const TALLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Two runs of one key within this are one too many, in milliseconds.
const KEY_WINDOW_MS: u64 = 60_000;
/// A ceiling is checked over every five seconds, counted in tenths of a second.
const CEILING_WINDOW_S: u64 = 5;
const TENTHS_PER_SECOND: u64 = 10;
/// By how much a service may get more than its ceiling.
const CEILING_MARGIN: f64 = 1.1;

/// What one origin counted.
#[derive(Clone, Debug, Default)]
pub struct OriginTally {
    /// The service that it serves.
    pub svc: String,
    /// Requests without a key, by lane and path.
    pub hits: BTreeMap<String, u64>,
    /// Arrival times of each idempotency key, in milliseconds of wall time.
    pub keys: BTreeMap<String, Vec<u64>>,
    /// Arrivals in each tenth of a second of wall time.
    pub pace: BTreeMap<u64, u64>,
    /// Requests meant for another incarnation at its address.
    pub misdirected: u64,
}

type Fields = HashMap<String, JsonValue>;

fn whole_number(value: &JsonValue) -> u64 {
    value.get::<f64>().copied().unwrap_or(0.0) as u64
}

fn whole_numbers(value: &JsonValue) -> Vec<u64> {
    let list = value.get::<Vec<JsonValue>>();
    list.map_or(vec![], |list| list.iter().map(whole_number).collect())
}

fn number_pair(value: &JsonValue) -> Option<(u64, u64)> {
    match whole_numbers(value)[..] {
        [first, second] => Some((first, second)),
        _ => None,
    }
}

/// Reads the tally that a stub origin serves.
pub fn read_tally(value: &JsonValue) -> Option<OriginTally> {
    let fields: &Fields = value.get()?;
    let hits: &Fields = fields.get("hits")?.get()?;
    let keys: &Fields = fields.get("keys")?.get()?;
    let pace: &Vec<JsonValue> = fields.get("pace")?.get()?;
    Some(OriginTally {
        svc: fields.get("service")?.get::<String>()?.clone(),
        hits: hits.iter().map(|(object, count)| (object.clone(), whole_number(count))).collect(),
        keys: keys.iter().map(|(key, times)| (key.clone(), whole_numbers(times))).collect(),
        pace: pace.iter().filter_map(number_pair).collect(),
        misdirected: fields.get("misdirected").map_or(0, whole_number),
    })
}

/// The tallies of all origins that still answer.
pub fn collect(mix: &Mix) -> Vec<OriginTally> {
    let agent = web::agent(TALLY_TIMEOUT);
    let ask = |at| web::get(&agent, at, "lanewing/tally").and_then(|(_, value)| read_tally(&value));
    mix.origins.iter().filter_map(|origin| ask(origin.at)).collect()
}

/// What must never happen and did, one description each. A run that saw nothing at all is
/// a violation too.
pub fn violations(mix: &Mix, tallies: &[OriginTally], report: &LoadReport) -> Vec<String> {
    if tallies.is_empty() || report.sent == 0 || report.took.is_empty() {
        let (origins, sent, whole) = (tallies.len(), report.sent, report.took.len());
        return vec![format!("nothing was seen: {origins} origins, {sent} requests, {whole} whole answers")];
    }
    let wrong = report.wrong.iter().map(|wrong| format!("wrong bytes: {wrong}"));
    let misdirected = tallies.iter().filter(|tally| tally.misdirected > 0).map(|tally| {
        format!("{} requests reached {} that were meant for another life", tally.misdirected, tally.svc)
    });
    wrong.chain(misdirected).chain(repeated_keys(tallies)).chain(exceeded_ceilings(mix, tallies)).collect()
}

fn repeated_keys(tallies: &[OriginTally]) -> Vec<String> {
    let mut runs: BTreeMap<&String, Vec<u64>> = BTreeMap::new();
    for (key, times) in tallies.iter().flat_map(|tally| &tally.keys) {
        runs.entry(key).or_default().extend(times);
    }
    let repeated = |(key, mut times): (&String, Vec<u64>)| {
        times.sort();
        let twice = times.windows(2).any(|pair| pair[1] - pair[0] < KEY_WINDOW_MS);
        twice.then(|| format!("key {key} ran {} times", times.len()))
    };
    runs.into_iter().filter_map(repeated).collect()
}

fn exceeded_ceilings(mix: &Mix, tallies: &[OriginTally]) -> Vec<String> {
    let mut paces: BTreeMap<&String, BTreeMap<u64, u64>> = BTreeMap::new();
    for tally in tallies {
        let pace = paces.entry(&tally.svc).or_default();
        tally.pace.iter().for_each(|(tenth, count)| *pace.entry(*tenth).or_default() += count);
    }
    let exceeded = |(svc, pace): (&String, BTreeMap<u64, u64>)| {
        let most = mix.ceiling(svc).unwrap_or(0) as f64 * CEILING_WINDOW_S as f64 * CEILING_MARGIN;
        let worst = busiest_window(&pace);
        let text = || format!("{svc} got {worst} requests in 5 s; its ceiling and a tenth allow {most}");
        (worst as f64 > most).then(text)
    };
    paces.into_iter().filter_map(exceeded).collect()
}

/// The most arrivals within one window.
fn busiest_window(pace: &BTreeMap<u64, u64>) -> u64 {
    let length = CEILING_WINDOW_S * TENTHS_PER_SECOND;
    let arrivals = |tenth: &u64| pace.range(tenth..&(tenth + length)).map(|(_, count)| count).sum();
    pace.keys().map(arrivals).max().unwrap_or(0)
}

/// The report that a rehearsal prints.
pub fn summary(mix: &Mix, tallies: &[OriginTally], report: &LoadReport, rate: u64) -> String {
    let mut took = report.took.clone();
    took.sort();
    let [p50, p95, p99] = [50, 95, 99].map(|percent| percentile(&took, percent) as f64 / 1e3);
    let mut text =
        format!("asked {rate} requests a second; {} sent, {} of them late\n", report.sent, report.late);
    text += &format!("whole answers {}; ms p50 {p50:.1} p95 {p95:.1} p99 {p99:.1}\n", took.len());
    for ((lane, outcome), count) in &report.by {
        text += &format!("  {lane:<10} {outcome:<22} {count}\n");
    }
    let services: BTreeSet<&String> = mix.origins.iter().map(|origin| &origin.svc).collect();
    services.into_iter().for_each(|svc| text += &service_line(svc, tallies));
    text
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((sorted.len() * percent / 100).min(last)).copied().unwrap_or(0)
}

fn service_line(svc: &String, tallies: &[OriginTally]) -> String {
    let of_service: Vec<&OriginTally> = tallies.iter().filter(|tally| tally.svc == *svc).collect();
    let hits: u64 = of_service.iter().flat_map(|tally| tally.hits.values()).sum();
    let objects: BTreeSet<&String> = of_service.iter().flat_map(|tally| tally.hits.keys()).collect();
    let runs: usize = of_service.iter().flat_map(|tally| tally.keys.values()).map(Vec::len).sum();
    let each = hits as f64 / objects.len().max(1) as f64;
    let objects = objects.len();
    format!("origins of {svc}: {hits} hits on {objects} objects ({each:.2} each), {runs} keyed runs\n")
}
