//! Executes runbooks. All effects go through [`Environment`], so that tests can replace them.
use crate::page::step_text;
use crate::runbook::{Condition, Runbook, Step};
use control_state::{obj, text};
use primitives::{Addr, JsonError, Look};
use snafu::Snafu;
use std::collections::BTreeMap;
use tinyjson::JsonValue;

/// HTTP statuses from this one on are not successes.
const FIRST_FAILURE: u16 = 300;

/// Why a run stopped. Steps are counted from 1.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// A value that the runbook needs was not given.
    #[snafu(display("missing value, give it with --set {name}=...: {what}"))]
    MissingValue {
        /// The value's name.
        name: String,
        /// Its meaning.
        what: String,
    },
    /// A value was given that the runbook does not need.
    #[snafu(display("unknown value {name}: the runbook does not need it"))]
    UnknownValue {
        /// The value's name.
        name: String,
    },
    /// With the given values, a step's change is invalid.
    #[snafu(display("step {step}: {source}"))]
    InvalidChange {
        /// The step.
        step: usize,
        /// What is wrong with the change.
        source: JsonError,
    },
    /// With the given values, a step's address is invalid.
    #[snafu(display("step {step}: {at} is not an address"))]
    NoAddress {
        /// The step.
        step: usize,
        /// The text in place of an address.
        at: String,
    },
    /// A controller denied the request.
    #[snafu(display("step {step}: denied ({status}): {body}"))]
    Denied {
        /// The step.
        step: usize,
        /// HTTP status of the answer.
        status: u16,
        /// JSON of the answer.
        body: String,
    },
    /// A condition was not met in time.
    #[snafu(display("step {step}: condition not met within {secs} s"))]
    TimedOut {
        /// The step.
        step: usize,
        /// How long it waited, in seconds.
        secs: u64,
    },
    /// The operator did not confirm.
    #[snafu(display("step {step}: not confirmed"))]
    Unconfirmed {
        /// The step.
        step: usize,
    },
    /// No controller answered.
    #[snafu(display("step {step}: no controller answered"))]
    NoAnswer {
        /// The step.
        step: usize,
    },
}

/// The effects of a run.
pub trait Environment {
    /// Prints a line.
    fn say(&mut self, line: &str);
    /// Asks the operator to confirm `prompt`, which was printed as the last line.
    fn confirm(&mut self, prompt: &str) -> bool;
    /// Posts JSON to a controller. Returns the HTTP status and body, or `None` if none answered.
    fn post(&mut self, path: &str, body: &JsonValue) -> Option<(u16, JsonValue)>;
    /// Gets JSON from an address. Returns `None` if it did not answer.
    fn get(&mut self, at: Addr, path: &str) -> Option<JsonValue>;
    /// Waits for a short interval. Returns false once `secs` seconds have passed since `began`, a
    /// reading of [`Self::clock`].
    fn pause(&mut self, began: u64, secs: u64) -> bool;
    /// A monotonic clock in milliseconds.
    fn clock(&mut self) -> u64;
}

type Result<T> = std::result::Result<T, RunError>;
type Values = BTreeMap<String, String>;

/// Replaces each `{name}` by its value.
fn fill(template: &str, values: &Values) -> String {
    values
        .iter()
        .fold(template.to_string(), |text, (name, value)| text.replace(&format!("{{{name}}}"), value))
}

/// Applies [`fill`] to all strings of a JSON value. A string that is changed into a whole number
/// becomes a JSON number.
fn fill_json(template: &JsonValue, values: &Values) -> JsonValue {
    match template {
        JsonValue::String(text) => {
            let filled = fill(text, values);
            let number = filled.parse::<u32>().ok().filter(|_| filled != *text);
            number.map_or_else(|| JsonValue::from(filled), |n| JsonValue::from(n as f64))
        }
        JsonValue::Array(elements) => {
            JsonValue::Array(elements.iter().map(|element| fill_json(element, values)).collect())
        }
        JsonValue::Object(fields) => {
            let fill_field = |(name, field): (&String, _)| (name.clone(), fill_json(field, values));
            JsonValue::Object(fields.iter().map(fill_field).collect())
        }
        other => other.clone(),
    }
}

/// Executes all steps in order and stops at the first that fails.
///
/// `id` identifies the run: repeated with the same id, a step sends the same change, which takes
/// effect at most once. `values` are the values for the runbook's needs.
pub fn run(runbook: &Runbook, id: &str, values: &Values, environment: &mut impl Environment) -> Result<()> {
    check_values(runbook, values)?;
    for (i, step) in runbook.steps.iter().enumerate() {
        let number = i + 1;
        let line = format!("{number}/{} {}", runbook.steps.len(), fill(&step_text(step), values));
        environment.say(&line);
        run_step(number, step, id, values, environment)?;
    }
    environment.say("done");
    Ok(())
}

fn check_values(runbook: &Runbook, values: &Values) -> Result<()> {
    if let Some((name, what)) = runbook.needs.iter().find(|(name, _)| !values.contains_key(*name)) {
        return MissingValueSnafu { name, what }.fail();
    }
    if let Some(name) = values.keys().find(|name| !runbook.needs.contains_key(*name)) {
        return UnknownValueSnafu { name }.fail();
    }
    Ok(())
}

fn run_step(
    number: usize,
    step: &Step,
    id: &str,
    values: &Values,
    environment: &mut impl Environment,
) -> Result<()> {
    match step {
        Step::Say(_) => Ok(()),
        Step::Confirm(prompt) => match environment.confirm(&fill(prompt, values)) {
            true => Ok(()),
            false => UnconfirmedSnafu { step: number }.fail(),
        },
        Step::Change(change) => {
            send_change(number, &fill_json(change, values), &format!("{id}-{number}"), environment)
        }
        Step::Replace(old, new) => {
            let body = obj(vec![("old", text(fill(old, values))), ("new", text(fill(new, values)))]);
            accepted(number, environment.post("lanewing/replace", &body))
        }
        Step::Until(condition) => wait_until(number, condition, values, environment),
    }
}

fn accepted(step: usize, answer: Option<(u16, JsonValue)>) -> Result<()> {
    let (status, body) = answer.ok_or(RunError::NoAnswer { step })?;
    if status < FIRST_FAILURE {
        return Ok(());
    }
    DeniedSnafu { step, status, body: body.stringify().unwrap_or_default() }.fail()
}

fn send_change(step: usize, change: &JsonValue, id: &str, environment: &mut impl Environment) -> Result<()> {
    let JsonValue::Object(fields) = change else { return Ok(()) };
    let mut fields = fields.clone();
    fields.insert("id".into(), text(id));
    let change = JsonValue::Object(fields);
    control_state::parse_change(&Look::at(&change, ""))
        .map_err(|source| RunError::InvalidChange { step, source })?;
    accepted(step, environment.post("lanewing/changes", &change))
}

fn wait_until(
    step: usize,
    condition: &Condition,
    values: &Values,
    environment: &mut impl Environment,
) -> Result<()> {
    let at = fill(&condition.at, values);
    let addr: Addr = at.parse().map_err(|_| RunError::NoAddress { step, at })?;
    let began = environment.clock();
    loop {
        let answer = environment.get(addr, &condition.path);
        if field(answer.as_ref(), &condition.field) == Some(&condition.is) {
            return Ok(());
        }
        if !environment.pause(began, condition.within_s) {
            return TimedOutSnafu { step, secs: condition.within_s }.fail();
        }
    }
}

fn field<'a>(object: Option<&'a JsonValue>, name: &str) -> Option<&'a JsonValue> {
    match object? {
        JsonValue::Object(fields) => fields.get(name),
        _ => None,
    }
}
