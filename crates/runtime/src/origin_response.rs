//! Reading an origin's answer: whole, or not at all.
use crate::origin_client::peer_closed;
use control_state::{content_digests_match, Headers, Whole};
use std::io::Read;
use std::sync::Arc;
use ureq::http::{HeaderMap, Response};

pub enum ResponseRead {
    Whole(Whole),
    TooLarge,
    /// It broke off, or what was said of it does not agree with what came.
    Broken,
}

/// How the body's end is known.
enum Frame {
    Sized(u64),
    Chunked,
    /// No body at all, whatever the fields say.
    Bare,
    Doubtful,
}

fn frame(method: &str, status: u16, h: &HeaderMap) -> Frame {
    let texts = |n: &str| -> Vec<String> {
        h.get_all(n).iter().map(|v| String::from_utf8_lossy(v.as_bytes()).trim().to_string()).collect()
    };
    let (lengths, codings) = (texts("content-length"), texts("transfer-encoding"));
    let bare = method == "HEAD" || status == 204 || status == 304;
    match (lengths.as_slice(), codings.as_slice()) {
        (_, []) | ([], _) if bare => Frame::Bare,
        ([n], []) => n.parse().map_or(Frame::Doubtful, Frame::Sized),
        ([], [c]) if c.eq_ignore_ascii_case("chunked") => Frame::Chunked,
        // Two lengths, a length beside a coding, no end named, a coding unknown.
        _ => Frame::Doubtful,
    }
}

const STEP: usize = 256 << 10;

/// `room` makes sure that there is memory for so many bytes, or says no.
pub fn whole(
    method: &str,
    resp: &mut Response<ureq::Body>,
    most: usize,
    room: &mut dyn FnMut(usize) -> bool,
) -> ResponseRead {
    let status = resp.status().as_u16();
    let frame = frame(method, status, resp.headers());
    let mut heads = Headers::default();
    resp.headers().iter().for_each(|(n, v)| heads.push(n.as_str(), v.as_bytes()));
    let end = |body: Vec<u8>, heads: &Headers| {
        // A HEAD's length is told apart from its body, which there is none of.
        let length = heads.get("content-length").filter(|_| method == "HEAD").map(str::to_string);
        let mut kept = heads.end_to_end();
        length.into_iter().for_each(|n| kept.push("lanewing-length", n));
        ResponseRead::Whole(Whole { status, heads: kept, body: Arc::new(body), ..Whole::default() })
    };
    let size = match frame {
        Frame::Bare => return end(vec![], &heads),
        Frame::Doubtful => return ResponseRead::Broken,
        Frame::Sized(n) if n > most as u64 => return ResponseRead::TooLarge,
        Frame::Sized(n) => Some(n as usize),
        Frame::Chunked => None,
    };
    let mut body = Vec::new();
    if !room(size.unwrap_or(STEP.min(most))) {
        return ResponseRead::Broken;
    }
    let mut r = resp.body_mut().as_reader().take(most as u64 + 1);
    loop {
        let got = r.by_ref().take(STEP as u64).read_to_end(&mut body);
        match got {
            Err(_) => return ResponseRead::Broken,
            Ok(0) => break,
            Ok(_) if body.len() > most => return ResponseRead::TooLarge,
            Ok(_) if size.is_none() && !room((body.len() + STEP).min(most)) => return ResponseRead::Broken,
            Ok(_) => (),
        }
    }
    // Past its last chunk the library takes the connection's end for the answer's.
    let complete = size.map_or(!peer_closed(), |n| n == body.len());
    if complete && content_digests_match(&heads, status, &body) {
        end(body, &heads)
    } else {
        ResponseRead::Broken
    }
}
