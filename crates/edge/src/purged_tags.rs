//! Recently purged tags. A response shows its tags only when it arrives; then it can be decided
//! whether a purge during the fetch covers it.
use control_state::Headers;
use primitives::Mono;
use std::collections::BTreeMap;

/// The header field in which an origin's response names its tags, separated by spaces.
const TAGS_HEADER: &str = "lanewing-tags";

/// The tags of a response with these header fields.
pub(crate) fn tags(heads: &Headers) -> impl Iterator<Item = &str> {
    heads.get(TAGS_HEADER).unwrap_or_default().split_ascii_whitespace()
}

/// When each tag was last purged, as far back as the oldest request in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct PurgedTags {
    last: BTreeMap<String, Mono>,
}

impl PurgedTags {
    /// Records that the tag was purged.
    pub(crate) fn note(&mut self, now: Mono, tag: &str) {
        self.last.insert(tag.to_string(), now);
    }

    /// Whether a response to a request sent at `asked` may be older than a purge of one of its
    /// tags.
    pub(crate) fn is_purged(&self, heads: &Headers, asked: Mono) -> bool {
        tags(heads).any(|tag| self.last.get(tag).is_some_and(|purged| *purged >= asked))
    }

    /// Forgets purges before `oldest`: no request in progress was sent earlier.
    pub(crate) fn forget_before(&mut self, oldest: Mono) {
        self.last.retain(|_, purged| *purged >= oldest);
    }
}
