//! Conditional and range requests, answered from one whole answer at hand, so
//! that bytes of two can never mix.
use crate::front::Reply;
use control_state::Headers;
use std::sync::Arc;

/// What a 304 repeats of the answer it stands for.
const KEPT: [&str; 7] =
    ["etag", "cache-control", "content-location", "date", "expires", "vary", "last-modified"];

fn tags(v: &str) -> impl Iterator<Item = &str> {
    v.split(',').map(|t| t.trim().trim_start_matches("W/"))
}

fn unchanged(asked: &Headers, r: &Reply) -> bool {
    let tag = r.heads.get("etag").map(|t| t.trim_start_matches("W/"));
    match asked.get("if-none-match") {
        Some("*") => true,
        Some(v) => tag.is_some_and(|t| tags(v).any(|x| x == t)),
        // Dates are compared as written: callers send back what they were given.
        None => {
            let since = asked.get("if-modified-since");
            since.is_some() && since == r.heads.get("last-modified")
        }
    }
}

enum Part {
    All,
    Of(usize, usize),
    Beyond,
}

/// One range of bytes; several, or another unit, get the whole.
fn part(asked: &Headers, r: &Reply) -> Part {
    let len = r.body.len();
    let Some(spec) = asked.get("range").and_then(|v| v.strip_prefix("bytes=")) else { return Part::All };
    let same = asked.get("if-range").is_none_or(|t| {
        let strong = !t.starts_with("W/") && r.heads.get("etag") == Some(t);
        strong || r.heads.get("last-modified") == Some(t)
    });
    let Some((from, to)) = spec.trim().split_once('-').filter(|_| same) else { return Part::All };
    let num = |s: &str| s.parse::<usize>().ok();
    match (num(from), num(to)) {
        (Some(a), Some(b)) if a <= b && a < len => Part::Of(a, b.min(len - 1)),
        (Some(a), None) if to.is_empty() && a < len => Part::Of(a, len - 1),
        (None, Some(n)) if from.is_empty() && n > 0 && len > 0 => Part::Of(len - n.min(len), len - 1),
        (Some(a), _) if a >= len && (to.is_empty() || num(to).is_some_and(|b| a <= b)) => Part::Beyond,
        (None, Some(0)) if from.is_empty() => Part::Beyond,
        _ => Part::All,
    }
}

/// The reply to a GET or HEAD, made to fit what its caller asked.
pub fn fit(method: &str, asked: &Headers, mut r: Reply) -> Reply {
    if !["GET", "HEAD"].contains(&method) || r.status != 200 {
        return r;
    }
    if unchanged(asked, &r) {
        let heads = r.heads.without(|n| !KEPT.contains(&n) && !n.starts_with("lanewing-"));
        return Reply { status: 304, heads, length: Some(r.body.len()), body: Arc::default(), ..r };
    }
    if method == "HEAD" {
        return r;
    }
    let len = r.body.len();
    let cut = |h: &Headers, range: String| {
        // The digest of the content would be that of all of it.
        h.without(|n| n == "content-digest" || n == "content-md5").with("content-range", range)
    };
    match part(asked, &r) {
        Part::All => {
            if !r.heads.has("accept-ranges") {
                r.heads.push("accept-ranges", "bytes");
            }
            r
        }
        Part::Of(a, b) => {
            let heads = cut(&r.heads, format!("bytes {a}-{b}/{len}"));
            Reply { status: 206, heads, body: Arc::new(r.body[a..=b].to_vec()), ..r }
        }
        Part::Beyond => {
            let p = Reply::problem(416, "invalid", "the range lies beyond the end");
            Reply { heads: p.heads.with("content-range", format!("bytes */{len}")), ..p }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ask(l: &[(&str, &str)]) -> Reply {
        let h = |l: &[(&str, &str)]| l.iter().fold(Headers::default(), |h, (n, v)| h.with(n, *v));
        let whole = h(&[("etag", "\"e1\""), ("last-modified", "then"), ("content-digest", "d")]);
        fit("GET", &h(l), Reply::new(200, whole, Arc::new(b"0123456789".to_vec())))
    }

    #[test]
    fn given_a_whole_answer_then_conditions_and_ranges_are_answered_from_it() {
        assert_eq!(ask(&[]).status, 200);
        for c in [("if-none-match", "\"x\", W/\"e1\""), ("if-none-match", "*"), ("if-modified-since", "then")]
        {
            let r = ask(&[c]);
            assert_eq!((r.status, r.body.len()), (304, 0), "{c:?}");
        }
        assert_eq!(ask(&[("if-none-match", "\"x\""), ("if-modified-since", "then")]).status, 200);
        let of = |v: &str| {
            let r = ask(&[("range", v)]);
            (r.status, String::from_utf8(r.body.to_vec()).unwrap_or_default())
        };
        assert_eq!(of("bytes=2-4"), (206, "234".into()));
        assert_eq!(of("bytes=7-"), (206, "789".into()));
        assert_eq!(of("bytes=-3"), (206, "789".into()));
        assert_eq!(of("bytes=8-99"), (206, "89".into()));
        assert_eq!((of("bytes=10-").0, of("bytes=-0").0), (416, 416));
        assert_eq!((of("bytes=4-2").0, of("bytes=0-1,3-4").0, of("lines=1-2").0), (200, 200, 200));
        assert!(!ask(&[("range", "bytes=0-1")]).heads.has("content-digest"));
        assert_eq!(ask(&[("range", "bytes=0-1"), ("if-range", "\"e1\"")]).status, 206);
        assert_eq!(ask(&[("range", "bytes=0-1"), ("if-range", "\"old\"")]).status, 200);
    }
}
