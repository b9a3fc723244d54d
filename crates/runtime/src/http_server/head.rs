//! Parses a request's head. A head that can be read in more than one way is rejected.
use super::Limits;
use crate::front::Reply;
use crate::request_parser::{body_too_large, framing, Body, UNENCODED};
use control_state::Headers;
use httparse::{Error, Request, Status, EMPTY_HEADER};

/// Whether the connection stays open after the response.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Persist {
    No,
    /// The default of HTTP/1.1; needs no `connection` field.
    Yes,
    /// Requested by an HTTP/1.0 caller, and confirmed with `connection: keep-alive`.
    Announced,
}

/// A validated head; the body has not been read yet.
pub struct Head {
    pub method: String,
    pub target: String,
    pub host: String,
    pub heads: Headers,
    pub body: Body,
    pub persist: Persist,
    /// The caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The caller understands interim responses.
    pub accepts_interim: bool,
}

/// Maximum number of header fields.
const MAX_FIELDS: usize = 100;
/// Maximum bytes of the request target.
const MAX_TARGET_BYTES: usize = 8000;

fn invalid(why: &str) -> Reply {
    Reply::problem(400, "invalid", why)
}

/// The head's length including its empty line, once `b` holds all of it. The first `scanned`
/// bytes were examined by an earlier call.
pub fn length(b: &[u8], scanned: &mut usize) -> Result<Option<usize>, Reply> {
    let mut at = *scanned;
    while let Some(i) = b[at..].iter().position(|c| *c == b'\n').map(|p| at + p) {
        if i == 0 || b[i - 1] != b'\r' {
            return Err(invalid("a line of the head does not end in CRLF"));
        }
        if i == 1 || b[i - 2] == b'\n' {
            return Ok(Some(i + 1));
        }
        at = i + 1;
    }
    *scanned = b.len();
    Ok(None)
}

/// The response to an incomplete head `b` that has exceeded the limit of `max` bytes.
pub fn too_long(b: &[u8], max: usize) -> Reply {
    if b.contains(&b'\n') {
        return Reply::problem(431, "too large", format!("the head may have at most {max} bytes"));
    }
    Reply::problem(414, "too large", format!("the request target may have at most {MAX_TARGET_BYTES} bytes"))
}

/// Whether the comma-separated list in `field` contains `token`, ignoring case.
fn has_token(h: &Headers, field: &str, token: &str) -> bool {
    let matches = |s: &[u8]| s.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
    h.all(field).any(|v| v.split(|b| *b == b',').any(matches))
}

fn host(h: &Headers, http_1_0: bool) -> Result<String, Reply> {
    let valid = |v: &[u8]| v.iter().all(|b| b.is_ascii_graphic() && !b"/\\@?#,\"<>".contains(b));
    let mut all = h.all("host");
    match (all.next(), all.next()) {
        (Some(v), None) if valid(v) => Ok(String::from_utf8_lossy(v).into_owned()),
        (None, None) if http_1_0 => Ok(String::new()),
        _ => Err(invalid("exactly one valid Host field is required")),
    }
}

fn persist(h: &Headers, http_1_0: bool) -> Persist {
    match (has_token(h, "connection", "close"), http_1_0) {
        (false, false) => Persist::Yes,
        (false, true) if has_token(h, "connection", "keep-alive") => Persist::Announced,
        _ => Persist::No,
    }
}

/// Parses a complete head. Invariant: `b` has the length that `length` returned.
pub fn parse(b: &[u8], limits: &Limits) -> Result<Head, Reply> {
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    let mut request = Request::new(&mut fields);
    match request.parse(b) {
        Ok(Status::Complete(n)) if n == b.len() => (),
        Err(Error::TooManyHeaders) => {
            return Err(Reply::problem(
                431,
                "too large",
                format!("the head may have at most {MAX_FIELDS} header fields"),
            ))
        }
        Err(e) => return Err(invalid(&format!("the head is malformed: {e}"))),
        Ok(_) => return Err(invalid("the head is malformed")),
    }
    let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
    if ["CONNECT", "TRACE"].contains(&method) {
        return Err(Reply::problem(405, "denied", "this method is not supported"));
    }
    if target.len() > MAX_TARGET_BYTES {
        return Err(too_long(b"", limits.heads));
    }
    if !target.starts_with('/') || !target.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(invalid("the request target must start with / and be printable ASCII"));
    }
    if target.contains(UNENCODED) {
        return Err(invalid("the request target has characters that must be percent-encoded"));
    }
    let mut heads = Headers::default();
    request.headers.iter().for_each(|h| heads.push(h.name, h.value));
    let http_1_0 = request.version == Some(0);
    let body = framing(&heads).map_err(invalid)?;
    match &body {
        Body::Chunked if http_1_0 => return Err(invalid("HTTP/1.0 has no chunked bodies")),
        Body::Sized(n) if *n > limits.body => return Err(body_too_large(limits.body).reply),
        _ => (),
    }
    let expects_continue = !http_1_0 && heads.has("expect");
    if expects_continue && !heads.all("expect").all(|v| v.eq_ignore_ascii_case(b"100-continue")) {
        return Err(Reply::problem(417, "denied", "the only supported expectation is 100-continue"));
    }
    let (host, persist) = (host(&heads, http_1_0)?, persist(&heads, http_1_0));
    let (method, target, accepts_interim) = (method.into(), target.into(), !http_1_0);
    Ok(Head { method, target, host, heads, body, persist, expects_continue, accepts_interim })
}
