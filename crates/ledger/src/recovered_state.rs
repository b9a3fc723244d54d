//! The state of a ledger as the records of its log tell it.
use crate::disk_cache::DiskCache;
use crate::grants::Grants;
use crate::ledger::LedgerEnv;
use crate::log_position::LogUse;
use crate::records::Kept;
use crate::recovered_record::RecoveredRecord;
use primitives::{Birth, Mono, Version};

/// What the records of a log amount to.
pub(crate) struct RecoveredState {
    pub grants: Grants,
    pub disk_cache: DiskCache,
    /// The incarnation of the disk; `None` if it is new.
    pub birth: Option<Birth>,
    pub open: bool,
    pub fence: Version,
    pub log: LogUse,
}

impl RecoveredState {
    /// Applies the records, oldest first.
    pub(crate) fn read(
        env: &LedgerEnv,
        records: Vec<impl Into<RecoveredRecord>>,
        now: Mono,
    ) -> RecoveredState {
        let mut state = RecoveredState {
            grants: Grants::default(),
            disk_cache: DiskCache::new(env.room),
            birth: None,
            open: false,
            fence: Version(0),
            log: LogUse::default(),
        };
        for record in records {
            state.apply(record.into(), now);
        }
        // Times of another boot cannot be compared with this boot's clock.
        state.disk_cache.drop_where(|_, copy| copy.boot != env.boot || copy.until <= now);
        state
    }

    fn apply(&mut self, record: RecoveredRecord, now: Mono) {
        let bytes = record.approximate_bytes();
        match record {
            RecoveredRecord::Outcome { key, round, outcome, .. } => {
                let position = self.log.append(bytes);
                self.grants.apply_outcome((key, round), outcome, position, now);
            }
            RecoveredRecord::Complete(record) => {
                let is_checkpoint = matches!(record, Kept::State(_));
                let position =
                    if is_checkpoint { self.log.append_checkpoint(bytes) } else { self.log.append(bytes) };
                self.apply_settings(&record);
                self.grants.apply(record, position, now);
            }
        }
    }

    /// Applies what a record says of all but the grants.
    fn apply_settings(&mut self, record: &Kept) {
        match record {
            Kept::Birth(stored) => self.birth = Some(*stored),
            Kept::Open => self.open = true,
            Kept::Base(stored, was_open, _, copies) | Kept::Whole(stored, was_open, _, _, copies) => {
                (self.birth, self.open) = (Some(*stored), *was_open);
                if let Kept::Whole(_, _, version, ..) = record {
                    self.fence = *version;
                }
                self.disk_cache.clear();
                copies.iter().for_each(|copy| self.disk_cache.put(copy.object.clone(), copy.clone()));
            }
            Kept::State(state) => {
                (self.birth, self.open, self.fence) = (Some(state.birth), state.open, state.fence);
            }
            Kept::Fence(version) => self.fence = self.fence.max(*version),
            Kept::Copy(copy) => self.disk_cache.put(copy.object.clone(), copy.clone()),
            Kept::Grant { .. } | Kept::Outcome { .. } | Kept::Release { .. } | Kept::Holders { .. } => (),
        }
    }
}
