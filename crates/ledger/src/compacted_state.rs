//! All that a ledger holds as one record, written without a copy of it in memory.
use crate::disk_cache::{DiskCache, StoredCopy};
use crate::grants::{Grant, Grants};
use control_state::BoundedCacheEntry;
use primitives::{Birth, Version};
use serde::ser::{Serialize, SerializeTupleVariant, Serializer};

/// The place of `Kept::Whole` among the variants, which is how it is encoded.
const WHOLE: u32 = 8;
/// What one grant takes at the most, beside its key and its outcome, and the rest of the record.
const GRANT: usize = 96;
const REST: usize = 256;

/// Encodes as `Kept::Whole` with the same contents does.
pub(crate) struct CompactedState<'a> {
    pub birth: Birth,
    pub open: bool,
    pub fence: Version,
    pub grants: &'a Grants,
    pub disk_cache: &'a DiskCache,
}

impl CompactedState<'_> {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let stocked: usize = self.disk_cache.values().map(|s| REST + s.size()).sum();
        let expected = self.grants.bytes() + self.grants.len() * GRANT + stocked + REST;
        postcard::to_extend(self, Vec::with_capacity(expected)).expect("plain data always encodes")
    }
}

struct AllGrants<'a>(&'a Grants);

impl Serialize for AllGrants<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let one = |(key, g): (&'_ String, &'_ Grant)| (key.clone(), g.print, g.round, g.whole.clone());
        serializer.collect_seq(self.0.iter().map(one))
    }
}

struct AllStoredCopies<'a>(&'a DiskCache);

impl Serialize for AllStoredCopies<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let all: Vec<&StoredCopy> = self.0.values().collect();
        serializer.collect_seq(all)
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
