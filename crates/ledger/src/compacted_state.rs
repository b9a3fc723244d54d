//! Compaction: the whole state as one record, encoded without a copy of it in memory.
use crate::disk_cache::{DiskCache, StoredCopy};
use crate::grant::Grant;
use crate::grants::Grants;
use control_state::BoundedCacheEntry;
use primitives::{Birth, Version};
use serde::ser::{Serialize, SerializeTupleVariant, Serializer};

/// Index of `Kept::Whole` among the variants; its encoding begins with it.
const WHOLE: u32 = 8;
/// Most bytes that a grant is encoded in besides its key and its outcome.
const MAX_GRANT_BYTES: usize = 96;
/// Most bytes that a cached copy takes besides its body, and the record besides its lists.
const MAX_FIXED_BYTES: usize = 256;

/// Encoded exactly as a `Kept::Whole` with the same contents.
pub(crate) struct CompactedState<'a> {
    pub birth: Birth,
    pub open: bool,
    pub fence: Version,
    pub grants: &'a Grants,
    pub disk_cache: &'a DiskCache,
}

impl CompactedState<'_> {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let copies: usize = self.disk_cache.values().map(|copy| MAX_FIXED_BYTES + copy.size()).sum();
        let expected = self.grants.bytes() + self.grants.len() * MAX_GRANT_BYTES + copies + MAX_FIXED_BYTES;
        postcard::to_extend(self, Vec::with_capacity(expected))
            .expect("encoding a record to memory does not fail")
    }
}

struct AllGrants<'a>(&'a Grants);

impl Serialize for AllGrants<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let whole = |g: &Grant| g.outcome.as_ref().and_then(|outcome| outcome.content.clone());
        let fields = |(key, g): (&'_ String, &'_ Grant)| (key.clone(), g.print, g.round, whole(g));
        serializer.collect_seq(self.0.iter().map(fields))
    }
}

struct AllStoredCopies<'a>(&'a DiskCache);

impl Serialize for AllStoredCopies<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let copies: Vec<&StoredCopy> = self.0.values().collect();
        serializer.collect_seq(copies)
    }
}

impl Serialize for CompactedState<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut record = serializer.serialize_tuple_variant("Kept", WHOLE, "Whole", 5)?;
        record.serialize_field(&self.birth)?;
        record.serialize_field(&self.open)?;
        record.serialize_field(&self.fence)?;
        record.serialize_field(&AllGrants(self.grants))?;
        record.serialize_field(&AllStoredCopies(self.disk_cache))?;
        record.end()
    }
}
