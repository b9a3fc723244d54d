//! Writing an answer. Invariant: its length is always told, so one that was cut
//! short never looks complete.
use super::head::Persist;
use crate::front::Reply;
use crate::request_parser::token;
use std::io::{Error, ErrorKind, IoSlice, Result, Write};
use std::net::TcpStream;
use tiny_http::StatusCode;

/// Bodies up to here go out in one piece with their head.
const SMALL: usize = 16 << 10;
/// The door's own to say.
const OWN: [&str; 4] = ["connection", "keep-alive", "content-length", "transfer-encoding"];

/// Writes the head; fields that cannot be carried stay behind, and are named.
fn head(out: &mut Vec<u8>, r: &Reply, length: Option<usize>, p: Persist) -> Result<()> {
    write!(out, "HTTP/1.1 {} {}\r\n", r.status, StatusCode(r.status).default_reason_phrase())?;
    let mut left: Vec<&str> = vec![];
    for (n, v) in r.heads.iter().filter(|(n, _)| !OWN.contains(n)) {
        let plain = v.iter().all(|b| *b == b'\t' || !b.is_ascii_control());
        if !plain || !token(n) {
            left.push(if token(n) { n } else { "?" });
            continue;
        }
        [n.as_bytes(), b": ", v, b"\r\n"].iter().for_each(|p| out.extend_from_slice(p));
    }
    if !r.heads.has("server") {
        out.extend_from_slice(b"server: lanewing\r\n");
    }
    if !left.is_empty() {
        write!(out, "lanewing-left-out: {}\r\n", left.join(", "))?;
    }
    if let Some(n) = length {
        write!(out, "content-length: {n}\r\n")?;
    }
    out.extend_from_slice(match p {
        Persist::No => b"connection: close\r\n\r\n",
        Persist::Told => b"connection: keep-alive\r\n\r\n",
        Persist::Yes => b"\r\n",
    });
    Ok(())
}

/// Sends it whole, or fails. To a HEAD, and with 204 and 304, no body goes out.
pub fn send(s: &TcpStream, r: &Reply, asked_head: bool, p: Persist) -> Result<()> {
    let bare = asked_head || [204, 304].contains(&r.status);
    let body: &[u8] = if bare { &[] } else { &r.body };
    let length = match r.status {
        204 => None,
        304 => r.length,
        _ if bare => Some(r.length.unwrap_or(r.body.len())),
        _ => Some(body.len()),
    };
    let with = if body.len() <= SMALL { body.len() } else { 0 };
    let mut out = Vec::with_capacity(r.heads.bytes() + 160 + with);
    head(&mut out, r, length, p)?;
    out.extend_from_slice(&body[..with]);
    all(s, &out, &body[with..])
}

fn all(mut s: &TcpStream, head: &[u8], body: &[u8]) -> Result<()> {
    if body.is_empty() {
        return s.write_all(head);
    }
    let mut parts = [IoSlice::new(head), IoSlice::new(body)];
    let mut left = &mut parts[..];
    while !left.is_empty() {
        match s.write_vectored(left) {
            Ok(0) => return Err(Error::from(ErrorKind::WriteZero)),
            Ok(n) => IoSlice::advance_slices(&mut left, n),
            Err(e) if e.kind() == ErrorKind::Interrupted => (),
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
