//! Reading JSON values field by field. Every error names the path of the invalid value.
use snafu::Snafu;
use std::collections::HashMap;
use std::str::FromStr;
use tinyjson::{JsonParseError, JsonValue};

/// Maximum length of a name, in characters; see [`Look::name`].
const MAX_NAME_LENGTH: usize = 64;
/// Characters allowed in a name besides ASCII letters and digits.
const NAME_PUNCTUATION: &str = "-_/.";

/// Error of parsing or reading JSON.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum JsonError {
    /// The text is not JSON.
    #[snafu(display("not JSON: {reason}"))]
    InvalidJson {
        /// The parser's message.
        reason: String,
    },
    /// The value at a path is invalid or missing.
    #[snafu(display("{path}: {reason}"))]
    Field {
        /// Path from the root, such as `nodes[3].http`.
        path: String,
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
    /// An object has a field that the reader does not know.
    #[snafu(display("is not a known field"))]
    Unknown,
    /// The value does not have the expected type or form.
    #[snafu(display("should be {what}"))]
    Not {
        /// The expected type or form, as a noun phrase.
        what: &'static str,
    },
    /// The value is not a whole number within the bounds.
    #[snafu(display("should be a whole number from {low} to {high}"))]
    Range {
        /// The minimum, allowed itself.
        low: u64,
        /// The maximum, allowed itself.
        high: u64,
    },
    /// The string is none of the allowed ones.
    #[snafu(display("should be one of {allowed}"))]
    OneOf {
        /// The allowed strings, separated by commas.
        allowed: String,
    },
    /// A value that must be unique occurs again.
    #[snafu(display("is used twice"))]
    Twice,
}

type Result<T> = std::result::Result<T, JsonError>;

/// Parses a JSON document.
///
/// # Errors
///
/// [`JsonError::InvalidJson`] if `text` is not valid JSON.
pub fn parse(text: &str) -> Result<JsonValue> {
    text.parse().map_err(|error: JsonParseError| JsonError::InvalidJson { reason: error.to_string() })
}

/// A JSON value together with its path in the document.
#[derive(Clone, Debug)]
pub struct Look<'a> {
    /// The value.
    pub v: &'a JsonValue,
    /// Path from the root; empty for the root itself.
    pub path: String,
}

impl<'a> Look<'a> {
    /// Wraps the value `v`, whose path is `path` (empty for the root).
    pub fn at(v: &'a JsonValue, path: &str) -> Look<'a> {
        Look { v, path: path.to_string() }
    }

    /// Returns an error about this value.
    pub fn bad<T>(&self, reason: Reason) -> Result<T> {
        Err(JsonError::Field { path: self.path.clone(), reason })
    }

    fn wrong_type<T>(&self, what: &'static str) -> Result<T> {
        self.bad(Reason::Not { what })
    }

    fn fields(&self) -> Result<&'a HashMap<String, JsonValue>> {
        match self.v.get() {
            Some(fields) => Ok(fields),
            None => self.wrong_type("an object"),
        }
    }

    /// Requires an object without fields other than `names`, since an unknown field is most
    /// often a misspelt one. Of several unknown fields, the error names the first in the
    /// order of their names.
    pub fn only(&self, names: &[&str]) -> Result<()> {
        let fields = self.fields()?;
        let unknown = fields.keys().filter(|name| !names.contains(&name.as_str()));
        match unknown.min() {
            Some(name) => self.child(name, self.v).bad(Reason::Unknown),
            None => Ok(()),
        }
    }

    fn child(&self, name: &str, v: &'a JsonValue) -> Look<'a> {
        let separator = if self.path.is_empty() { "" } else { "." };
        Look { v, path: format!("{}{separator}{name}", self.path) }
    }

    /// The field `name` of this object, or `None` if it is absent; an error if the value is no
    /// object.
    pub fn opt(&self, name: &str) -> Result<Option<Look<'a>>> {
        let value = self.fields()?.get(name);
        Ok(value.map(|value| self.child(name, value)))
    }

    /// The field `name` of this object; an error if it is absent.
    pub fn field(&self, name: &str) -> Result<Look<'a>> {
        match self.opt(name)? {
            Some(field) => Ok(field),
            None => self.child(name, self.v).bad(Reason::Missing),
        }
    }

    /// The value as a string.
    pub fn text(&self) -> Result<String> {
        let text: Option<&String> = self.v.get();
        text.map_or_else(|| self.wrong_type("a text"), |text| Ok(text.clone()))
    }

    /// The value as a boolean.
    pub fn flag(&self) -> Result<bool> {
        let flag: Option<&bool> = self.v.get();
        flag.map_or_else(|| self.wrong_type("true or false"), |flag| Ok(*flag))
    }

    /// The value as a whole number from `low` to `high`, inclusive.
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
        let Some(elements) = self.v.get::<Vec<JsonValue>>() else { return self.wrong_type("a list") };
        let element = |(i, v)| Look { v, path: format!("{}[{i}]", self.path) };
        Ok(elements.iter().enumerate().map(element).collect())
    }

    /// Maps the string to the value paired with it in `choices`; an error if it is not in there.
    pub fn one_of<T: Copy>(&self, choices: &[(&str, T)]) -> Result<T> {
        let text = self.text()?;
        let found = choices.iter().find(|(name, _)| *name == text);
        let names = || choices.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
        match found {
            Some((_, value)) => Ok(*value),
            None => self.bad(Reason::OneOf { allowed: names() }),
        }
    }

    /// Parses the string as a `T`; `what` names the expected form in the error.
    pub fn parsed<T: FromStr>(&self, what: &'static str) -> Result<T> {
        self.text()?.parse().or_else(|_| self.wrong_type(what))
    }

    /// The value as a short name that can be part of a URL path: 1 to 64 ASCII letters, digits
    /// and characters of `-_/.`.
    pub fn name(&self) -> Result<String> {
        let text = self.text()?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || NAME_PUNCTUATION.contains(c);
        let valid = !text.is_empty() && text.len() <= MAX_NAME_LENGTH && text.chars().all(allowed);
        if valid {
            Ok(text)
        } else {
            self.wrong_type("1 to 64 of letters, digits and -_/.")
        }
    }
}
