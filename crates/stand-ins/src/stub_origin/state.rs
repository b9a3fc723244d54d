//! What a stub origin counts, and the faults it is told to show.
use crate::stub_origin::wall_ms;
use control_state::{list, num, obj, text};
use primitives::{JsonError, Look};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tinyjson::JsonValue;

const MS_PER_TENTH: u64 = 100;
const SERVING: &str = "serving";
/// The greatest number that a fault may have.
const MOST: u64 = 1_000_000;

/// How it misbehaves. Zero stands for never.
#[derive(Clone, Debug, Default)]
pub(super) struct Faults {
    /// Added to the time that an answer takes, in milliseconds.
    pub slow_ms: u64,
    /// Closes the connection instead of every so many answers.
    pub lose_every: u64,
    /// Sends half of every so many answers.
    pub cut_every: u64,
    /// Changes a byte of every so many answers.
    pub wrong_every: u64,
    /// What its beats say of it.
    mood: Option<String>,
    /// The edition of its content.
    pub edition: u64,
}

impl Faults {
    pub fn read(look: &Look) -> Result<Faults, JsonError> {
        let number = |name: &str| look.opt(name)?.map_or(Ok(0), |value| value.num(0, MOST));
        Ok(Faults {
            slow_ms: number("slow_ms")?,
            lose_every: number("lose_every")?,
            cut_every: number("cut_every")?,
            wrong_every: number("wrong_every")?,
            mood: look.opt("mood")?.map(|mood| mood.text()).transpose()?,
            edition: number("edition")?,
        })
    }
}

/// Counts since the start, and the faults shown now.
#[derive(Default)]
pub(super) struct State {
    hits: BTreeMap<String, u64>,
    keys: BTreeMap<String, Vec<u64>>,
    /// Arrivals by tenth of a second of wall time.
    pace: BTreeMap<u64, u64>,
    misdirected: u64,
    pub in_hand: u32,
    count: u64,
    pub faults: Faults,
}

pub(super) type SharedState = Arc<Mutex<State>>;

impl State {
    /// Counts a request that arrives. Returns its number and the faults that it meets.
    pub fn arrive(&mut self, object: String, key: Option<&String>, misdirected: bool) -> (u64, Faults) {
        self.misdirected += u64::from(misdirected);
        self.count += 1;
        self.in_hand += 1;
        *self.pace.entry(wall_ms() / MS_PER_TENTH).or_default() += 1;
        match key {
            Some(key) => self.keys.entry(key.clone()).or_default().push(wall_ms()),
            None => *self.hits.entry(object).or_default() += 1,
        }
        (self.count, self.faults.clone())
    }

    pub fn mood(&self) -> String {
        self.faults.mood.clone().unwrap_or(SERVING.into())
    }

    pub fn tally(&self, service: &str) -> JsonValue {
        let hits = self.hits.iter().map(|(object, count)| (object.as_str(), num(*count))).collect();
        let times = |times: &Vec<u64>| list(times.iter().map(|time| num(*time)).collect());
        let keys = self.keys.iter().map(|(key, arrivals)| (key.as_str(), times(arrivals))).collect();
        let pace = self.pace.iter().map(|(tenth, count)| list(vec![num(*tenth), num(*count)])).collect();
        obj(vec![
            ("service", text(service)),
            ("hits", obj(hits)),
            ("keys", obj(keys)),
            ("pace", list(pace)),
            ("misdirected", num(self.misdirected)),
        ])
    }
}
