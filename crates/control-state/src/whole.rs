//! A complete response of an origin, and digests of content.
use crate::headers::Headers;
use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256, Sha512};
use std::any::Any;
use std::fmt;
use std::sync::Arc;

/// A reservation of memory, released when its last clone is dropped.
#[derive(Clone, Default)]
pub struct MemoryHold(pub Option<Arc<dyn Any + Send + Sync>>);

impl fmt::Debug for MemoryHold {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(if self.0.is_some() { "held" } else { "free" })
    }
}

/// Always equal: a reservation is not part of the response.
impl PartialEq for MemoryHold {
    fn eq(&self, _: &MemoryHold) -> bool {
        true
    }
}
impl Eq for MemoryHold {}

/// A complete response. Invariant: `heads` has only end-to-end fields, and the body is complete.
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

    /// A copy without its reservation, to be stored where memory is limited by other means.
    pub fn kept(&self) -> Whole {
        Whole { hold: MemoryHold::default(), ..self.clone() }
    }

    /// Bytes of body and header fields.
    pub fn size(&self) -> usize {
        self.body.len() + self.heads.bytes()
    }
}

/// Whether all digests in the field agree; digests of unsupported algorithms are ignored.
fn digest_agrees(field: Option<&str>, body: &[u8]) -> bool {
    let expected = |name: &str| match name {
        "sha-256" => Some(BASE64_STANDARD.encode(Sha256::digest(body))),
        "sha-512" => Some(BASE64_STANDARD.encode(Sha512::digest(body))),
        _ => None,
    };
    let agrees = |entry: &str| {
        let (name, value) = entry.trim().split_once('=').unwrap_or((entry, ""));
        expected(&name.to_ascii_lowercase()).is_none_or(|digest| value == format!(":{digest}:"))
    };
    field.is_none_or(|f| f.split(',').all(agrees))
}

/// Whether the body agrees with the digests in the header fields.
pub fn content_digests_match(heads: &Headers, status: u16, body: &[u8]) -> bool {
    // The digest of the representation cannot be checked against a part of it.
    let repr = heads.get("repr-digest").filter(|_| status == 200);
    digest_agrees(heads.get("content-digest"), body) && digest_agrees(repr, body)
}

/// The SHA-256 digest in the format of `Content-Digest`.
pub fn digest(body: &[u8]) -> String {
    format!("sha-256=:{}:", BASE64_STANDARD.encode(Sha256::digest(body)))
}
