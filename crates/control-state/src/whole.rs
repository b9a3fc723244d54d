//! A whole answer as it came from an origin.
use crate::headers::Headers;
use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256, Sha512};
use std::any::Any;
use std::fmt;
use std::sync::Arc;

/// Room in memory that is given back once nobody holds this any more.
#[derive(Clone, Default)]
pub struct MemoryHold(pub Option<Arc<dyn Any + Send + Sync>>);

impl fmt::Debug for MemoryHold {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(if self.0.is_some() { "held" } else { "free" })
    }
}

/// Says nothing of the answer itself.
impl PartialEq for MemoryHold {
    fn eq(&self, _: &MemoryHold) -> bool {
        true
    }
}
impl Eq for MemoryHold {}

/// Invariant: `heads` are end-to-end only, and the body is all there was.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Whole {
    pub status: u16,
    pub heads: Headers,
    pub body: Arc<Vec<u8>>,
    #[serde(skip)]
    pub hold: MemoryHold,
}

impl Whole {
    pub fn new(status: u16, mime: &str, body: Vec<u8>) -> Whole {
        let heads = Headers::default().with("content-type", mime);
        Whole { status, heads, body: Arc::new(body), hold: MemoryHold::default() }
    }

    /// To be kept where another account bounds the memory.
    pub fn kept(&self) -> Whole {
        Whole { hold: MemoryHold::default(), ..self.clone() }
    }

    pub fn size(&self) -> usize {
        self.body.len() + self.heads.bytes()
    }
}

/// Every digest given of a sort we can reckon must agree.
fn digest_agrees(field: Option<&str>, body: &[u8]) -> bool {
    let mine = |name: &str| match name {
        "sha-256" => Some(BASE64_STANDARD.encode(Sha256::digest(body))),
        "sha-512" => Some(BASE64_STANDARD.encode(Sha512::digest(body))),
        _ => None,
    };
    let one = |d: &str| {
        let (name, v) = d.trim().split_once('=').unwrap_or((d, ""));
        mine(&name.to_ascii_lowercase()).is_none_or(|m| v == format!(":{m}:"))
    };
    field.is_none_or(|f| f.split(',').all(one))
}

/// Whether these bytes are what their origin's fields say of them.
pub fn content_digests_match(heads: &Headers, status: u16, body: &[u8]) -> bool {
    // A part's digest of the whole cannot be reckoned here.
    let repr = heads.get("repr-digest").filter(|_| status == 200);
    digest_agrees(heads.get("content-digest"), body) && digest_agrees(repr, body)
}

/// As `Content-Digest` has it.
pub fn digest(body: &[u8]) -> String {
    format!("sha-256=:{}:", BASE64_STANDARD.encode(Sha256::digest(body)))
}
