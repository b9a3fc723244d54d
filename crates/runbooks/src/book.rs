//! Reading and checking a runbook.
use primitives::{Look, LookProblem, Reason};
use std::collections::{BTreeMap, HashMap};
use tinyjson::JsonValue;

type Result<T> = std::result::Result<T, LookProblem>;

#[derive(Clone, Debug)]
pub struct Until {
    pub at: String,
    pub path: String,
    pub field: String,
    pub is: JsonValue,
    pub within_s: u64,
}

#[derive(Clone, Debug)]
pub enum Step {
    Say(String),
    /// A person does something and says so.
    Confirm(String),
    /// A change; its id comes from the run.
    Change(JsonValue),
    Replace(String, String),
    Until(Until),
}

/// Invariant: every `{name}` in its steps is among its needs.
#[derive(Clone, Debug)]
pub struct Book {
    pub title: String,
    pub why: String,
    /// What must be told, and what it means.
    pub needs: BTreeMap<String, String>,
    pub steps: Vec<Step>,
}

fn step(l: &Look, needs: &BTreeMap<String, String>) -> Result<Step> {
    l.only(&["say", "confirm", "change", "replace", "until", "within_s"])?;
    known(l, l.v, needs)?;
    if let Some(f) = l.opt("say")? {
        return f.text().map(Step::Say);
    }
    if let Some(f) = l.opt("confirm")? {
        return f.text().map(Step::Confirm);
    }
    if let Some(f) = l.opt("change")? {
        f.only(&["drain_node", "remove_node", "purge"])?;
        return Ok(Step::Change(f.v.clone()));
    }
    if let Some(f) = l.opt("replace")? {
        f.only(&["old", "new"])?;
        return Ok(Step::Replace(f.field("old")?.text()?, f.field("new")?.text()?));
    }
    let f = l.field("until")?;
    f.only(&["at", "path", "field", "is"])?;
    Ok(Step::Until(Until {
        at: f.field("at")?.text()?,
        path: f.field("path")?.text()?,
        field: f.field("field")?.text()?,
        is: f.field("is")?.v.clone(),
        within_s: l.field("within_s")?.num(1, 3600)?,
    }))
}

/// Denies names that nobody will be asked for.
fn known(l: &Look, v: &JsonValue, needs: &BTreeMap<String, String>) -> Result<()> {
    let all: Vec<&JsonValue> = match v {
        JsonValue::Object(m) => m.values().collect(),
        JsonValue::Array(a) => a.iter().collect(),
        JsonValue::String(s) => {
            let names = s.split('{').skip(1).filter_map(|p| p.split('}').next());
            let odd = names.into_iter().any(|n| !needs.contains_key(n));
            return if odd {
                l.bad(Reason::Not { what: "free of names that are not in needs" })
            } else {
                Ok(())
            };
        }
        _ => vec![],
    };
    all.into_iter().try_for_each(|v| known(l, v, needs))
}

pub fn read_book(l: &Look) -> Result<Book> {
    l.only(&["title", "why", "needs", "steps"])?;
    let n = l.field("needs")?;
    let map: Option<&HashMap<String, JsonValue>> = n.v.get();
    let mut needs = BTreeMap::new();
    for k in map.into_iter().flat_map(|m| m.keys()) {
        needs.insert(k.clone(), n.field(k)?.text()?);
    }
    let steps = l.field("steps")?.list()?.iter().map(|s| step(s, &needs)).collect::<Result<Vec<Step>>>()?;
    Ok(Book { title: l.field("title")?.text()?, why: l.field("why")?.text()?, needs, steps })
}
