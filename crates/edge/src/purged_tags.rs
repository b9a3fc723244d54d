//! Tags that were purged lately. An answer shows its tags only when it comes: then it is known
//! whether a purge took it on its way.
use control_state::Headers;
use primitives::Mono;
use std::collections::BTreeMap;

/// The field in which an origin's answer names its tags, parted by spaces.
const TAGS_HEADER: &str = "lanewing-tags";

/// The tags of an answer with these fields.
pub(crate) fn tags(heads: &Headers) -> impl Iterator<Item = &str> {
    heads.get(TAGS_HEADER).unwrap_or_default().split_ascii_whitespace()
}

/// When each tag was purged last, as far back as anything under way was asked for.
#[derive(Clone, Debug, Default)]
pub(crate) struct PurgedTags {
    last: BTreeMap<String, Mono>,
}

impl PurgedTags {
    /// The tag was purged.
    pub(crate) fn note(&mut self, now: Mono, tag: &str) {
        self.last.insert(tag.to_string(), now);
    }

    /// Whether what was asked for then may be older than a purge of one of its tags.
    pub(crate) fn is_purged(&self, heads: &Headers, asked: Mono) -> bool {
        tags(heads).any(|tag| self.last.get(tag).is_some_and(|purged| *purged >= asked))
    }

    /// Nothing under way was asked for before that.
    pub(crate) fn forget_before(&mut self, oldest: Mono) {
        self.last.retain(|_, purged| *purged >= oldest);
    }
}
