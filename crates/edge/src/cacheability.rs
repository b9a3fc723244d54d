//! Whether an answer may be shared, and for how long: by RFC 9111, through a
//! library, and stricter where a copy's name lacks what an answer depends on.
use crate::edge::Edge;
use crate::jobs::Caller;
use control_state::*;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response};
use http_cache_semantics::{CacheOptions, CachePolicy};
use primitives::{Mono, Span};
use std::time::UNIX_EPOCH;

/// What an origin's answer says of itself.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct Cacheability {
    /// For its own caller only; nobody else may get these bytes.
    pub personal: bool,
    /// For everybody, credentials or not.
    pub public: bool,
    /// How long a copy may live, at most the row's time; nought is no copy.
    pub life: Span,
    /// How old it was when it came.
    pub current_age: Span,
}

fn map(heads: &control_state::Headers) -> HeaderMap {
    let one = |(n, v): (&str, &[u8])| {
        Some((HeaderName::from_bytes(n.as_bytes()).ok()?, HeaderValue::from_bytes(v).ok()?))
    };
    let mut m = HeaderMap::new();
    heads.iter().filter_map(one).for_each(|(n, v)| {
        m.append(n, v);
    });
    m
}

fn directives(m: &HeaderMap) -> Vec<String> {
    let all = m.get_all("cache-control").iter().filter_map(|v| v.to_str().ok());
    all.flat_map(|v| v.split(',')).map(|d| d.trim().to_ascii_lowercase()).collect()
}

/// Fills send no `Accept-Encoding`, so an answer may vary by that one alone.
fn varies_beyond_encoding(m: &HeaderMap) -> bool {
    let all = m.get_all("vary").iter().flat_map(|v| v.as_bytes().split(|b| *b == b','));
    let mut names = all.map(|n| String::from_utf8_lossy(n).trim().to_ascii_lowercase());
    names.any(|n| !n.is_empty() && n != "accept-encoding")
}

pub(crate) fn cacheability(req: &CallerRequest, w: &Whole, row: Span) -> Cacheability {
    let heads = map(&w.heads);
    let said = directives(&heads);
    let says = |d: &str| said.iter().any(|s| s == d || s.starts_with(&format!("{d}=")));
    let public = says("public");
    let mut q = Request::builder().method(Method::GET).uri("/").body(()).unwrap_or_default();
    *q.headers_mut() = map(&req.heads.without(|n| n == "cache-control"));
    let mut r = Response::builder().status(w.status).body(()).unwrap_or_default();
    *r.headers_mut() = heads.clone();
    let options = CacheOptions { shared: true, cache_heuristic: 0.0, ..CacheOptions::default() };
    // Lives are counted on monotonic clocks; the library only subtracts dates of
    // the answer from one another, so any moment does as its "now".
    let policy = CachePolicy::new_options(&q, &r, UNIX_EPOCH, options);
    let stated = says("max-age") || says("s-maxage") || heads.contains_key("expires");
    let dateless = !says("max-age") && !says("s-maxage") && !heads.contains_key("date");
    let left = policy.time_to_live(UNIX_EPOCH);
    let theirs = match (stated, dateless) {
        (false, _) => row,
        (_, true) => Span(0),
        _ => Span(left.as_micros().min(u64::MAX as u128) as u64),
    };
    let own = req.heads.personal() && !public;
    let personal = own
        || says("private")
        || says("no-store")
        || says("no-cache")
        || heads.contains_key("set-cookie")
        || varies_beyond_encoding(&heads)
        || !(policy.is_storable() || w.status >= 300);
    let life = if personal || w.status != 200 { Span(0) } else { theirs.min(row) };
    let age = w.heads.get("age").and_then(|a| a.trim().parse().ok()).unwrap_or(0);
    Cacheability { personal, public, life, current_age: Span::secs(age) }
}

/// How long an object counts as not for sharing.
const UNSHARED_TTL: Span = Span::secs(10);

impl Edge {
    /// The answer is not for sharing: the first caller has it, if it was fetched
    /// here for that one; all others are answered by the origin, each by itself.
    pub(crate) fn split_unshared_callers(
        &mut self,
        now: Mono,
        id: u64,
        own: Option<Step>,
        out: &mut Vec<Out>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (mut rest, obj) = (std::mem::take(&mut job.callers), job.object());
        let first = rest.iter().take(1).any(|c| matches!(c.caller, Caller::Local(..))) && own.is_some();
        if first {
            job.callers.push(rest.remove(0));
        }
        self.count("not for sharing");
        self.unshared.insert(obj, now + UNSHARED_TTL);
        let last = own.unwrap_or(Step::OutcomeUnknown(Span::secs(1)));
        self.finish(now, id, last, out);
        for c in rest {
            match c.caller {
                Caller::Edge(a, ask) => {
                    out.push(self.copy_result(a, ask, CopyReply::Uncacheable));
                }
                Caller::Local(t, req) => self.dispatch(now, t, req, out),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Arc;

    fn judge(asked: &[(&str, &str)], said: &[(&str, &str)], status: u16) -> Cacheability {
        let heads = |l: &[(&str, &str)]| l.iter().fold(Headers::default(), |h, (n, v)| h.with(n, *v));
        let (method, body) = ("GET".into(), Arc::new(vec![]));
        let req = CallerRequest {
            method,
            lane: "l".into(),
            path: "x".into(),
            key: None,
            heads: heads(asked),
            body,
            ..CallerRequest::default()
        };
        let w = Whole { status, heads: heads(said), ..Whole::default() };
        cacheability(&req, &w, Span::secs(60))
    }

    #[test]
    fn given_what_callers_send_and_origins_say_then_only_what_is_for_all_is_shared() {
        let life = |a: &[(&str, &str)], s: &[(&str, &str)]| judge(a, s, 200).life.as_ms() / 1000;
        assert_eq!(life(&[], &[]), 60);
        assert_eq!(life(&[], &[("cache-control", "max-age=5")]), 5);
        assert_eq!(life(&[], &[("cache-control", "max-age=500")]), 60);
        assert_eq!(life(&[], &[("cache-control", "max-age=50, s-maxage=7")]), 7);
        assert_eq!(life(&[], &[("cache-control", "max-age=50"), ("age", "20")]), 30);
        let dates = [("date", "Wed, 02 Dec 2026 10:00:00 GMT"), ("expires", "Wed, 02 Dec 2026 10:00:09 GMT")];
        assert_eq!(life(&[], &dates), 9);
        assert_eq!(life(&[], &dates[1..]), 0);
        for no in ["private", "no-store", "no-cache", "private=\"x\"", "max-age=0"] {
            assert_eq!(life(&[], &[("cache-control", no)]), 0, "{no}");
        }
        assert!(judge(&[], &[("set-cookie", "a=b"), ("cache-control", "public, max-age=9")], 200).personal);
        assert!(judge(&[], &[("vary", "Accept-Language")], 200).personal);
        assert!(judge(&[], &[("vary", "*")], 200).personal);
        assert_eq!(life(&[], &[("vary", "accept-encoding")]), 60);
        for who in [("authorization", "Bearer t"), ("cookie", "s=1")] {
            assert!(judge(&[who], &[], 200).personal);
            assert!(judge(&[who], &[("cache-control", "max-age=9")], 200).personal);
            let open = judge(&[who], &[("cache-control", "public, max-age=9")], 200);
            assert!(open.public && !open.personal && open.life == Span::secs(9));
        }
        let lost = judge(&[], &[], 404);
        assert!(!lost.personal && lost.life == Span(0));
    }
}
