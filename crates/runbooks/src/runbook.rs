//! Parses and validates runbooks.
use primitives::{JsonError, Look, Reason};
use std::collections::{BTreeMap, HashMap};
use tinyjson::JsonValue;

/// Upper bound of `within_s`.
const MAX_WAIT_S: u64 = 3600;

type Result<T> = std::result::Result<T, JsonError>;

/// A condition that a step waits for: a field of the JSON that an address serves.
#[derive(Clone, Debug)]
pub struct Condition {
    /// HTTP address to poll, or a `{name}` in its place.
    pub at: String,
    /// Path to poll, without a leading slash.
    pub path: String,
    /// Name of a field of the answer's object.
    pub field: String,
    /// The value to wait for.
    pub is: JsonValue,
    /// Timeout in seconds.
    pub within_s: u64,
}

/// One step of a runbook.
#[derive(Clone, Debug)]
pub enum Step {
    /// Prints a text.
    Say(String),
    /// Asks the operator to do something and to confirm it.
    Confirm(String),
    /// Sends a change of the control state; its id is derived from the id of the run.
    Change(JsonValue),
    /// Replaces the controller at the first cohort address by the one at the second.
    Replace(String, String),
    /// Waits for a condition.
    Until(Condition),
}

/// A runbook. Invariant: every `{name}` in `steps` is a key of `needs`.
#[derive(Clone, Debug)]
pub struct Runbook {
    /// Title of the page.
    pub title: String,
    /// When to use it.
    pub why: String,
    /// Descriptions of the values that a run must be given, by name.
    pub needs: BTreeMap<String, String>,
    /// The steps in order of execution.
    pub steps: Vec<Step>,
}

type Needs = BTreeMap<String, String>;

fn read_step(look: &Look, needs: &Needs) -> Result<Step> {
    look.only(&["say", "confirm", "change", "replace", "until", "within_s"])?;
    check_names(look, look.v, needs)?;
    if let Some(text) = look.opt("say")? {
        return text.text().map(Step::Say);
    }
    if let Some(text) = look.opt("confirm")? {
        return text.text().map(Step::Confirm);
    }
    if let Some(change) = look.opt("change")? {
        change.only(&["drain_node", "remove_node", "purge"])?;
        return Ok(Step::Change(change.v.clone()));
    }
    if let Some(replace) = look.opt("replace")? {
        replace.only(&["old", "new"])?;
        return Ok(Step::Replace(replace.field("old")?.text()?, replace.field("new")?.text()?));
    }
    read_condition(look).map(Step::Until)
}

fn read_condition(look: &Look) -> Result<Condition> {
    let until = look.field("until")?;
    until.only(&["at", "path", "field", "is"])?;
    Ok(Condition {
        at: until.field("at")?.text()?,
        path: until.field("path")?.text()?,
        field: until.field("field")?.text()?,
        is: until.field("is")?.v.clone(),
        within_s: look.field("within_s")?.num(1, MAX_WAIT_S)?,
    })
}

/// Rejects a step that contains, at any depth, a `{name}` that is not among the needs.
fn check_names(look: &Look, value: &JsonValue, needs: &Needs) -> Result<()> {
    match value {
        JsonValue::Object(fields) => fields.values().try_for_each(|v| check_names(look, v, needs)),
        JsonValue::Array(elements) => elements.iter().try_for_each(|v| check_names(look, v, needs)),
        JsonValue::String(text) => {
            let mut names = text.split('{').skip(1).filter_map(|rest| rest.split('}').next());
            if names.all(|name| needs.contains_key(name)) {
                Ok(())
            } else {
                look.bad(Reason::Not { what: "free of names that are missing in needs" })
            }
        }
        _ => Ok(()),
    }
}

/// Parses and validates a runbook. Fails on unknown or missing fields and undeclared names.
pub fn read_runbook(look: &Look) -> Result<Runbook> {
    look.only(&["title", "why", "needs", "steps"])?;
    let needs = read_needs(&look.field("needs")?)?;
    let steps = look.field("steps")?.list()?;
    let steps = steps.iter().map(|step| read_step(step, &needs)).collect::<Result<Vec<Step>>>()?;
    let (title, why) = (look.field("title")?.text()?, look.field("why")?.text()?);
    Ok(Runbook { title, why, needs, steps })
}

fn read_needs(look: &Look) -> Result<Needs> {
    let fields: Option<&HashMap<String, JsonValue>> = look.v.get();
    let names = fields.into_iter().flat_map(|fields| fields.keys());
    names.map(|name| Ok((name.clone(), look.field(name)?.text()?))).collect()
}
