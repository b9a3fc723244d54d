//! Parses and validates requests of the HTTP library. A request that hops could interpret
//! differently is rejected and never forwarded.
mod syntax;

use crate::front::Reply;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use control_state::Headers;
use primitives::{parse, JsonError, Look};
use std::io::{Error, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use syntax::check_path;
pub(crate) use syntax::{framing, is_token, Body, UNENCODED};
use tiny_http::Request;

/// A validated request with its body.
pub struct Call {
    pub method: String,
    /// Path and query, without the leading `/`.
    pub path: String,
    /// Value of `Idempotency-Key`.
    pub key: Option<String>,
    /// All header fields, as received.
    pub heads: Headers,
    pub body: Vec<u8>,
    pub peer: Option<SocketAddr>,
    /// The memory reserved for the body.
    pub hold: Option<MemoryReservation>,
}

/// The response to a request that was rejected.
pub struct RequestRejection {
    pub reply: Reply,
    /// The connection must be closed: where the next request begins is not known.
    pub close_connection: bool,
}

fn rejection(status: u16, name: &str, why: &str, close_connection: bool) -> RequestRejection {
    RequestRejection { reply: Reply::problem(status, name, why), close_connection }
}

/// Maximum bytes of all header fields.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Maximum number of header fields.
const MAX_FIELDS: usize = 100;
/// Maximum bytes of the path with its query.
const MAX_PATH_BYTES: usize = 4000;
/// Maximum bytes of an idempotency key.
const MAX_KEY_BYTES: usize = 200;

impl Call {
    /// Parses the body as JSON with `read`; a failure is a 400 that names the field.
    pub fn json<T>(&self, read: impl FnOnce(&Look) -> Result<T, JsonError>) -> Result<T, Reply> {
        let body = String::from_utf8_lossy(&self.body);
        let invalid = |p: JsonError| Reply::problem(400, "invalid", p);
        parse(&body).and_then(|v| read(&Look::at(&v, ""))).map_err(invalid)
    }
}

fn fields(req: &Request) -> Result<Headers, RequestRejection> {
    let mut h = Headers::default();
    for f in req.headers() {
        let (n, v) = (f.field.as_str().as_str(), f.value.as_str());
        let control = v.bytes().any(|b| b != b'\t' && b.is_ascii_control());
        if !is_token(n) || control {
            return Err(rejection(
                400,
                "invalid",
                "a header field has characters that are not allowed",
                true,
            ));
        }
        h.push(n, v);
    }
    if h.bytes() > MAX_HEADER_BYTES || req.headers().len() > MAX_FIELDS {
        return Err(rejection(431, "too large", "the header may have at most 16 KiB in 100 fields", true));
    }
    Ok(h)
}

/// The request's idempotency key, if any.
fn idempotency_key(h: &Headers) -> Result<Option<String>, &'static str> {
    let values: Vec<&[u8]> = h.all("idempotency-key").collect();
    let valid = |k: &[u8]| !k.is_empty() && k.len() <= MAX_KEY_BYTES && k.iter().all(u8::is_ascii_graphic);
    match values.as_slice() {
        [] => Ok(None),
        [k] if valid(k) => Ok(Some(String::from_utf8_lossy(k).to_string())),
        [_] => Err("Idempotency-Key must have 1 to 200 printable characters"),
        _ => Err("Idempotency-Key is given more than once"),
    }
}

/// Reads a body of `size` bytes, or up to one byte more than `max` if the size is not known.
/// None if it ended early.
fn read_bytes(r: &mut dyn Read, size: Option<usize>, max: usize) -> Result<Option<Vec<u8>>, Error> {
    let mut body = vec![];
    let n = r.take(size.unwrap_or(max + 1) as u64).read_to_end(&mut body)?;
    let truncated = size.is_some_and(|s| n < s);
    Ok((!truncated).then_some(body))
}

/// A validated head; the body has not been read yet.
pub struct Head {
    method: String,
    path: String,
    key: Option<String>,
    heads: Headers,
    /// Length of the body in bytes; None if it is chunked.
    size: Option<usize>,
}

/// Validates a request's head; `max_body` is in bytes. Never waits, so that heads can be
/// examined one after the other in the order received.
pub fn parse_head(req: &Request, max_body: usize) -> Result<Head, RequestRejection> {
    let heads = fields(req)?;
    let invalid = |why: &str| rejection(400, "invalid", why, false);
    let framing = framing(&heads).map_err(|why| rejection(400, "invalid", why, true))?;
    let method = req.method().as_str().to_string();
    if heads.all("host").count() > 1 || (*req.http_version() >= (1u8, 1u8) && !heads.has("host")) {
        return Err(invalid("exactly one Host field is required"));
    }
    if req.url().len() > MAX_PATH_BYTES {
        return Err(rejection(414, "too large", "the path may have at most 4000 bytes", false));
    }
    check_path(req.url()).map_err(invalid)?;
    let key = idempotency_key(&heads).map_err(invalid)?;
    let supported = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];
    if !supported.contains(&method.as_str()) {
        return Err(rejection(405, "denied", "this method is not supported", true));
    }
    let upgrade = heads.get("connection").is_some_and(|c| c.to_ascii_lowercase().contains("upgrade"));
    let size = match framing {
        Body::None => Some(0),
        Body::Sized(n) if n > max_body => return Err(body_too_large(max_body)),
        Body::Sized(n) => Some(n),
        // The library would read until the connection ends.
        Body::Chunked if upgrade => {
            return Err(rejection(
                400,
                "invalid",
                "a request with an upgrade cannot have a chunked body",
                true,
            ))
        }
        Body::Chunked => None,
    };
    let bodiless = ["GET", "HEAD", "OPTIONS"].contains(&method.as_str());
    if bodiless && size != Some(0) {
        return Err(rejection(400, "invalid", "a request of this method cannot have a body", true));
    }
    Ok(Head { method, path: req.url()[1..].to_string(), key, heads, size })
}

/// Rejects a body of more than `max` bytes.
pub(crate) fn body_too_large(max: usize) -> RequestRejection {
    rejection(413, "too large", &format!("the body may have at most {max} bytes"), true)
}

/// Reads the body of at most `max_body` bytes, with its memory reserved in `budget`. Has no
/// timeout of its own: the connection monitor ends a connection that is too slow.
pub fn read_body(
    req: &mut Request,
    head: Head,
    max_body: usize,
    budget: &Arc<MemoryBudget>,
) -> Result<Call, RequestRejection> {
    let Head { method, path, key, heads, size } = head;
    let no_memory = || {
        let reply =
            Reply::problem(503, "denied", "no memory is available for the request body at present").after(1);
        RequestRejection { reply, close_connection: true }
    };
    let hold = budget.reserve(size.unwrap_or(max_body), Duration::from_secs(1)).ok_or_else(no_memory)?;
    let peer = req.remote_addr().copied();
    let body = if size == Some(0) { Ok(Some(vec![])) } else { read_bytes(req.as_reader(), size, max_body) };
    match body {
        Ok(Some(body)) if body.len() > max_body => Err(body_too_large(max_body)),
        Ok(Some(body)) => Ok(Call { method, path, key, heads, body, peer, hold: Some(hold) }),
        _ => Err(rejection(400, "invalid", "the connection ended before the body was complete", true)),
    }
}
