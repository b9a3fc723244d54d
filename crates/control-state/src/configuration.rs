//! The operator's configuration: lanes by host and path, services, and limits on callers,
//! as named entries whose versions the operator chooses.
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

/// One lane, reached by host and the longest prefix of the path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaneEntry {
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    pub kind: Kind,
    /// The longest a request may be held.
    pub timeout: Span,
    /// Within this an answer is worth most.
    pub aim: Span,
    /// Urgency; 0 goes first.
    pub rank: u8,
    /// Services and their weights, in thousandths.
    pub weights: Vec<(Svc, u64)>,
    /// Origins that one request may be sent to, at most.
    pub attempts: u32,
    /// How long a copy lives.
    pub ttl: Span,
    /// As its operator wrote it.
    pub said: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Where an origin is asked whether it is well.
    pub health: String,
    /// Connections that one origin takes from all callers together.
    pub connections: u32,
    /// Origins that remember keys themselves.
    pub dedups: bool,
    /// Requests that all its origins together may get, in thousandths a second.
    pub rate: Option<u64>,
    /// As its operator wrote it.
    pub said: String,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    pub heads: usize,
    pub body: usize,
    pub head_wait: Span,
    pub idle: Span,
    /// As its operator wrote it.
    pub said: String,
}

/// One entry's change. Invariant: of two versions of a name the higher holds,
/// whether it sets the entry or (with no body) drops it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    pub section: Section,
    pub name: String,
    pub ver: Version,
    pub body: Option<Body>,
    /// Of its content: of two edits with one name and number only one content counts.
    pub content: ContentDigest,
}

/// Copies to be purged, by what they are rather than by where they come from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PurgeBy {
    /// One host's one path, whatever its query.
    Page(String, String),
    /// What its origin marked with this tag.
    Tag(String),
}

/// Why a set of edits is invalid as a whole.
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

/// One number of one entry, as operators are told of it.
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

const MAX_AIM_EXCESS: Span = Span::secs(60);

/// The canonical text of what drops an entry.
const DROPPED: &str = "dropped";

/// A body as it is whatever the order of its weights.
fn canonical(body: &Body) -> String {
    let mut body = body.clone();
    if let Body::Lane(lane) = &mut body {
        lane.weights.sort();
    }
    format!("{body:?}")
}

impl Edit {
    /// Sets the entry, or drops it; what its body holds is its content.
    pub fn new(section: Section, name: &str, ver: Version, body: Option<Body>) -> Edit {
        let text = body.as_ref().map_or(DROPPED.to_string(), canonical);
        let content = ContentDigest::of(&text);
        Edit { section, name: name.into(), ver, body, content }
    }

    /// Sets the entry to what was written in a form that has a canonical text.
    pub fn written(section: Section, name: &str, ver: Version, body: Body, text: &str) -> Edit {
        let content = ContentDigest::of(text);
        Edit { section, name: name.into(), ver, body: Some(body), content }
    }

    pub(crate) fn number(&self) -> EntryNumber {
        EntryNumber { section: self.section, name: self.name.clone(), ver: self.ver }
    }

    pub fn key(&self) -> Key {
        Key::Entry(self.section, self.name.clone())
    }

    /// Bytes, roughly.
    pub fn size(&self) -> usize {
        20 + self.name.len() + self.body.as_ref().map_or(100, Body::size)
    }

    pub(crate) fn lane(&self) -> Option<&LaneEntry> {
        match &self.body {
            Some(Body::Lane(l)) => Some(l),
            _ => None,
        }
    }

    /// What is wrong with it, whatever else there is.
    pub fn flaw(&self) -> Option<EditError> {
        let name = || self.name.clone();
        let placed = matches!(
            (self.section, &self.body),
            (_, None)
                | (Section::Lanes, Some(Body::Lane(_)))
                | (Section::Services, Some(Body::Service(_)))
                | (Section::Limits, Some(Body::Limits(_)))
        );
        let misplaced = (!placed).then(|| EditError::WrongSection { name: name() });
        let l = self.lane();
        let or = |bad: fn(&LaneEntry) -> bool, f: EditError| l.filter(|l| bad(l)).map(|_| f);
        misplaced
            .or_else(|| or(|l| l.host.is_empty(), EditError::NoHost { name: name() }))
            .or_else(|| or(|l| !bounded(&l.prefix), EditError::Prefix { name: name() }))
            .or_else(|| or(|l| l.attempts == 0, EditError::NoAttempts { name: name() }))
            .or_else(|| {
                or(
                    |l| l.aim.0 >= l.timeout.0 + MAX_AIM_EXCESS.0,
                    EditError::AimExceedsTimeout { name: name() },
                )
            })
            .or_else(|| or(|l| l.weights.iter().all(|(_, w)| *w == 0), EditError::NoWeight { name: name() }))
    }
}

fn bounded(p: &str) -> bool {
    p.starts_with('/') && p.ends_with('/')
}
