//! Syntax that every hop has to interpret in the same way: framing of bodies, paths, names of
//! header fields.
use control_state::Headers;

/// How a request's body is framed.
pub(crate) enum Body {
    None,
    Sized(usize),
    Chunked,
}

/// The body's framing, or why it is ambiguous.
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
        ([], _) => Err("the only supported Transfer-Encoding is a single chunked"),
        (_, []) => Err("Content-Length is given more than once"),
        _ => Err("Content-Length and Transfer-Encoding are both given"),
    }
}

/// Characters that must be percent-encoded in a target (RFC 3986, section 2): hops interpret
/// them differently, and the HTTP client's library drops a fragment and refuses to send the
/// others.
pub(crate) const UNENCODED: [char; 5] = ['"', '#', '<', '>', '`'];

/// Checks that every hop interprets the path in the same way.
pub(super) fn check_path(url: &str) -> Result<(), &'static str> {
    let path = url.split('?').next().unwrap_or("");
    let forbidden = |c: char| c.is_ascii_control() || c == ' ' || c == '\\' || !c.is_ascii();
    if !url.starts_with('/') || url.starts_with("//") {
        return Err("the path must start with exactly one /");
    }
    if url.chars().any(forbidden) || url.contains(UNENCODED) {
        return Err("the path has characters that must be percent-encoded");
    }
    let lowercase = path.to_ascii_lowercase();
    if ["%2f", "%5c", "%00", "%2e"].iter().any(|e| lowercase.contains(e)) {
        return Err("the path has an encoded separator or dot");
    }
    let starts_with_hex = |s: &str| s.len() >= 2 && s.as_bytes()[..2].iter().all(u8::is_ascii_hexdigit);
    if url.split('%').skip(1).any(|s| !starts_with_hex(s)) {
        return Err("the path has an invalid percent-encoding");
    }
    let has_dot_segment = path.split('/').any(|s| s == "." || s == "..");
    (!has_dot_segment).then_some(()).ok_or("the path has a . or .. segment")
}

/// Whether `n` is a token, as names of header fields have to be (RFC 9110, section 5.6.2).
pub(crate) fn is_token(n: &str) -> bool {
    !n.is_empty() && n.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn given_paths_that_hops_may_interpret_differently_then_they_are_rejected() {
        for good in ["/offers/x", "/offers/a%20b?q=%2F..", "/o//x", "/", "/o/...x"] {
            assert_eq!(check_path(good), Ok(()), "{good}");
        }
        for bad in ["", "offers", "//offers", "http://h/offers", "/o/../pay", "/o/./x", "/o/%2e%2e/pay"] {
            assert!(check_path(bad).is_err(), "{bad}");
        }
        for bad in ["/o%2Fx", "/o%5cx", "/o\\x", "/o%00", "/o%zz", "/o%2", "/o#f", "/o\u{7f}", "/o x"] {
            assert!(check_path(bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn given_ambiguous_framing_then_it_is_rejected() {
        let headers = |l: &[(&str, &str)]| l.iter().fold(Headers::default(), |h, (n, v)| h.with(n, *v));
        assert!(framing(&headers(&[("content-length", "5")])).is_ok());
        assert!(framing(&headers(&[("transfer-encoding", "Chunked")])).is_ok());
        for bad in [
            vec![("content-length", "5"), ("content-length", "5")],
            vec![("content-length", "5"), ("transfer-encoding", "chunked")],
            vec![("content-length", "+5")],
            vec![("content-length", "5, 5")],
            vec![("content-length", "99999999999999999999")],
            vec![("transfer-encoding", "gzip, chunked")],
            vec![("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")],
        ] {
            assert!(framing(&headers(&bad)).is_err(), "{bad:?}");
        }
    }
}
