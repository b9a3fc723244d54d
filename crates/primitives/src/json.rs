//! Reading JSON values by hand. Every error names the place of the offending value.
use snafu::Snafu;
use std::collections::HashMap;
use std::str::FromStr;
use tinyjson::{JsonParseError, JsonValue};

/// The most characters that [`Look::name`] allows.
const LONGEST_NAME: usize = 64;
/// What a name may contain beside ASCII letters and digits.
const NAME_PUNCTUATION: &str = "-_/.";

/// Why a JSON text was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum JsonError {
    /// The text is not JSON.
    #[snafu(display("not JSON: {reason}"))]
    InvalidJson {
        /// The parser's message.
        reason: String,
    },
    /// A value is not what is expected at its place.
    #[snafu(display("{place}: {reason}"))]
    Field {
        /// Path from the root, such as `nodes[3].http`.
        place: String,
        /// What is wrong with the value.
        reason: Reason,
    },
}

/// What is wrong with one value.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Reason {
    /// A required field is absent.
    #[snafu(display("is missing"))]
    Missing,
    /// An object has a field that is not read.
    #[snafu(display("is not a known field"))]
    Unknown,
    /// The value has another type or form.
    #[snafu(display("should be {what}"))]
    Not {
        /// The expected type or form, as a noun phrase.
        what: &'static str,
    },
    /// The value is no whole number within the bounds.
    #[snafu(display("should be a whole number from {low} to {high}"))]
    Range {
        /// The least allowed value.
        low: u64,
        /// The greatest allowed value.
        high: u64,
    },
    /// The text is none of the allowed ones.
    #[snafu(display("should be one of {these}"))]
    OneOf {
        /// The allowed texts, separated by commas.
        these: String,
    },
    /// A value that must be unique occurs again.
    #[snafu(display("is used twice"))]
    Twice,
}

type Result<T> = std::result::Result<T, JsonError>;

/// Parses a JSON text.
pub fn parse(text: &str) -> Result<JsonValue> {
    text.parse().map_err(|error: JsonParseError| JsonError::InvalidJson { reason: error.to_string() })
}

/// A JSON value together with its place in the document.
#[derive(Clone, Debug)]
pub struct Look<'a> {
    /// The value.
    pub v: &'a JsonValue,
    /// Path from the root; empty for the root itself.
    pub place: String,
}

impl<'a> Look<'a> {
    /// The value `v`, which stands at `place`.
    pub fn at(v: &'a JsonValue, place: &str) -> Look<'a> {
        Look { v, place: place.to_string() }
    }

    /// An error about this value.
    pub fn bad<T>(&self, reason: Reason) -> Result<T> {
        Err(JsonError::Field { place: self.place.clone(), reason })
    }

    fn not<T>(&self, what: &'static str) -> Result<T> {
        self.bad(Reason::Not { what })
    }

    fn fields(&self) -> Result<&'a HashMap<String, JsonValue>> {
        match self.v.get() {
            Some(fields) => Ok(fields),
            None => self.not("an object"),
        }
    }

    /// Requires an object without fields other than `names`: an unread field is most often
    /// a misspelt one.
    pub fn only(&self, names: &[&str]) -> Result<()> {
        let fields = self.fields()?;
        let unknown = fields.keys().filter(|name| !names.contains(&name.as_str()));
        match unknown.min() {
            Some(name) => self.under(name, self.v).bad(Reason::Unknown),
            None => Ok(()),
        }
    }

    fn under(&self, name: &str, v: &'a JsonValue) -> Look<'a> {
        let dot = if self.place.is_empty() { "" } else { "." };
        Look { v, place: format!("{}{dot}{name}", self.place) }
    }

    /// The field of this object, if it is there.
    pub fn opt(&self, name: &str) -> Result<Option<Look<'a>>> {
        let value = self.fields()?.get(name);
        Ok(value.map(|value| self.under(name, value)))
    }

    /// The field of this object; it is an error if it is absent.
    pub fn field(&self, name: &str) -> Result<Look<'a>> {
        match self.opt(name)? {
            Some(field) => Ok(field),
            None => self.under(name, self.v).bad(Reason::Missing),
        }
    }

    /// The value as a string.
    pub fn text(&self) -> Result<String> {
        let text: Option<&String> = self.v.get();
        text.map_or_else(|| self.not("a text"), |text| Ok(text.clone()))
    }

    /// The value as a boolean.
    pub fn flag(&self) -> Result<bool> {
        let flag: Option<&bool> = self.v.get();
        flag.map_or_else(|| self.not("true or false"), |flag| Ok(*flag))
    }

    /// The value as a whole number from `low` to `high`, both included.
    pub fn num(&self, low: u64, high: u64) -> Result<u64> {
        let number: Option<&f64> = self.v.get();
        let fits = |n: &&f64| n.fract() == 0.0 && **n >= low as f64 && **n <= high as f64;
        match number.filter(fits) {
            Some(number) => Ok(*number as u64),
            None => self.bad(Reason::Range { low, high }),
        }
    }

    /// The elements of an array.
    pub fn list(&self) -> Result<Vec<Look<'a>>> {
        let Some(elements) = self.v.get::<Vec<JsonValue>>() else { return self.not("a list") };
        let element = |(i, v)| Look { v, place: format!("{}[{i}]", self.place) };
        Ok(elements.iter().enumerate().map(element).collect())
    }

    /// The value that belongs to this text among `all`.
    pub fn one_of<T: Copy>(&self, all: &[(&str, T)]) -> Result<T> {
        let text = self.text()?;
        let found = all.iter().find(|(name, _)| *name == text);
        let names = || all.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
        match found {
            Some((_, value)) => Ok(*value),
            None => self.bad(Reason::OneOf { these: names() }),
        }
    }

    /// The value of a string that parses; `what` names the expected form in the error.
    pub fn parsed<T: FromStr>(&self, what: &'static str) -> Result<T> {
        self.text()?.parse().or_else(|_| self.not(what))
    }

    /// A short name that can be part of a URL path: 1 to 64 ASCII letters, digits and `-_/.`.
    pub fn name(&self) -> Result<String> {
        let text = self.text()?;
        let plain = |c: char| c.is_ascii_alphanumeric() || NAME_PUNCTUATION.contains(c);
        let valid = !text.is_empty() && text.len() <= LONGEST_NAME && text.chars().all(plain);
        if valid {
            Ok(text)
        } else {
            self.not("1 to 64 of letters, digits and -_/.")
        }
    }
}
