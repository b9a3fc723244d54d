//! Reading JSON values by hand, with the place of whatever is wrong.
use snafu::Snafu;
use std::collections::HashMap;
use tinyjson::JsonValue;

#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum LookProblem {
    #[snafu(display("not JSON: {reason}"))]
    NotJson { reason: String },
    #[snafu(display("{place}: {reason}"))]
    Field { place: String, reason: Reason },
}

#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Reason {
    #[snafu(display("is missing"))]
    Missing,
    #[snafu(display("is not a known field"))]
    Unknown,
    #[snafu(display("should be {what}"))]
    Not { what: &'static str },
    #[snafu(display("should be a whole number from {low} to {high}"))]
    Range { low: u64, high: u64 },
    #[snafu(display("should be one of {these}"))]
    OneOf { these: String },
    #[snafu(display("is used twice"))]
    Twice,
}

type Result<T> = std::result::Result<T, LookProblem>;

pub fn parse(s: &str) -> Result<JsonValue> {
    s.parse().map_err(|e: tinyjson::JsonParseError| LookProblem::NotJson { reason: e.to_string() })
}

/// A value and where it stands.
#[derive(Clone, Debug)]
pub struct Look<'a> {
    pub v: &'a JsonValue,
    pub place: String,
}

impl<'a> Look<'a> {
    pub fn at(v: &'a JsonValue, place: &str) -> Look<'a> {
        Look { v, place: place.to_string() }
    }

    pub fn bad<T>(&self, reason: Reason) -> Result<T> {
        Err(LookProblem::Field { place: self.place.clone(), reason })
    }

    fn map(&self) -> Result<&'a HashMap<String, JsonValue>> {
        self.v.get().map(Ok).unwrap_or_else(|| self.bad(Reason::Not { what: "an object" }))
    }

    /// Denies fields nobody reads: they are most often misspelt.
    pub fn only(&self, names: &[&str]) -> Result<()> {
        let m = self.map()?;
        let mut odd: Vec<&String> = m.keys().filter(|k| !names.contains(&k.as_str())).collect();
        odd.sort();
        odd.first().map(|k| self.under(k, self.v).bad(Reason::Unknown)).unwrap_or(Ok(()))
    }

    fn under(&self, name: &str, v: &'a JsonValue) -> Look<'a> {
        let dot = if self.place.is_empty() { "" } else { "." };
        Look { v, place: format!("{}{dot}{name}", self.place) }
    }

    pub fn opt(&self, name: &str) -> Result<Option<Look<'a>>> {
        Ok(self.map()?.get(name).map(|v| self.under(name, v)))
    }

    pub fn field(&self, name: &str) -> Result<Look<'a>> {
        self.opt(name)?.map(Ok).unwrap_or_else(|| self.under(name, self.v).bad(Reason::Missing))
    }

    pub fn text(&self) -> Result<String> {
        let s: Option<&String> = self.v.get();
        s.cloned().map(Ok).unwrap_or_else(|| self.bad(Reason::Not { what: "a text" }))
    }

    pub fn flag(&self) -> Result<bool> {
        let b: Option<&bool> = self.v.get();
        b.copied().map(Ok).unwrap_or_else(|| self.bad(Reason::Not { what: "true or false" }))
    }

    pub fn num(&self, low: u64, high: u64) -> Result<u64> {
        let n: Option<&f64> = self.v.get();
        n.filter(|n| n.fract() == 0.0 && **n >= low as f64 && **n <= high as f64)
            .map(|n| Ok(*n as u64))
            .unwrap_or_else(|| self.bad(Reason::Range { low, high }))
    }

    pub fn list(&self) -> Result<Vec<Look<'a>>> {
        let l: Option<&Vec<JsonValue>> = self.v.get();
        let at = |(i, v)| Look { v, place: format!("{}[{i}]", self.place) };
        l.map(|l| Ok(l.iter().enumerate().map(at).collect()))
            .unwrap_or_else(|| self.bad(Reason::Not { what: "a list" }))
    }

    pub fn one_of<T: Copy>(&self, all: &[(&str, T)]) -> Result<T> {
        let s = self.text()?;
        let hit = all.iter().find(|(n, _)| *n == s).map(|(_, t)| *t);
        let these = || all.iter().map(|(n, _)| *n).collect::<Vec<_>>().join(", ");
        hit.map(Ok).unwrap_or_else(|| self.bad(Reason::OneOf { these: these() }))
    }

    /// A text that parses, such as an address.
    pub fn parsed<T: std::str::FromStr>(&self, what: &'static str) -> Result<T> {
        self.text()?.parse().map(Ok).unwrap_or_else(|_| self.bad(Reason::Not { what }))
    }

    /// A short name that can stand in a path.
    pub fn name(&self) -> Result<String> {
        let s = self.text()?;
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_/.".contains(c);
        let ok = !s.is_empty() && s.len() <= 64 && s.chars().all(plain);
        if ok {
            Ok(s)
        } else {
            self.bad(Reason::Not { what: "1 to 64 of letters, digits and -_/." })
        }
    }
}
