//! What a purge takes, by what is served.
use control_state::*;

/// What a purge takes.
#[derive(Debug)]
pub(crate) enum Scope {
    Prefix(String),
    By(PurgeBy),
}

impl Scope {
    pub(crate) fn takes(&self, q: &CallerRequest, w: &Whole) -> bool {
        let bare = |s: &str| s.split('?').next().unwrap_or(s).to_string();
        match self {
            Scope::Prefix(p) => q.path.starts_with(p.as_str()),
            Scope::By(PurgeBy::Page(h, p)) => {
                bare(&q.path) == bare(p) && q.host.as_ref().is_some_and(|x| x.eq_ignore_ascii_case(h))
            }
            Scope::By(PurgeBy::Tag(t)) => {
                w.heads.get("lanewing-tags").is_some_and(|all| all.split(' ').any(|x| x == t))
            }
        }
    }
}
