//! Reads an origin's response. An incomplete or inconsistent response is not used at all.
use crate::origin_client::peer_closed;
use control_state::{content_digests_match, Headers, Whole};
use std::io::Read;
use std::sync::Arc;
use ureq::http::{HeaderMap, Response};

/// Result of reading a response.
pub enum ResponseRead {
    Complete(Whole),
    /// The body exceeds the limit.
    TooLarge,
    /// Incomplete, ambiguously framed or not matching its length or digest, or there was no memory
    /// for it.
    Broken,
}

/// How the end of the body is determined.
enum Framing {
    Sized(u64),
    Chunked,
    /// The body ends with the connection. If that ends in order, the body is complete.
    UntilClose,
    /// No body, whatever the header fields say.
    Bodiless,
    Ambiguous,
}

fn framing(method: &str, status: u16, h: &HeaderMap) -> Framing {
    let values = |n: &str| -> Vec<String> {
        h.get_all(n).iter().map(|v| String::from_utf8_lossy(v.as_bytes()).trim().to_string()).collect()
    };
    let (lengths, codings) = (values("content-length"), values("transfer-encoding"));
    let bodiless = method == "HEAD" || status == 204 || status == 304;
    match (lengths.as_slice(), codings.as_slice()) {
        (_, []) | ([], _) if bodiless => Framing::Bodiless,
        ([n], []) => n.parse().map_or(Framing::Ambiguous, Framing::Sized),
        ([], [c]) if c.eq_ignore_ascii_case("chunked") => Framing::Chunked,
        ([], []) => Framing::UntilClose,
        // Two lengths, a length together with a coding, or an unknown coding.
        _ => Framing::Ambiguous,
    }
}

/// Bytes read and reserved at a time.
const READ_STEP: usize = 256 << 10;

/// Reads the response to a request of `method`, with a body of at most `max_body` bytes.
/// `reserve` reserves memory for a total number of bytes, or returns false.
pub fn read_response(
    method: &str,
    resp: &mut Response<ureq::Body>,
    max_body: usize,
    reserve: &mut dyn FnMut(usize) -> bool,
) -> ResponseRead {
    let status = resp.status().as_u16();
    let framing = framing(method, status, resp.headers());
    let mut heads = Headers::default();
    resp.headers().iter().for_each(|(n, v)| heads.push(n.as_str(), v.as_bytes()));
    let complete_response = |body: Vec<u8>, heads: &Headers| {
        // The response to a HEAD has no body, so its length is kept in a field of its own.
        let length = heads.get("content-length").filter(|_| method == "HEAD").map(str::to_string);
        let mut forwarded = heads.end_to_end();
        length.into_iter().for_each(|n| forwarded.push("lanewing-length", n));
        ResponseRead::Complete(Whole { status, heads: forwarded, body: Arc::new(body), ..Whole::default() })
    };
    let until_close = matches!(framing, Framing::UntilClose);
    let size = match framing {
        Framing::Bodiless => return complete_response(vec![], &heads),
        Framing::Ambiguous => return ResponseRead::Broken,
        Framing::Sized(n) if n > max_body as u64 => return ResponseRead::TooLarge,
        Framing::Sized(n) => Some(n as usize),
        Framing::Chunked | Framing::UntilClose => None,
    };
    let mut body = Vec::new();
    if !reserve(size.unwrap_or(READ_STEP.min(max_body))) {
        return ResponseRead::Broken;
    }
    let mut reader = resp.body_mut().as_reader().take(max_body as u64 + 1);
    loop {
        let read = reader.by_ref().take(READ_STEP as u64).read_to_end(&mut body);
        match read {
            Err(_) => return ResponseRead::Broken,
            Ok(0) => break,
            Ok(_) if body.len() > max_body => return ResponseRead::TooLarge,
            Ok(_) if size.is_none() && !reserve((body.len() + READ_STEP).min(max_body)) => {
                return ResponseRead::Broken
            }
            Ok(_) => (),
        }
    }
    // If the connection ends after any chunk, the library reports the end of the body.
    let complete = size.map_or(peer_closed() == until_close, |n| n == body.len());
    if complete && content_digests_match(&heads, status, &body) {
        complete_response(body, &heads)
    } else {
        ResponseRead::Broken
    }
}
