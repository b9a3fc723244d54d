//! Pages of records: what one ledger sends to another in one message.
//!
//! A ledger may hold as many bytes of records as its memory allows. It therefore never encodes them
//! all at once: the next page is made when the receiver has confirmed or requested it.
use crate::outgoing::OutgoingRecord;
use control_state::{Held, MissingOutcome};

/// Bytes of one page; a record that is larger is sent alone.
pub(crate) const MAX_PAGE_BYTES: usize = 256 << 10;

/// Records in the order of their keys, and whether more follow.
#[derive(Default)]
pub(crate) struct Page {
    pub records: Vec<Held>,
    /// The outcomes that the records lack, for they stand in the log only.
    pub missing: Vec<MissingOutcome>,
    pub more: bool,
}

impl Page {
    /// The first of these records, of at most `max_bytes` together. Takes no more records from the
    /// iterator than it needs to see that they do not fit.
    pub(crate) fn of(records: impl Iterator<Item = OutgoingRecord>, max_bytes: usize) -> Page {
        let mut page = Page::default();
        let mut bytes = 0;
        for record in records {
            bytes += record.size();
            if bytes > max_bytes && !page.records.is_empty() {
                page.more = true;
                break;
            }
            let missing = record.in_log.map(|outcome| outcome.missing_at(page.records.len()));
            page.missing.extend(missing);
            page.records.push(record.held);
        }
        page
    }

    /// The key after which the next page begins; `None` if this is the last one.
    pub(crate) fn next(&self) -> Option<String> {
        self.records.last().filter(|_| self.more).map(|record| record.key.clone())
    }

    /// The keys of its records.
    pub(crate) fn keys(&self) -> Vec<String> {
        self.records.iter().map(|record| record.key.clone()).collect()
    }
}
