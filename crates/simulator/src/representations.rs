//! What a stand-in origin answers that honours the method, conditions and range of each request.
use crate::requests::TRY;
use crate::stand_in_origins::StandInOrigin;
use control_state::*;

/// Response header that names the attempt whose request was answered.
pub const MADE_FOR: &str = "x-made-for";
/// Response header that repeats the body of the request.
pub const OF_BODY: &str = "x-of-body";
const RANGE_PREFIX: &str = "bytes=";

/// Whether a selective origin answered less than the whole content: such an answer fits one request only.
pub(crate) fn is_selected(answer: &Whole) -> bool {
    answer.status != 200 && answer.heads.has(MADE_FOR)
}

impl StandInOrigin {
    /// The answer to this request, made from the whole content under the entity tag `etag`.
    pub(crate) fn represent(&self, req: &CallerRequest, etag: &str, heads: Headers, body: Vec<u8>) -> Whole {
        let of_body = String::from_utf8_lossy(&req.body).to_string();
        let heads = heads
            .with(MADE_FOR, req.heads.get(TRY).unwrap_or_default())
            .with(OF_BODY, of_body)
            .with("etag", etag);
        let without_digest = heads.without(|name| name == "content-digest");
        let empty = |status| Whole { heads: without_digest.clone(), ..Whole::new(status, "", vec![]) };
        if self.fails {
            return empty(500);
        }
        if req.heads.get("if-match").is_some_and(|expected| expected != etag) {
            return empty(412);
        }
        if req.heads.get("if-none-match") == Some(etag) {
            return empty(304);
        }
        let first = req.heads.get("range").and_then(|range| range.strip_prefix(RANGE_PREFIX));
        let first = first.and_then(|range| range.strip_suffix('-')).and_then(|n| n.parse::<usize>().ok());
        match first {
            _ if req.method == "HEAD" => Whole { heads, ..Whole::new(200, "text/plain", vec![]) },
            Some(first) if first >= body.len() => empty(416),
            Some(first) => {
                let range = format!("bytes {first}-{}/{}", body.len() - 1, body.len());
                let heads = without_digest.with("content-range", range);
                Whole { heads, ..Whole::new(206, "text/plain", body[first..].to_vec()) }
            }
            None => Whole { heads, ..Whole::new(200, "text/plain", body) },
        }
    }
}
