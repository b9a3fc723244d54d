//! Header fields on their way through: what passes, and what stays behind.
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Fields in the order they came, repeated ones too. Invariant: names are in lower case.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Headers(Vec<(String, Vec<u8>)>);

/// Names only: values may be credentials, which are never logged.
impl fmt::Debug for Headers {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(|(n, _)| n)).finish()
    }
}

/// Between two hops only, or lanewing's own to say.
const HOP: [&str; 13] = [
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
/// Who is asking.
const CREDENTIALS: [&str; 2] = ["authorization", "cookie"];
/// A shared fill wants the whole, plainly, whatever its caller has already.
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
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.0.push((name.to_ascii_lowercase(), value.into()));
    }

    pub fn with(mut self, name: &str, value: impl Into<Vec<u8>>) -> Headers {
        self.push(name, value);
        self
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0.iter().map(|(n, v)| (n.as_str(), v.as_slice()))
    }

    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |(n, _)| *n == name).map(|(_, v)| v)
    }

    /// The first of that name, as text.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(n, _)| *n == name).and_then(|(_, v)| std::str::from_utf8(v).ok())
    }

    pub fn has(&self, name: &str) -> bool {
        self.iter().any(|(n, _)| n == name)
    }

    pub fn without(&self, drop: impl Fn(&str) -> bool) -> Headers {
        Headers(self.0.iter().filter(|(n, _)| !drop(n)).cloned().collect())
    }

    /// What goes on to the other end: not what belongs to one hop, nor what
    /// `Connection` names as such, nor lanewing's own words.
    pub fn end_to_end(&self) -> Headers {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|v| String::from_utf8_lossy(v).to_ascii_lowercase().into_bytes())
            .collect::<Vec<u8>>()
            .split(|b| *b == b',')
            .map(|s| String::from_utf8_lossy(s).trim().to_string())
            .collect();
        self.without(|n| {
            HOP.contains(&n) || n.starts_with("lanewing-") || named.iter().any(|c| c.as_str() == n)
        })
    }

    /// Carries credentials: what is answered may be for this caller alone.
    pub fn personal(&self) -> bool {
        CREDENTIALS.iter().any(|c| self.has(c))
    }

    /// As a fill sends them that is made for whoever asks.
    pub fn for_shared_fetch(&self) -> Headers {
        self.without(|n| CALLER_PREFERENCES.contains(&n) || CREDENTIALS.contains(&n))
    }

    pub fn bytes(&self) -> usize {
        self.0.iter().map(|(n, v)| n.len() + v.len() + 4).sum()
    }
}

/// What a keyed request was, and whose: the same key is the same request only if
/// these agree. A strong digest, so that nobody can make another's.
#[derive(Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 32]);

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Print({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

impl Fingerprint {
    pub fn of(method: &str, path: &str, heads: &Headers, body: &[u8]) -> Fingerprint {
        let who = CREDENTIALS.iter().flat_map(|c| heads.all(c).map(|v| (c.as_bytes(), v)));
        let who: Vec<&[u8]> = who.flat_map(|(c, v)| [c, v]).collect();
        let parts = [method.as_bytes(), path.as_bytes(), body].into_iter().chain(who);
        let mut h = Sha256::new();
        for p in parts {
            // Lengths first, so that no two lists of parts read the same.
            h.update((p.len() as u64).to_le_bytes());
            h.update(p);
        }
        Fingerprint(h.finalize().into())
    }
}
