//! Answers conditional and range requests from one complete response, so that bytes of two
//! versions are never mixed.
use crate::front::Reply;
use control_state::Headers;
use std::sync::Arc;

/// Header fields of the full response that a 304 repeats.
const NOT_MODIFIED_FIELDS: [&str; 7] =
    ["etag", "cache-control", "content-location", "date", "expires", "vary", "last-modified"];

/// The entity tags of a list, without their weakness marks.
fn entity_tags(v: &str) -> impl Iterator<Item = &str> {
    v.split(',').map(|t| t.trim().trim_start_matches("W/"))
}

/// Whether the request's conditions hold, so that a 304 is the response.
fn is_not_modified(request: &Headers, r: &Reply) -> bool {
    let tag = r.heads.get("etag").map(|t| t.trim_start_matches("W/"));
    match request.get("if-none-match") {
        Some("*") => true,
        Some(v) => tag.is_some_and(|t| entity_tags(v).any(|x| x == t)),
        // Dates are compared as text: callers send back the date they received.
        None => {
            let since = request.get("if-modified-since");
            since.is_some() && since == r.heads.get("last-modified")
        }
    }
}

/// What a `range` field selects.
enum RangeSelection {
    All,
    /// First and last byte, both included.
    Bytes(usize, usize),
    /// Starts beyond the end, or is empty.
    Unsatisfiable,
}

/// The selected range. Only a single range of bytes is supported; several ranges and other
/// units get the full response.
fn select_range(request: &Headers, r: &Reply) -> RangeSelection {
    let len = r.body.len();
    let Some(spec) = request.get("range").and_then(|v| v.strip_prefix("bytes=")) else {
        return RangeSelection::All;
    };
    let if_range_holds = request.get("if-range").is_none_or(|t| {
        let strong = !t.starts_with("W/") && r.heads.get("etag") == Some(t);
        strong || r.heads.get("last-modified") == Some(t)
    });
    let Some((from, to)) = spec.trim().split_once('-').filter(|_| if_range_holds) else {
        return RangeSelection::All;
    };
    let num = |s: &str| s.parse::<usize>().ok();
    match (num(from), num(to)) {
        (Some(a), Some(b)) if a <= b && a < len => RangeSelection::Bytes(a, b.min(len - 1)),
        (Some(a), None) if to.is_empty() && a < len => RangeSelection::Bytes(a, len - 1),
        (None, Some(n)) if from.is_empty() && n > 0 && len > 0 => {
            RangeSelection::Bytes(len - n.min(len), len - 1)
        }
        (Some(a), _) if a >= len && (to.is_empty() || num(to).is_some_and(|b| a <= b)) => {
            RangeSelection::Unsatisfiable
        }
        (None, Some(0)) if from.is_empty() => RangeSelection::Unsatisfiable,
        _ => RangeSelection::All,
    }
}

/// Applies the conditions and range of the request headers to `r`, the full response. Only a
/// 200 to a GET or HEAD is changed.
pub fn fit(method: &str, request: &Headers, mut r: Reply) -> Reply {
    if !["GET", "HEAD"].contains(&method) || r.status != 200 {
        return r;
    }
    if is_not_modified(request, &r) {
        let heads = r.heads.without(|n| !NOT_MODIFIED_FIELDS.contains(&n) && !n.starts_with("lanewing-"));
        return Reply { status: 304, heads, length: Some(r.body.len()), body: Arc::default(), ..r };
    }
    if method == "HEAD" {
        return r;
    }
    let len = r.body.len();
    let partial_headers = |h: &Headers, range: String| {
        // These digests are of the full content.
        h.without(|n| n == "content-digest" || n == "content-md5").with("content-range", range)
    };
    match select_range(request, &r) {
        RangeSelection::All => {
            if !r.heads.has("accept-ranges") {
                r.heads.push("accept-ranges", "bytes");
            }
            r
        }
        RangeSelection::Bytes(a, b) => {
            let heads = partial_headers(&r.heads, format!("bytes {a}-{b}/{len}"));
            Reply { status: 206, heads, body: Arc::new(r.body[a..=b].to_vec()), ..r }
        }
        RangeSelection::Unsatisfiable => {
            let p =
                Reply::problem(416, "invalid", "the range starts beyond the end of the content or is empty");
            Reply { heads: p.heads.with("content-range", format!("bytes */{len}")), ..p }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn get(fields: &[(&str, &str)]) -> Reply {
        let headers = |l: &[(&str, &str)]| l.iter().fold(Headers::default(), |h, (n, v)| h.with(n, *v));
        let response_headers =
            headers(&[("etag", "\"e1\""), ("last-modified", "then"), ("content-digest", "d")]);
        fit("GET", &headers(fields), Reply::new(200, response_headers, Arc::new(b"0123456789".to_vec())))
    }

    #[test]
    fn given_a_complete_response_then_conditions_and_ranges_are_answered_from_it() {
        assert_eq!(get(&[]).status, 200);
        for c in [("if-none-match", "\"x\", W/\"e1\""), ("if-none-match", "*"), ("if-modified-since", "then")]
        {
            let r = get(&[c]);
            assert_eq!((r.status, r.body.len()), (304, 0), "{c:?}");
        }
        assert_eq!(get(&[("if-none-match", "\"x\""), ("if-modified-since", "then")]).status, 200);
        let range = |v: &str| {
            let r = get(&[("range", v)]);
            (r.status, String::from_utf8(r.body.to_vec()).unwrap_or_default())
        };
        assert_eq!(range("bytes=2-4"), (206, "234".into()));
        assert_eq!(range("bytes=7-"), (206, "789".into()));
        assert_eq!(range("bytes=-3"), (206, "789".into()));
        assert_eq!(range("bytes=8-99"), (206, "89".into()));
        assert_eq!((range("bytes=10-").0, range("bytes=-0").0), (416, 416));
        assert_eq!((range("bytes=4-2").0, range("bytes=0-1,3-4").0, range("lines=1-2").0), (200, 200, 200));
        assert!(!get(&[("range", "bytes=0-1")]).heads.has("content-digest"));
        assert_eq!(get(&[("range", "bytes=0-1"), ("if-range", "\"e1\"")]).status, 206);
        assert_eq!(get(&[("range", "bytes=0-1"), ("if-range", "\"old\"")]).status, 200);
    }
}
