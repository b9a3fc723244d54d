//! Tests of executing runbooks in an environment without real effects.
use primitives::{parse, Addr, Look};
use runbooks::{read_runbook, run, Environment, RunError, Runbook, SHIPPED};
use std::collections::BTreeMap;
use tinyjson::JsonValue;

struct FakeEnvironment {
    /// Path and body of each request.
    posted: Vec<String>,
    /// The remaining answers to polls, in order.
    poll_answers: Vec<&'static str>,
    /// Whether the operator confirms.
    confirms: bool,
    /// HTTP status of the answers to requests.
    status: u16,
}

impl Environment for FakeEnvironment {
    fn say(&mut self, _: &str) {}
    fn confirm(&mut self, _: &str) -> bool {
        self.confirms
    }
    fn post(&mut self, path: &str, body: &JsonValue) -> Option<(u16, JsonValue)> {
        self.posted.push(format!("{path} {}", body.stringify().unwrap()));
        Some((self.status, JsonValue::Null))
    }
    fn get(&mut self, _: Addr, _: &str) -> Option<JsonValue> {
        let answer = if self.poll_answers.is_empty() { "{}" } else { self.poll_answers.remove(0) };
        answer.parse().ok()
    }
    fn pause(&mut self, _: u64, _: u64) -> bool {
        !self.poll_answers.is_empty()
    }
    fn clock(&mut self) -> u64 {
        0
    }
}

fn shipped_runbook(name: &str) -> Runbook {
    let json = SHIPPED.iter().find(|(n, _)| *n == name).unwrap().1;
    read_runbook(&Look::at(&parse(json).unwrap(), "")).unwrap()
}

fn values(pairs: &[(&str, &str)]) -> BTreeMap<String, String> {
    pairs.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

const POLL_ANSWERS: [&str; 6] = [
    r#"{"live": true}"#,
    r#"{"ready": true}"#,
    r#"{"ready": false}"#,
    r#"{"in_hand": 2}"#,
    r#"{"in_hand": 0}"#,
    "{}",
];

fn environment() -> FakeEnvironment {
    FakeEnvironment { posted: vec![], poll_answers: POLL_ANSWERS.to_vec(), confirms: true, status: 200 }
}

#[test]
fn given_all_values_when_draining_then_the_run_sends_one_change_and_waits_until_the_node_is_idle() {
    let mut fake = environment();
    run(
        &shipped_runbook("drain-a-node"),
        "id",
        &values(&[("node", "7"), ("http", "127.0.0.1:1")]),
        &mut fake,
    )
    .unwrap();
    assert_eq!(fake.posted.len(), 1);
    assert!(
        fake.posted[0].contains(r#""drain_node":7"#) && fake.posted[0].contains(r#""id":"id-2""#),
        "{:?}",
        fake.posted
    );
    assert_eq!(fake.poll_answers, ["{}"]);
}

#[test]
fn given_bad_values_denial_timeout_or_no_confirmation_then_the_run_stops_and_reports_the_step() {
    let valid = values(&[("node", "7"), ("http", "127.0.0.1:1")]);
    let runbook = shipped_runbook("drain-a-node");
    let run_error = |values: &BTreeMap<String, String>, mut environment: FakeEnvironment| {
        run(&runbook, "id", values, &mut environment).unwrap_err()
    };
    assert!(matches!(run_error(&values(&[("node", "7")]), environment()), RunError::MissingValue { .. }));
    let unknown = values(&[("node", "7"), ("http", "127.0.0.1:1"), ("odd", "1")]);
    assert!(matches!(run_error(&unknown, environment()), RunError::UnknownValue { .. }));
    let bad_node = values(&[("node", "seven"), ("http", "127.0.0.1:1")]);
    assert!(matches!(run_error(&bad_node, environment()), RunError::InvalidChange { step: 2, .. }));
    let bad_addr = values(&[("node", "7"), ("http", "here")]);
    assert!(matches!(run_error(&bad_addr, environment()), RunError::NoAddress { step: 1, .. }));
    let denied = FakeEnvironment { status: 409, ..environment() };
    assert!(matches!(run_error(&valid, denied), RunError::Denied { step: 2, status: 409, .. }));
    let times_out = FakeEnvironment { poll_answers: POLL_ANSWERS[..2].to_vec(), ..environment() };
    assert!(matches!(run_error(&valid, times_out), RunError::TimedOut { step: 3, .. }));
    let unconfirmed = FakeEnvironment { confirms: false, ..environment() };
    assert!(matches!(run_error(&valid, unconfirmed), RunError::Unconfirmed { step: 5 }));
}
