//! Header fields, and which of them are forwarded.
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Fields in their original order, including repeated ones. Invariant: names are in lower case.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Headers(Vec<(String, Vec<u8>)>);

/// Shows names only: values may be credentials, which must not be logged.
impl fmt::Debug for Headers {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(|(name, _)| name)).finish()
    }
}

/// Fields that concern one hop only, or that lanewing sets itself.
const HOP_BY_HOP: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "http2-settings",
    "idempotency-key",
];
/// Fields that identify the caller.
const CREDENTIALS: [&str; 2] = ["authorization", "cookie"];
/// Left out of a fetch for a shared copy, which needs the complete response without encoding,
/// whatever the caller holds already.
const CALLER_PREFERENCES: [&str; 8] = [
    "accept-encoding",
    "if-match",
    "if-none-match",
    "if-modified-since",
    "if-unmodified-since",
    "if-range",
    "range",
    "cache-control",
];

impl Headers {
    /// Appends a field; its name is converted to lower case.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.0.push((name.to_ascii_lowercase(), value.into()));
    }

    /// The fields with one more appended.
    pub fn with(mut self, name: &str, value: impl Into<Vec<u8>>) -> Headers {
        self.push(name, value);
        self
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// The values of all fields of that name, which must be in lower case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |(field, _)| *field == name).map(|(_, value)| value)
    }

    /// The first value of that name, if it is UTF-8; the name must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(field, _)| *field == name).and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    pub fn has(&self, name: &str) -> bool {
        self.iter().any(|(field, _)| field == name)
    }

    /// The fields without those whose names satisfy `drop`.
    pub fn without(&self, drop: impl Fn(&str) -> bool) -> Headers {
        Headers(self.0.iter().filter(|(name, _)| !drop(name)).cloned().collect())
    }

    /// The fields to forward: neither hop-by-hop fields, nor those that `Connection` names, nor
    /// lanewing's own fields.
    pub fn end_to_end(&self) -> Headers {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|value| String::from_utf8_lossy(value).to_ascii_lowercase().into_bytes())
            .collect::<Vec<u8>>()
            .split(|byte| *byte == b',')
            .map(|name| String::from_utf8_lossy(name).trim().to_string())
            .collect();
        self.without(|name| {
            HOP_BY_HOP.contains(&name)
                || name.starts_with("lanewing-")
                || named.iter().any(|other| other.as_str() == name)
        })
    }

    /// Whether there are credentials: the response may be for this caller alone.
    pub fn personal(&self) -> bool {
        CREDENTIALS.iter().any(|name| self.has(name))
    }

    /// The fields of a fetch for a copy that is shared between callers.
    pub fn for_shared_fetch(&self) -> Headers {
        self.without(|name| CALLER_PREFERENCES.contains(&name) || CREDENTIALS.contains(&name))
    }

    /// Bytes of all fields, with four each for separators.
    pub fn bytes(&self) -> usize {
        self.0.iter().map(|(name, value)| name.len() + value.len() + 4).sum()
    }
}

/// Digest of a keyed request and its credentials: requests with the same key are the same request
/// only if these agree. A cryptographic hash, so that nobody can construct a request with the digest
/// of another.
#[derive(Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 32]);

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Print({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

impl Fingerprint {
    /// The digest of method, path, body and credentials.
    pub fn of(method: &str, path: &str, heads: &Headers, body: &[u8]) -> Fingerprint {
        let credentials =
            CREDENTIALS.iter().flat_map(|name| heads.all(name).map(|value| (name.as_bytes(), value)));
        let credentials: Vec<&[u8]> = credentials.flat_map(|(name, value)| [name, value]).collect();
        let parts = [method.as_bytes(), path.as_bytes(), body].into_iter().chain(credentials);
        let mut hasher = Sha256::new();
        for part in parts {
            // Each part after its length, so that two lists of parts never give the same bytes.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Fingerprint(hasher.finalize().into())
    }
}
