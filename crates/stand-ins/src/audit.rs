//! The look from outside: what callers saw against what origins counted.
use crate::load_client::Harvest;
use crate::mix::Mix;
use crate::web;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tinyjson::JsonValue;

/// What one origin counted.
#[derive(Clone, Debug, Default)]
pub struct Count {
    pub svc: String,
    pub hits: BTreeMap<String, u64>,
    pub keys: BTreeMap<String, Vec<u64>>,
    pub pace: BTreeMap<u64, u64>,
    pub misdirected: u64,
}

type Map = HashMap<String, JsonValue>;

fn n(v: &JsonValue) -> u64 {
    v.get::<f64>().copied().unwrap_or(0.0) as u64
}

pub fn read_count(v: &JsonValue) -> Option<Count> {
    let m: &Map = v.get()?;
    let hits: &Map = m.get("hits")?.get()?;
    let keys: &Map = m.get("keys")?.get()?;
    let pace: &Vec<JsonValue> = m.get("pace")?.get()?;
    let times = |v: &JsonValue| v.get::<Vec<JsonValue>>().map_or(vec![], |l| l.iter().map(n).collect());
    let pair =
        |p: &JsonValue| p.get::<Vec<JsonValue>>().filter(|l| l.len() == 2).map(|l| (n(&l[0]), n(&l[1])));
    Some(Count {
        svc: m.get("service")?.get::<String>()?.clone(),
        hits: hits.iter().map(|(k, v)| (k.clone(), n(v))).collect(),
        keys: keys.iter().map(|(k, v)| (k.clone(), times(v))).collect(),
        pace: pace.iter().filter_map(pair).collect(),
        misdirected: m.get("misdirected").map(n).unwrap_or(0),
    })
}

/// The counts of all origins that still answer.
pub fn collect(mix: &Mix) -> Vec<Count> {
    let a = web::agent(Duration::from_secs(3));
    let ask = |at| web::get(&a, at, "lanewing/tally").and_then(|(_, v)| read_count(&v));
    mix.origins.iter().filter_map(|o| ask(o.at)).collect()
}

/// What must never be, found after all.
pub fn violations(mix: &Mix, counts: &[Count], h: &Harvest) -> Vec<String> {
    if counts.is_empty() || h.sent == 0 || h.took.is_empty() {
        let n = (counts.len(), h.sent, h.took.len());
        return vec![format!("nothing was seen: {} origins, {} requests, {} whole answers", n.0, n.1, n.2)];
    }
    let mut v: Vec<String> = h.wrong.iter().map(|w| format!("wrong bytes: {w}")).collect();
    let mut runs: BTreeMap<&String, Vec<u64>> = BTreeMap::new();
    for c in counts {
        for (k, t) in &c.keys {
            runs.entry(k).or_default().extend(t);
        }
        if c.misdirected > 0 {
            v.push(format!("{} requests reached {} that were meant for another life", c.misdirected, c.svc));
        }
    }
    for (k, mut t) in runs {
        t.sort();
        let twice = t.windows(2).any(|w| w[1] - w[0] < 60_000);
        if twice {
            v.push(format!("key {k} ran {} times", t.len()));
        }
    }
    let mut pace: BTreeMap<&String, BTreeMap<u64, u64>> = BTreeMap::new();
    for c in counts {
        for (t, n) in &c.pace {
            *pace.entry(&c.svc).or_default().entry(*t).or_default() += n;
        }
    }
    for (svc, p) in pace {
        let most = mix.ceiling(svc).unwrap_or(0) as f64 * 5.0 * 1.1;
        let worst = p.keys().map(|t| p.range(t..&(t + 50)).map(|(_, n)| n).sum::<u64>()).max().unwrap_or(0);
        if worst as f64 > most {
            v.push(format!("{svc} got {worst} requests in 5 s; its ceiling and a tenth allow {most}"));
        }
    }
    v
}

/// The report a rehearsal prints.
pub fn report(mix: &Mix, counts: &[Count], h: &Harvest, rate: u64) -> String {
    let mut took = h.took.clone();
    took.sort();
    let at =
        |p: usize| took.get((took.len() * p / 100).min(took.len().saturating_sub(1))).copied().unwrap_or(0);
    let mut s = format!("asked {} requests a second; {} sent, {} of them late\n", rate, h.sent, h.late);
    s += &format!(
        "whole answers {}; ms p50 {:.1} p95 {:.1} p99 {:.1}\n",
        took.len(),
        at(50) as f64 / 1e3,
        at(95) as f64 / 1e3,
        at(99) as f64 / 1e3
    );
    for ((lane, what), n) in &h.by {
        s += &format!("  {lane:<10} {what:<22} {n}\n");
    }
    for svc in mix.origins.iter().map(|o| &o.svc).collect::<std::collections::BTreeSet<_>>() {
        let of: Vec<&Count> = counts.iter().filter(|c| c.svc == *svc).collect();
        let hits: u64 = of.iter().flat_map(|c| c.hits.values()).sum();
        let objects: std::collections::BTreeSet<&String> = of.iter().flat_map(|c| c.hits.keys()).collect();
        let keys: u64 = of.iter().flat_map(|c| c.keys.values()).map(|t| t.len() as u64).sum();
        let per = hits as f64 / objects.len().max(1) as f64;
        s += &format!(
            "origins of {svc}: {hits} hits on {} objects ({per:.2} each), {keys} keyed runs\n",
            objects.len()
        );
    }
    s
}
