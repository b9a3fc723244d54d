//! The operator's configuration: routes by host and path, services, and limits for callers, as named
//! entries whose version numbers the operator chooses.
use crate::confirmed::ContentDigest;
use crate::items::*;
use primitives::{Span, Version};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;

/// A part of the configuration.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Section {
    Lanes,
    Services,
    Limits,
}

/// A route, selected by the host and the longest matching path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaneEntry {
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    pub kind: Kind,
    /// The longest time that a request may take.
    pub timeout: Span,
    /// Target latency: a response within this time has its full value.
    pub aim: Span,
    /// Priority; 0 is the highest.
    pub rank: u8,
    /// Services and their relative weights, in thousandths.
    pub weights: Vec<(Svc, u64)>,
    /// The most origins that a request may be sent to.
    pub attempts: u32,
    /// Time-to-live of a cached copy.
    pub ttl: Span,
    /// The text that the operator wrote.
    pub said: String,
}

/// A service: how its origins are checked and limited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Path of the health check.
    pub health: String,
    /// The most connections that an origin accepts from all callers together.
    pub connections: u32,
    /// Whether its origins recognize repeated idempotency keys themselves.
    pub dedups: bool,
    /// Rate limit for all its origins together, in thousandths of a request per second.
    pub rate: Option<u64>,
    /// The text that the operator wrote.
    pub said: String,
}

/// Limits on requests of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of the header fields.
    pub heads: usize,
    /// Bytes of the body.
    pub body: usize,
    /// Time until the header fields are complete.
    pub head_wait: Span,
    /// Time that a connection may be idle.
    pub idle: Span,
    /// The text that the operator wrote.
    pub said: String,
}

/// Sets an entry, or without a body deletes it. Invariant: of two edits of a name the one with the
/// higher version applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    pub section: Section,
    pub name: String,
    pub ver: Version,
    pub body: Option<Body>,
    /// Digest of the content: a name and version number stand for one content only.
    pub content: ContentDigest,
}

/// Cached copies to purge, whichever service they come from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PurgeBy {
    /// A host and a path, with any query.
    Page(String, String),
    /// Copies that their origins marked with this tag.
    Tag(String),
}

/// Why a set of edits is refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum EditError {
    #[snafu(display("{name}: the host is empty"))]
    NoHost { name: String },
    #[snafu(display("{name}: the path prefix should begin and end with a slash"))]
    Prefix { name: String },
    #[snafu(display("{name}: a request needs at least one attempt"))]
    NoAttempts { name: String },
    #[snafu(display("{name}: the aim exceeds the timeout by a minute or more"))]
    AimExceedsTimeout { name: String },
    #[snafu(display("{name}: the weights come to nothing"))]
    NoWeight { name: String },
    #[snafu(display("{name}: no service is called {svc}"))]
    UnknownService { name: String, svc: Svc },
    #[snafu(display("{name}: this is not an entry of its section"))]
    WrongSection { name: String },
}

/// A version number of an entry, for messages to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryNumber {
    pub section: Section,
    pub name: String,
    pub ver: Version,
}

impl fmt::Display for EntryNumber {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: number {}", self.name, self.ver.0)
    }
}

/// How far the target latency of a route may exceed its timeout (exclusive).
const MAX_AIM_EXCESS: Span = Span::secs(60);

/// The canonical text of an edit that deletes an entry; stored digests depend on it.
const DELETED_TEXT: &str = "dropped";

/// The canonical text of a body: the same for any order of its weights. Stored digests depend on it.
fn canonical_text(body: &Body) -> String {
    let mut body = body.clone();
    if let Body::Lane(lane) = &mut body {
        lane.weights.sort();
    }
    format!("{body:?}")
}

impl Edit {
    /// Sets or deletes the entry; the digest is that of the body.
    pub fn new(section: Section, name: &str, ver: Version, body: Option<Body>) -> Edit {
        let text = body.as_ref().map_or(DELETED_TEXT.to_string(), canonical_text);
        let content = ContentDigest::of(&text);
        Edit { section, name: name.into(), ver, body, content }
    }

    /// Sets the entry; the digest is that of `text`, the canonical form of what the operator wrote.
    pub fn written(section: Section, name: &str, ver: Version, body: Body, text: &str) -> Edit {
        let content = ContentDigest::of(text);
        Edit { section, name: name.into(), ver, body: Some(body), content }
    }

    pub(crate) fn number(&self) -> EntryNumber {
        EntryNumber { section: self.section, name: self.name.clone(), ver: self.ver }
    }

    /// Key of the entry that it changes.
    pub fn key(&self) -> Key {
        Key::Entry(self.section, self.name.clone())
    }

    /// Approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        20 + self.name.len() + self.body.as_ref().map_or(100, Body::size)
    }

    pub(crate) fn lane(&self) -> Option<&LaneEntry> {
        match &self.body {
            Some(Body::Lane(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Why the edit is invalid by itself, regardless of other entries.
    pub fn flaw(&self) -> Option<EditError> {
        let name = || self.name.clone();
        let fits_section = matches!(
            (self.section, &self.body),
            (_, None)
                | (Section::Lanes, Some(Body::Lane(_)))
                | (Section::Services, Some(Body::Service(_)))
                | (Section::Limits, Some(Body::Limits(_)))
        );
        let wrong_section = (!fits_section).then(|| EditError::WrongSection { name: name() });
        let entry = self.lane();
        let check =
            |bad: fn(&LaneEntry) -> bool, error: EditError| entry.filter(|entry| bad(entry)).map(|_| error);
        wrong_section
            .or_else(|| check(|entry| entry.host.is_empty(), EditError::NoHost { name: name() }))
            .or_else(|| check(|entry| !has_outer_slashes(&entry.prefix), EditError::Prefix { name: name() }))
            .or_else(|| check(|entry| entry.attempts == 0, EditError::NoAttempts { name: name() }))
            .or_else(|| {
                check(
                    |entry| entry.aim.0 >= entry.timeout.0 + MAX_AIM_EXCESS.0,
                    EditError::AimExceedsTimeout { name: name() },
                )
            })
            .or_else(|| {
                check(
                    |entry| entry.weights.iter().all(|(_, w)| *w == 0),
                    EditError::NoWeight { name: name() },
                )
            })
    }
}

fn has_outer_slashes(prefix: &str) -> bool {
    prefix.starts_with('/') && prefix.ends_with('/')
}
