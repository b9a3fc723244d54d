//! Which content each confirmed number of an entry stands for.
//!
//! Invariant: a number once confirmed never gets another content. What is forgotten for
//! want of room is known to be forgotten, and is neither confirmed nor refused again.
use crate::items::Key;
use primitives::Version;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Numbers remembered of all entries together.
pub const MAX_CONFIRMED_NUMBERS: usize = 16_384;

const DIGEST_BYTES: usize = 16;

/// Equal for two contents of an entry that mean the same, however they were written.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentDigest([u8; DIGEST_BYTES]);

impl ContentDigest {
    /// Of a text that is the same for all ways to write one content.
    pub fn of(canonical: &str) -> ContentDigest {
        let whole = Sha256::digest(canonical);
        let mut short = [0; DIGEST_BYTES];
        short.copy_from_slice(&whole[..DIGEST_BYTES]);
        ContentDigest(short)
    }
}

/// What is known of a content under a number.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum ConfirmationStatus {
    /// Nothing was confirmed under this number.
    Never,
    /// This very content was.
    Same,
    /// Another content was.
    Other,
    /// Something may have been; what it was is forgotten.
    Forgotten,
}

/// The confirmed numbers of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Numbers {
    contents: BTreeMap<Version, ContentDigest>,
    /// Numbers up to this one may be missing above.
    forgotten_up_to: Option<Version>,
}

/// The confirmed numbers of all entries; part of the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed(BTreeMap<Key, Numbers>);

impl Confirmed {
    pub fn known(&self, key: &Key, ver: Version, content: &ContentDigest) -> ConfirmationStatus {
        let Some(numbers) = self.0.get(key) else { return ConfirmationStatus::Never };
        match numbers.contents.get(&ver) {
            Some(was) if was == content => ConfirmationStatus::Same,
            Some(_) => ConfirmationStatus::Other,
            None if numbers.forgotten_up_to.is_some_and(|to| ver <= to) => ConfirmationStatus::Forgotten,
            None => ConfirmationStatus::Never,
        }
    }

    pub(crate) fn confirm(&mut self, key: Key, ver: Version, content: ContentDigest) {
        let numbers = self.0.entry(key).or_default();
        let was = numbers.contents.insert(ver, content);
        debug_assert!(was.is_none_or(|was| was == content), "a number got another content");
    }

    /// Numbers remembered.
    pub fn count(&self) -> usize {
        self.0.values().map(|numbers| numbers.contents.len()).sum()
    }

    /// Beyond so many numbers, the entry with the most of them forgets its lowest; the
    /// highest of an entry is always remembered.
    pub(crate) fn trim(&mut self, most: usize) {
        for _ in most..self.count() {
            let longest = self.0.values_mut().max_by_key(|numbers| numbers.contents.len());
            let Some(numbers) = longest.filter(|numbers| numbers.contents.len() > 1) else { return };
            let lowest = numbers.contents.pop_first();
            numbers.forgotten_up_to = numbers.forgotten_up_to.max(lowest.map(|(ver, _)| ver));
        }
    }
}
