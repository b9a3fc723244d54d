//! Writes responses. Invariant: the length of a body is always declared, so a truncated
//! response never looks complete.
use super::head::Persist;
use crate::front::Reply;
use crate::request_parser::is_token;
use std::io::{Error, ErrorKind, IoSlice, Result, Write};
use std::net::TcpStream;
use tiny_http::StatusCode;

/// Bodies of up to this many bytes are sent in one write with their head.
const INLINE_BODY_MAX: usize = 16 << 10;
/// Header fields that only the server sets.
const SERVER_FIELDS: [&str; 4] = ["connection", "keep-alive", "content-length", "transfer-encoding"];

/// Appends the head to `out`. Fields that are not valid in HTTP/1.1 are omitted and their
/// names listed in `lanewing-left-out`.
fn head(out: &mut Vec<u8>, r: &Reply, length: Option<usize>, persist: Persist) -> Result<()> {
    write!(out, "HTTP/1.1 {} {}\r\n", r.status, StatusCode(r.status).default_reason_phrase())?;
    let mut omitted: Vec<&str> = vec![];
    for (n, v) in r.heads.iter().filter(|(n, _)| !SERVER_FIELDS.contains(n)) {
        let valid = v.iter().all(|b| *b == b'\t' || !b.is_ascii_control());
        if !valid || !is_token(n) {
            omitted.push(if is_token(n) { n } else { "?" });
            continue;
        }
        [n.as_bytes(), b": ", v, b"\r\n"].iter().for_each(|p| out.extend_from_slice(p));
    }
    if !r.heads.has("server") {
        out.extend_from_slice(b"server: lanewing\r\n");
    }
    if !omitted.is_empty() {
        write!(out, "lanewing-left-out: {}\r\n", omitted.join(", "))?;
    }
    if let Some(n) = length {
        write!(out, "content-length: {n}\r\n")?;
    }
    out.extend_from_slice(match persist {
        Persist::No => b"connection: close\r\n\r\n",
        Persist::Announced => b"connection: keep-alive\r\n\r\n",
        Persist::Yes => b"\r\n",
    });
    Ok(())
}

/// Sends the whole response, or fails. The response to a HEAD, a 204 and a 304 has no body.
/// `persist` decides the `connection` field.
pub fn send(s: &TcpStream, r: &Reply, is_head: bool, persist: Persist) -> Result<()> {
    let bodiless = is_head || [204, 304].contains(&r.status);
    let body: &[u8] = if bodiless { &[] } else { &r.body };
    let length = match r.status {
        204 => None,
        304 => r.length,
        _ if bodiless => Some(r.length.unwrap_or(r.body.len())),
        _ => Some(body.len()),
    };
    let inlined = if body.len() <= INLINE_BODY_MAX { body.len() } else { 0 };
    let mut out = Vec::with_capacity(r.heads.bytes() + 160 + inlined);
    head(&mut out, r, length, persist)?;
    out.extend_from_slice(&body[..inlined]);
    write_parts(s, &out, &body[inlined..])
}

/// Writes `head` and `body` completely, without copying them together.
fn write_parts(mut s: &TcpStream, head: &[u8], body: &[u8]) -> Result<()> {
    if body.is_empty() {
        return s.write_all(head);
    }
    let mut parts = [IoSlice::new(head), IoSlice::new(body)];
    let mut unsent = &mut parts[..];
    while !unsent.is_empty() {
        match s.write_vectored(unsent) {
            Ok(0) => return Err(Error::from(ErrorKind::WriteZero)),
            Ok(n) => IoSlice::advance_slices(&mut unsent, n),
            Err(e) if e.kind() == ErrorKind::Interrupted => (),
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
