//! Taking a request apart: what is not plainly one request is denied, unsent.
use crate::front::Reply;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use control_state::Headers;
use primitives::{parse, JsonError, Look};
use std::io::{Error, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tiny_http::Request;

/// A request taken apart.
pub struct Call {
    pub method: String,
    pub path: String,
    pub key: Option<String>,
    /// All fields, as they came.
    pub heads: Headers,
    pub body: Vec<u8>,
    pub peer: Option<SocketAddr>,
    /// The body's room.
    pub hold: Option<MemoryReservation>,
}

/// Why it is not taken; with `cut`, the connection cannot be trusted any more.
pub struct RequestRejection {
    pub reply: Reply,
    pub cut: bool,
}

fn amiss(status: u16, name: &str, why: &str, cut: bool) -> RequestRejection {
    RequestRejection { reply: Reply::problem(status, name, why), cut }
}

const HEADS: usize = 16 << 10;
const FIELDS: usize = 100;
const PATH: usize = 4000;
const KEY: usize = 200;

impl Call {
    pub fn json<T>(&self, read: impl FnOnce(&Look) -> Result<T, JsonError>) -> Result<T, Reply> {
        let s = String::from_utf8_lossy(&self.body);
        let bad = |p: JsonError| Reply::problem(400, "invalid", p);
        parse(&s).and_then(|v| read(&Look::at(&v, ""))).map_err(bad)
    }
}

/// How the body is framed, if that can be told beyond doubt.
pub(crate) enum Body {
    None,
    Sized(usize),
    Chunked,
}

pub(crate) fn framing(h: &Headers) -> Result<Body, &'static str> {
    let (lengths, codings) = (h.all("content-length").collect::<Vec<_>>(), h.all("transfer-encoding"));
    let codings: Vec<String> = codings.map(|v| String::from_utf8_lossy(v).to_ascii_lowercase()).collect();
    let digits = |v: &[u8]| v.len() <= 15 && !v.is_empty() && v.iter().all(u8::is_ascii_digit);
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(Body::None),
        ([n], []) if digits(n) => {
            Ok(Body::Sized(std::str::from_utf8(n).ok().and_then(|n| n.parse().ok()).unwrap_or(usize::MAX)))
        }
        ([], [c]) if c == "chunked" => Ok(Body::Chunked),
        ([_], []) => Err("Content-Length is not a number"),
        ([], _) => Err("only one Transfer-Encoding, chunked, is understood"),
        (_, []) => Err("Content-Length is given more than once"),
        _ => Err("Content-Length beside Transfer-Encoding"),
    }
}

/// What no target has unless encoded (RFC 3986, 2): hops differ on what they make of it, and
/// the client's library drops a fragment and sends none of the others.
pub(crate) const UNENCODED: [char; 5] = ['"', '#', '<', '>', '`'];

/// A path that every hop reads alike.
fn straight(url: &str) -> Result<(), &'static str> {
    let path = url.split('?').next().unwrap_or("");
    let odd = |c: char| c.is_ascii_control() || c == ' ' || c == '\\' || !c.is_ascii();
    if !url.starts_with('/') || url.starts_with("//") {
        return Err("the path should start with one /");
    }
    if url.chars().any(odd) || url.contains(UNENCODED) {
        return Err("the path has characters that should be encoded");
    }
    let low = path.to_ascii_lowercase();
    if ["%2f", "%5c", "%00", "%2e"].iter().any(|e| low.contains(e)) {
        return Err("the path has an encoded separator or dot");
    }
    let hex = |s: &str| s.len() >= 2 && s.as_bytes()[..2].iter().all(u8::is_ascii_hexdigit);
    if url.split('%').skip(1).any(|s| !hex(s)) {
        return Err("the path has a broken encoding");
    }
    let dots = path.split('/').any(|s| s == "." || s == "..");
    (!dots).then_some(()).ok_or("the path has . or .. in it")
}

pub(crate) fn token(n: &str) -> bool {
    !n.is_empty() && n.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

fn fields(req: &Request) -> Result<Headers, RequestRejection> {
    let mut h = Headers::default();
    for f in req.headers() {
        let (n, v) = (f.field.as_str().as_str(), f.value.as_str());
        let control = v.bytes().any(|b| b != b'\t' && b.is_ascii_control());
        if !token(n) || control {
            return Err(amiss(400, "invalid", "a header has characters that cannot stand there", true));
        }
        h.push(n, v);
    }
    if h.bytes() > HEADS || req.headers().len() > FIELDS {
        return Err(amiss(431, "too large", "headers may have 16 KiB in 100 fields", true));
    }
    Ok(h)
}

/// One key, if any, of printable characters.
fn key(h: &Headers) -> Result<Option<String>, &'static str> {
    let all: Vec<&[u8]> = h.all("idempotency-key").collect();
    let good = |k: &[u8]| !k.is_empty() && k.len() <= KEY && k.iter().all(u8::is_ascii_graphic);
    match all.as_slice() {
        [] => Ok(None),
        [k] if good(k) => Ok(Some(String::from_utf8_lossy(k).to_string())),
        [_] => Err("Idempotency-Key should be 1 to 200 printable characters"),
        _ => Err("Idempotency-Key is given more than once"),
    }
}

fn fill(r: &mut dyn Read, size: Option<usize>, most: usize) -> Result<Option<Vec<u8>>, Error> {
    let mut body = vec![];
    let n = r.take(size.unwrap_or(most + 1) as u64).read_to_end(&mut body)?;
    let short = size.is_some_and(|s| n < s);
    Ok((!short).then_some(body))
}

/// A request's head, checked; its body is still to come.
pub struct Head {
    method: String,
    path: String,
    key: Option<String>,
    heads: Headers,
    /// None if it comes in chunks.
    size: Option<usize>,
}

/// Never waits, so heads can be looked at one after the other, in their order.
pub fn head(req: &Request, most: usize) -> Result<Head, RequestRejection> {
    let heads = fields(req)?;
    let invalid = |why: &str| amiss(400, "invalid", why, false);
    let framed = framing(&heads).map_err(|why| amiss(400, "invalid", why, true))?;
    let method = req.method().as_str().to_string();
    if heads.all("host").count() > 1 || (*req.http_version() >= (1u8, 1u8) && !heads.has("host")) {
        return Err(invalid("one Host is wanted"));
    }
    if req.url().len() > PATH {
        return Err(amiss(414, "too large", "the path may have 4000 bytes", false));
    }
    straight(req.url()).map_err(invalid)?;
    let key = key(&heads).map_err(invalid)?;
    let known = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];
    if !known.contains(&method.as_str()) {
        return Err(amiss(405, "denied", "not a method that is served here", true));
    }
    let upgrade = heads.get("connection").is_some_and(|c| c.to_ascii_lowercase().contains("upgrade"));
    let size = match framed {
        Body::None => Some(0),
        Body::Sized(n) if n > most => return Err(large(most)),
        Body::Sized(n) => Some(n),
        // The library would read on to the connection's end.
        Body::Chunked if upgrade => {
            return Err(amiss(400, "invalid", "a chunked body beside an upgrade", true))
        }
        Body::Chunked => None,
    };
    let bare = ["GET", "HEAD", "OPTIONS"].contains(&method.as_str());
    if bare && size != Some(0) {
        return Err(amiss(400, "invalid", "this method takes no body", true));
    }
    Ok(Head { method, path: req.url()[1..].to_string(), key, heads, size })
}

pub(crate) fn large(most: usize) -> RequestRejection {
    amiss(413, "too large", &format!("bodies may have {most} bytes"), true)
}

/// Reads the body, which may take as long as its sender likes.
pub fn take(
    req: &mut Request,
    h: Head,
    most: usize,
    room: &Arc<MemoryBudget>,
) -> Result<Call, RequestRejection> {
    let Head { method, path, key, heads, size } = h;
    let busy = || {
        let reply = Reply::problem(503, "denied", "no room for the body now").after(1);
        RequestRejection { reply, cut: true }
    };
    let hold = room.take(size.unwrap_or(most), Duration::from_secs(1)).ok_or_else(busy)?;
    let peer = req.remote_addr().copied();
    let got = if size == Some(0) { Ok(Some(vec![])) } else { fill(req.as_reader(), size, most) };
    match got {
        Ok(Some(body)) if body.len() > most => Err(large(most)),
        Ok(Some(body)) => Ok(Call { method, path, key, heads, body, peer, hold: Some(hold) }),
        _ => Err(amiss(400, "invalid", "the body broke off", true)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn given_paths_that_hops_may_read_differently_then_they_are_denied() {
        for good in ["/offers/x", "/offers/a%20b?q=%2F..", "/o//x", "/", "/o/...x"] {
            assert_eq!(straight(good), Ok(()), "{good}");
        }
        for bad in ["", "offers", "//offers", "http://h/offers", "/o/../pay", "/o/./x", "/o/%2e%2e/pay"] {
            assert!(straight(bad).is_err(), "{bad}");
        }
        for bad in ["/o%2Fx", "/o%5cx", "/o\\x", "/o%00", "/o%zz", "/o%2", "/o#f", "/o\u{7f}", "/o x"] {
            assert!(straight(bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn given_framing_in_doubt_then_it_is_denied() {
        let h = |l: &[(&str, &str)]| l.iter().fold(Headers::default(), |h, (n, v)| h.with(n, *v));
        assert!(framing(&h(&[("content-length", "5")])).is_ok());
        assert!(framing(&h(&[("transfer-encoding", "Chunked")])).is_ok());
        for bad in [
            vec![("content-length", "5"), ("content-length", "5")],
            vec![("content-length", "5"), ("transfer-encoding", "chunked")],
            vec![("content-length", "+5")],
            vec![("content-length", "5, 5")],
            vec![("content-length", "99999999999999999999")],
            vec![("transfer-encoding", "gzip, chunked")],
            vec![("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")],
        ] {
            assert!(framing(&h(&bad)).is_err(), "{bad:?}");
        }
    }
}
