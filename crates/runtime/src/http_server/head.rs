//! A request's head: one reading of it, or none.
use super::Limits;
use crate::front::Reply;
use crate::request_parser::{framing, large, Body, UNENCODED};
use control_state::Headers;
use httparse::{Error, Request, Status, EMPTY_HEADER};

/// What becomes of the connection after the answer.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Persist {
    No,
    /// As HTTP/1.1 has it unless told otherwise.
    Yes,
    /// An HTTP/1.0 caller asked for it and is told that it is so.
    Told,
}

/// A head, checked; its body is still to come.
pub struct Head {
    pub method: String,
    pub target: String,
    pub host: String,
    pub heads: Headers,
    pub body: Body,
    pub persist: Persist,
    /// It waits for a 100 before it sends its body.
    pub expects_continue: bool,
}

const FIELDS: usize = 100;
const TARGET: usize = 8000;

fn bad(why: &str) -> Reply {
    Reply::problem(400, "invalid", why)
}

/// The head's length, once all of it is there. `seen` bytes were looked at before.
pub fn end(b: &[u8], seen: &mut usize) -> Result<Option<usize>, Reply> {
    let mut at = *seen;
    while let Some(i) = b[at..].iter().position(|c| *c == b'\n').map(|p| at + p) {
        if i == 0 || b[i - 1] != b'\r' {
            return Err(bad("a line does not end in CRLF"));
        }
        if i == 1 || b[i - 2] == b'\n' {
            return Ok(Some(i + 1));
        }
        at = i + 1;
    }
    *seen = b.len();
    Ok(None)
}

/// Why `b`, which is no whole head yet, has become too long for one.
pub fn long(b: &[u8], most: usize) -> Reply {
    if b.contains(&b'\n') {
        return Reply::problem(431, "too large", format!("a head may have {most} bytes"));
    }
    Reply::problem(414, "too large", format!("the path may have {TARGET} bytes"))
}

fn names(h: &Headers, field: &str, word: &str) -> bool {
    let is = |s: &[u8]| s.trim_ascii().eq_ignore_ascii_case(word.as_bytes());
    h.all(field).any(|v| v.split(|b| *b == b',').any(is))
}

fn host(h: &Headers, old: bool) -> Result<String, Reply> {
    let good = |v: &[u8]| v.iter().all(|b| b.is_ascii_graphic() && !b"/\\@?#,\"<>".contains(b));
    let mut all = h.all("host");
    match (all.next(), all.next()) {
        (Some(v), None) if good(v) => Ok(String::from_utf8_lossy(v).into_owned()),
        (None, None) if old => Ok(String::new()),
        _ => Err(bad("one Host is wanted")),
    }
}

fn persist(h: &Headers, old: bool) -> Persist {
    match (names(h, "connection", "close"), old) {
        (false, false) => Persist::Yes,
        (false, true) if names(h, "connection", "keep-alive") => Persist::Told,
        _ => Persist::No,
    }
}

/// Invariant: `b` ends where `end` says.
pub fn parse(b: &[u8], l: &Limits) -> Result<Head, Reply> {
    let mut all = [EMPTY_HEADER; FIELDS];
    let mut r = Request::new(&mut all);
    match r.parse(b) {
        Ok(Status::Complete(n)) if n == b.len() => (),
        Err(Error::TooManyHeaders) => {
            return Err(Reply::problem(431, "too large", format!("a head may have {FIELDS} fields")))
        }
        Err(e) => return Err(bad(&format!("the head is malformed: {e}"))),
        Ok(_) => return Err(bad("the head is malformed")),
    }
    let (method, target) = (r.method.unwrap_or_default(), r.path.unwrap_or_default());
    if ["CONNECT", "TRACE"].contains(&method) {
        return Err(Reply::problem(405, "denied", "not a method that is served here"));
    }
    if target.len() > TARGET {
        return Err(long(b"", l.heads));
    }
    if !target.starts_with('/') || !target.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(bad("the target should start with / and be printable ASCII"));
    }
    if target.contains(UNENCODED) {
        return Err(bad("the target has characters that should be encoded"));
    }
    let mut heads = Headers::default();
    r.headers.iter().for_each(|h| heads.push(h.name, h.value));
    let old = r.version == Some(0);
    let body = framing(&heads).map_err(bad)?;
    match &body {
        Body::Chunked if old => return Err(bad("HTTP/1.0 has no chunks")),
        Body::Sized(n) if *n > l.body => return Err(large(l.body).reply),
        _ => (),
    }
    let expects_continue = !old && heads.has("expect");
    if expects_continue && !heads.all("expect").all(|v| v.eq_ignore_ascii_case(b"100-continue")) {
        return Err(Reply::problem(417, "denied", "only 100-continue can be expected"));
    }
    let (host, persist) = (host(&heads, old)?, persist(&heads, old));
    Ok(Head { method: method.into(), target: target.into(), host, heads, body, persist, expects_continue })
}
