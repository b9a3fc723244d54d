//! Which content each confirmed version number of an entry stands for.
//!
//! Invariant: a confirmed number never stands for other content. A number whose content was dropped
//! to bound the size of the state is known to be dropped: it is neither confirmed nor refused again.
use crate::items::Key;
use primitives::Version;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// The most numbers kept, of all entries together.
pub const MAX_CONFIRMED_NUMBERS: usize = 16_384;

/// A SHA-256 digest is shortened to this length.
const DIGEST_BYTES: usize = 16;

/// Digest of the content of an entry: equal for two texts that mean the same.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentDigest([u8; DIGEST_BYTES]);

impl ContentDigest {
    /// The digest of a canonical text, which is the same for all ways to write the content.
    pub fn of(canonical: &str) -> ContentDigest {
        let full = Sha256::digest(canonical);
        let mut shortened = [0; DIGEST_BYTES];
        shortened.copy_from_slice(&full[..DIGEST_BYTES]);
        ContentDigest(shortened)
    }
}

/// Whether a content was confirmed under a number.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum ConfirmationStatus {
    /// Nothing was confirmed under this number.
    Never,
    /// This content was confirmed.
    Same,
    /// Other content was confirmed.
    Other,
    /// Some content may have been confirmed; the record was dropped.
    Forgotten,
}

/// The confirmed numbers of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Numbers {
    contents: BTreeMap<Version, ContentDigest>,
    /// Numbers up to this one may be missing from `contents`.
    forgotten_up_to: Option<Version>,
}

/// The confirmed numbers of all entries; part of the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed(BTreeMap<Key, Numbers>);

impl Confirmed {
    /// Whether this content of the entry is confirmed under this number.
    pub fn known(&self, key: &Key, ver: Version, content: &ContentDigest) -> ConfirmationStatus {
        let Some(numbers) = self.0.get(key) else { return ConfirmationStatus::Never };
        match numbers.contents.get(&ver) {
            Some(confirmed) if confirmed == content => ConfirmationStatus::Same,
            Some(_) => ConfirmationStatus::Other,
            None if numbers.forgotten_up_to.is_some_and(|last| ver <= last) => ConfirmationStatus::Forgotten,
            None => ConfirmationStatus::Never,
        }
    }

    /// Records the content of a number, which must not have other content yet.
    pub(crate) fn confirm(&mut self, key: Key, ver: Version, content: ContentDigest) {
        let numbers = self.0.entry(key).or_default();
        let previous = numbers.contents.insert(ver, content);
        debug_assert!(
            previous.is_none_or(|previous| previous == content),
            "a confirmed number got other content"
        );
    }

    /// How many numbers are kept, of all entries together.
    pub fn count(&self) -> usize {
        self.0.values().map(|numbers| numbers.contents.len()).sum()
    }

    /// Reduces the numbers to `most`: each time, the entry with the most numbers drops its lowest.
    /// The highest number of an entry is always kept.
    pub(crate) fn trim(&mut self, most: usize) {
        for _ in most..self.count() {
            let longest = self.0.values_mut().max_by_key(|numbers| numbers.contents.len());
            let Some(numbers) = longest.filter(|numbers| numbers.contents.len() > 1) else { return };
            let lowest = numbers.contents.pop_first();
            numbers.forgotten_up_to = numbers.forgotten_up_to.max(lowest.map(|(ver, _)| ver));
        }
    }
}
