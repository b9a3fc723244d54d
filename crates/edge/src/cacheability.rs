//! Whether a response may be shared between callers, and for how long. Follows RFC 9111 through a
//! library, and is stricter where the cache key lacks something that a response depends on.
use control_state::*;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response};
use http_cache_semantics::{CacheOptions, CachePolicy};
use primitives::Span;
use std::time::UNIX_EPOCH;

/// What a response permits.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct Cacheability {
    /// For the caller that requested it only; no other caller may receive these bytes.
    pub personal: bool,
    /// For every caller, with credentials or not.
    pub public: bool,
    /// How long a copy may be used, at most the route's time-to-live. Zero: not cached.
    pub ttl: Span,
    /// Age of the response when it arrived.
    pub current_age: Span,
}

impl Cacheability {
    /// Whether all callers that wait for a fetch may receive its response. One that may not be
    /// cached at all is shared only if it is no content.
    pub fn is_shareable(&self, status: u16) -> bool {
        !self.personal && (status != 200 || self.ttl > Span(0))
    }
}

fn header_map(heads: &control_state::Headers) -> HeaderMap {
    let parse_header = |(n, v): (&str, &[u8])| {
        Some((HeaderName::from_bytes(n.as_bytes()).ok()?, HeaderValue::from_bytes(v).ok()?))
    };
    let mut headers = HeaderMap::new();
    heads.iter().filter_map(parse_header).for_each(|(n, v)| {
        headers.append(n, v);
    });
    headers
}

fn directives(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all("cache-control").iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).map(|d| d.trim().to_ascii_lowercase()).collect()
}

/// Fetches for the cache send no `Accept-Encoding`, so a response may vary by that one header.
fn varies_beyond_encoding(headers: &HeaderMap) -> bool {
    let values = headers.get_all("vary").iter().flat_map(|v| v.as_bytes().split(|b| *b == b','));
    let mut names = values.map(|n| String::from_utf8_lossy(n).trim().to_ascii_lowercase());
    names.any(|n| !n.is_empty() && n != "accept-encoding")
}

/// Judges the response to `req`; `row_ttl` is the route's time-to-live.
pub(crate) fn cacheability(req: &CallerRequest, response: &Whole, row_ttl: Span) -> Cacheability {
    let headers = header_map(&response.heads);
    let directives = directives(&headers);
    let has_directive = |d: &str| directives.iter().any(|s| s == d || s.starts_with(&format!("{d}=")));
    let public = has_directive("public");
    let mut request = Request::builder().method(Method::GET).uri("/").body(()).unwrap_or_default();
    *request.headers_mut() = header_map(&req.heads.without(|n| n == "cache-control"));
    let mut http_response = Response::builder().status(response.status).body(()).unwrap_or_default();
    *http_response.headers_mut() = headers.clone();
    let options = CacheOptions { shared: true, cache_heuristic: 0.0, ..CacheOptions::default() };
    // Lifetimes are counted on monotonic clocks. The library only subtracts the response's dates
    // from one another, so any time will do as its current time.
    let policy = CachePolicy::new_options(&request, &http_response, UNIX_EPOCH, options);
    let has_lifetime =
        has_directive("max-age") || has_directive("s-maxage") || headers.contains_key("expires");
    let undatable = !has_directive("max-age") && !has_directive("s-maxage") && !headers.contains_key("date");
    let remaining = policy.time_to_live(UNIX_EPOCH);
    let origin_ttl = match (has_lifetime, undatable) {
        (false, _) => row_ttl,
        (_, true) => Span(0),
        _ => Span(remaining.as_micros().min(u64::MAX as u128) as u64),
    };
    let personal_request = req.heads.personal() && !public;
    let personal = personal_request
        || has_directive("private")
        || has_directive("no-store")
        || has_directive("no-cache")
        || headers.contains_key("set-cookie")
        || varies_beyond_encoding(&headers)
        || !(policy.is_storable() || response.status >= 300);
    let ttl = if personal || response.status != 200 { Span(0) } else { origin_ttl.min(row_ttl) };
    let age = response.heads.get("age").and_then(|a| a.trim().parse().ok()).unwrap_or(0);
    Cacheability { personal, public, ttl, current_age: Span::secs(age) }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Arc;

    fn judge(
        request_headers: &[(&str, &str)],
        response_headers: &[(&str, &str)],
        status: u16,
    ) -> Cacheability {
        let headers = |list: &[(&str, &str)]| list.iter().fold(Headers::default(), |h, (n, v)| h.with(n, *v));
        let (method, body) = ("GET".into(), Arc::new(vec![]));
        let req = CallerRequest {
            method,
            lane: "l".into(),
            path: "x".into(),
            key: None,
            heads: headers(request_headers),
            body,
            ..CallerRequest::default()
        };
        let response = Whole { status, heads: headers(response_headers), ..Whole::default() };
        cacheability(&req, &response, Span::secs(60))
    }

    #[test]
    fn only_responses_meant_for_every_caller_are_shared() {
        let ttl_secs = |request: &[(&str, &str)], response: &[(&str, &str)]| {
            judge(request, response, 200).ttl.as_ms() / 1000
        };
        assert_eq!(ttl_secs(&[], &[]), 60);
        assert_eq!(ttl_secs(&[], &[("cache-control", "max-age=5")]), 5);
        assert_eq!(ttl_secs(&[], &[("cache-control", "max-age=500")]), 60);
        assert_eq!(ttl_secs(&[], &[("cache-control", "max-age=50, s-maxage=7")]), 7);
        assert_eq!(ttl_secs(&[], &[("cache-control", "max-age=50"), ("age", "20")]), 30);
        let dates = [("date", "Wed, 02 Dec 2026 10:00:00 GMT"), ("expires", "Wed, 02 Dec 2026 10:00:09 GMT")];
        assert_eq!(ttl_secs(&[], &dates), 9);
        assert_eq!(ttl_secs(&[], &dates[1..]), 0);
        for directive in ["private", "no-store", "no-cache", "private=\"x\"", "max-age=0"] {
            assert_eq!(ttl_secs(&[], &[("cache-control", directive)]), 0, "{directive}");
        }
        assert!(judge(&[], &[("set-cookie", "a=b"), ("cache-control", "public, max-age=9")], 200).personal);
        assert!(judge(&[], &[("vary", "Accept-Language")], 200).personal);
        assert!(judge(&[], &[("vary", "*")], 200).personal);
        assert_eq!(ttl_secs(&[], &[("vary", "accept-encoding")]), 60);
        for credentials in [("authorization", "Bearer t"), ("cookie", "s=1")] {
            assert!(judge(&[credentials], &[], 200).personal);
            assert!(judge(&[credentials], &[("cache-control", "max-age=9")], 200).personal);
            let public = judge(&[credentials], &[("cache-control", "public, max-age=9")], 200);
            assert!(public.public && !public.personal && public.ttl == Span::secs(9));
        }
        let not_found = judge(&[], &[], 404);
        assert!(!not_found.personal && not_found.ttl == Span(0));
    }
}
