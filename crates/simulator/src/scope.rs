//! The scope of a purge, matched against the answers that are served.
use control_state::*;

/// The content that a purge removes: a path prefix of one service, a page or a tag.
#[derive(Debug)]
pub(crate) enum Scope {
    Prefix(String),
    By(PurgeBy),
}

impl Scope {
    /// Whether the answer `w` to the request `q` falls under this purge.
    pub(crate) fn covers(&self, q: &CallerRequest, w: &Whole) -> bool {
        let without_query = |s: &str| s.split('?').next().unwrap_or(s).to_string();
        match self {
            Scope::Prefix(p) => q.path.starts_with(p.as_str()),
            Scope::By(PurgeBy::Page(h, p)) => {
                without_query(&q.path) == without_query(p)
                    && q.host.as_ref().is_some_and(|x| x.eq_ignore_ascii_case(h))
            }
            Scope::By(PurgeBy::Tag(t)) => {
                w.heads.get("lanewing-tags").is_some_and(|all| all.split(' ').any(|x| x == t))
            }
        }
    }
}
